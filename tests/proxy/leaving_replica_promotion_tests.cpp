#include "simulated_deployment.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr duration failover_target = 13s;
constexpr duration step = 5ms;
constexpr int max_steps = 4000;

/// A group whose replica i-3 and primary i-1 are replaced by i-4 and i-5, both of which have joined.
struct leaving_replica_fixture {
    simulated_deployment deployment{3};
    std::unique_ptr<simulated_client> client = deployment.connect(0, "latest");

    leaving_replica_fixture() {
        client->on_done = [this](const std::string& done) { deployment.service.confirm(done); };
        REQUIRE(is_written());
        for (const char* id : {"i-4", "i-5"}) {
            deployment.service.add(id);
            deployment.list(id, false);
        }
        deployment.list("i-3", true);
        deployment.run_for(5s);
        REQUIRE(is_written());
    }

    [[nodiscard]] bool is_written() {
        const std::string id = client->send("WRITE a 1");
        deployment.run_for(2s);
        return client->result(id) != nullptr && client->outcome(id) == statement_outcome::done;
    }

    void run_until(const std::function<bool()>& is_reached) {
        for (int count = 0; count < max_steps && !is_reached(); ++count) {
            deployment.run_for(step);
        }
        REQUIRE(is_reached());
    }

    /// Starts the replacement of the primary and ends when it has stepped down.
    void replace_primary() {
        deployment.list("i-1", true);
        run_until([this] { return !deployment.service.is_primary("i-1"); });
    }

    void leave(const std::string& id) {
        deployment.service.set_up(id, false);
        deployment.unlist(id);
    }

    void restart_daemons() {
        client->leave();
        for (std::size_t proxy = 0; proxy < 3; ++proxy) {
            deployment.kill(proxy);
        }
        for (std::size_t proxy = 0; proxy < 3; ++proxy) {
            deployment.start(proxy);
        }
        deployment.run_for(2s);
        client = deployment.connect(0, "latest");
    }
};

} // namespace

// Guards against a group that has no primary for good after a replica has left, as planned, while the primary
// was being replaced.
TEST_CASE_FIXTURE(leaving_replica_fixture, "leaving_replica_ends_during_promotion_group_gets_a_primary") {
    replace_primary();
    deployment.run_for(100ms);
    leave("i-3");
    deployment.run_for(2s);
    CHECK(deployment.service.promotions() == 1);
    SUBCASE("the daemons run on") {}
    SUBCASE("all daemons restart") {
        restart_daemons();
    }
    CHECK(is_written());
    CHECK(deployment.service.violations().empty());
}

// Guards against a group that is never settled again when the promotion was given up after the primary had
// stepped down, and a replica has left since.
TEST_CASE_FIXTURE(leaving_replica_fixture,
                  "leaving_replica_ends_after_promotion_was_given_up_group_gets_a_primary") {
    replace_primary();
    deployment.store.is_down = true;
    deployment.run_for(1s);
    leave("i-3");
    deployment.run_for(500ms);
    REQUIRE(deployment.promote_calls.empty());
    deployment.store.is_down = false;
    deployment.run_for(failover_target);
    CHECK(deployment.service.promotions() >= 1);
    CHECK(is_written());
    CHECK(deployment.service.violations().empty());
}
