#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr duration write_pause = 5ms;

/// A replica that has started and receives from the primary but that no daemon knows of yet.
struct unlisted_replica_fixture {
    simulated_deployment deployment{2};
    std::unique_ptr<simulated_client> client = deployment.connect(0, "latest");
    std::vector<std::string> sent;

    unlisted_replica_fixture() {
        const std::string id = client->send("WRITE a 1");
        deployment.run_for(2s);
        REQUIRE(client->outcome(id) == statement_outcome::done);
        client->on_done = [this](const std::string& done) { deployment.service.confirm(done); };
    }

    /// Cuts the primary and the first daemon off from the other instances, the second daemon and the store.
    void cut_zone_of_primary(bool is_cut) {
        for (const char* outside : {"i-2", "i-3"}) {
            deployment.service.set_cut("i-1", outside, is_cut);
            deployment.cut(0, outside, is_cut);
        }
        deployment.cut(1, "i-1", is_cut);
        deployment.cut_from_proxies(0, is_cut);
        if (is_cut) {
            deployment.store.cut_hosts.insert(simulated_deployment::host_name(0));
        } else {
            deployment.store.cut_hosts.erase(simulated_deployment::host_name(0));
        }
    }

    /// Starts i-4 where only the primary reaches it.
    void start_replica_beside_primary() {
        deployment.service.add("i-4");
        for (const char* outside : {"i-2", "i-3"}) {
            deployment.service.set_cut("i-4", outside, true);
        }
        deployment.cut(1, "i-4", true);
    }

    void write_for(duration length) {
        for (duration passed{0}; passed < length; passed += write_pause) {
            if (client->unanswered() == 0) {
                sent.push_back(client->send("WRITE a 1"));
            }
            deployment.run_for(write_pause);
        }
    }

    [[nodiscard]] std::size_t count(statement_outcome outcome) const {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [this, outcome](const std::string& id) {
                return client->result(id) != nullptr && client->outcome(id) == outcome;
            }));
    }
};

} // namespace

// Guards against confirmed commits that are lost because only a replica unknown to the daemons holds them
// when another instance is promoted.
TEST_CASE_FIXTURE(unlisted_replica_fixture, "unlisted_replica_in_cut_zone_confirms_no_commit") {
    write_for(500ms);
    cut_zone_of_primary(true);
    write_for(250ms);
    const std::size_t done = count(statement_outcome::done);
    start_replica_beside_primary();
    write_for(5s);
    CHECK(deployment.service.promotions() == 1);
    CHECK(count(statement_outcome::done) == done);
    cut_zone_of_primary(false);
    deployment.run_for(5s);
    CHECK(deployment.service.violations().empty());
}

// Guards against writes that are held, or sent although their outcome would be in doubt, while no replica can
// show that it receives them.
TEST_CASE_FIXTURE(unlisted_replica_fixture, "unlisted_replica_in_cut_zone_writes_are_refused_as_not_run") {
    cut_zone_of_primary(true);
    start_replica_beside_primary();
    // By then the replicas outside count as unreachable.
    write_for(1s);
    const std::size_t in_doubt = count(statement_outcome::in_doubt);
    write_for(2s);
    CHECK(count(statement_outcome::in_doubt) == in_doubt);
    CHECK(count(statement_outcome::busy) > 20);
}

// Guards against a replica that registers after the last look of a promotion at the members and prolongs the
// trust in the primary, or confirms its commits, until the promotion has taken effect.
TEST_CASE_FIXTURE(unlisted_replica_fixture,
                  "unlisted_replica_that_joins_after_promotion_call_confirms_no_commit") {
    // Only the second daemon, which promotes, does not reach the primary.
    deployment.cut(1, "i-1", true);
    for (int step = 0; step < 1000 && deployment.promote_calls.empty(); ++step) {
        write_for(5ms);
    }
    REQUIRE(!deployment.promote_calls.empty());
    start_replica_beside_primary();
    deployment.list("i-4", false);
    write_for(2s);
    CHECK(deployment.service.promotions() == 1);
    CHECK(deployment.service.violations().empty());
}

namespace {

/// A daemon that reaches the replicas i-2 and i-3, which receive nothing, but not the primary. Another daemon
/// confirms commits through i-4, which has joined since.
struct latest_read_fixture : public unlisted_replica_fixture {
    std::map<std::string, std::vector<standins::model_entry>> seen;
    std::unique_ptr<simulated_client> reader = deployment.connect(1, "latest");
    std::string last_write;

    latest_read_fixture() {
        deployment.service.on_read =
            [this](const standins::model_command& command, const standins::model_connection&,
                   const std::vector<standins::model_entry>& log) { seen[command.id] = log; };
        client->on_done = [this](const std::string& done) {
            last_write = done;
            deployment.service.confirm(done);
        };
    }

    /// The second daemon neither hears of the new instance nor can promote one.
    void cut_second_daemon_from_store(bool is_cut) {
        deployment.cut_from_proxies(1, is_cut);
        if (is_cut) {
            deployment.store.cut_hosts.insert(simulated_deployment::host_name(1));
        } else {
            deployment.store.cut_hosts.erase(simulated_deployment::host_name(1));
        }
    }

    void confirm_commits_through_new_replica() {
        cut_second_daemon_from_store(true);
        deployment.cut(1, "i-1", true);
        deployment.service.add("i-4");
        deployment.list("i-4", false);
        write_for(1s);
        for (const char* deaf : {"i-2", "i-3"}) {
            deployment.service.set_cut("i-1", deaf, true);
        }
        write_for(500ms);
        REQUIRE(count(statement_outcome::done) > 100);
    }

    /// Sends reads for a while; returns how many were served, and checks that each saw the last write that
    /// was done before it.
    std::size_t read_for(duration length) {
        std::map<std::string, std::string> required;
        for (duration passed{0}; passed < length; passed += 50ms) {
            required[reader->send("READ a")] = last_write;
            write_for(50ms);
        }
        deployment.run_for(2s);
        std::size_t served = 0;
        for (const auto& [read, write] : required) {
            if (reader->result(read) == nullptr || reader->outcome(read) != statement_outcome::done) {
                continue;
            }
            ++served;
            const std::vector<standins::model_entry>& log = seen[read];
            CHECK(std::any_of(log.begin(), log.end(),
                              [&required_id = write](const standins::model_entry& entry) {
                                  return entry.id == required_id;
                              }));
        }
        return served;
    }
};

} // namespace

// Guards against stale reads of a daemon without the primary that takes the replicas it knows for all there
// are.
TEST_CASE_FIXTURE(latest_read_fixture, "unlisted_replica_holds_commits_latest_read_is_refused_or_sees_them") {
    confirm_commits_through_new_replica();
    read_for(2s);
}

// Guards against refusing such reads although the store names all replicas.
TEST_CASE_FIXTURE(latest_read_fixture, "unlisted_replica_is_found_by_the_list_latest_read_is_served") {
    confirm_commits_through_new_replica();
    cut_second_daemon_from_store(false);
    CHECK(read_for(1s) > 0);
}
