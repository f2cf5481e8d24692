#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct freshness_fixture {
    simulated_deployment deployment{2};
    std::map<std::string, std::vector<standins::model_entry>> seen;
    std::map<std::string, std::string> ran_at;

    freshness_fixture() {
        deployment.service.on_read = [this](const standins::model_command& command,
                                            const standins::model_connection& connection,
                                            const std::vector<standins::model_entry>& log) {
            seen[command.id] = log;
            ran_at[command.id] = connection.instance;
        };
    }

    [[nodiscard]] bool saw(const std::string& read, const std::string& write) const {
        const auto found = seen.find(read);
        return found != seen.end() &&
               std::any_of(found->second.begin(), found->second.end(),
                           [&write](const standins::model_entry& entry) { return entry.id == write; });
    }
};

} // namespace

// Guards against a session that does not see its own commit on a lagging replica.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_own_commit_is_visible_to_next_read") {
    std::unique_ptr<simulated_client> client = deployment.connect(0, "own");
    for (int round = 0; round < 30; ++round) {
        const std::string write = client->send("WRITE a 1");
        const std::string read = client->send("READ a");
        deployment.run_for(100ms);
        REQUIRE(client->outcome(write) == statement_outcome::done);
        REQUIRE(client->outcome(read) == statement_outcome::done);
        CHECK(saw(read, write));
    }
}

// Guards against a latest read that misses a commit acknowledged by another daemon.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_latest_read_sees_commits_of_other_daemons") {
    std::unique_ptr<simulated_client> writer = deployment.connect(0, "own");
    std::unique_ptr<simulated_client> reader = deployment.connect(1, "latest");
    for (int round = 0; round < 30; ++round) {
        const std::string write = writer->send("WRITE a 1");
        deployment.run_for(50ms);
        REQUIRE(writer->outcome(write) == statement_outcome::done);
        const std::string read = reader->send("READ a");
        deployment.run_for(50ms);
        REQUIRE(reader->outcome(read) == statement_outcome::done);
        CHECK(saw(read, write));
    }
}

// Guards against reads that go to the primary although a replica is fresh enough.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_bounded_reads_use_replicas") {
    std::unique_ptr<simulated_client> client = deployment.connect(1, "bounded");
    std::size_t at_replicas = 0;
    for (int round = 0; round < 30; ++round) {
        const std::string read = client->send("READ a");
        deployment.run_for(50ms);
        REQUIRE(client->outcome(read) == statement_outcome::done);
        at_replicas += ran_at[read] != "i-1" ? 1U : 0U;
    }
    CHECK(at_replicas > 15);
}

// Guards against stale reads from a replaced primary by a daemon that could not learn of the promotion.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_daemon_partitioned_with_old_primary_serves_no_stale_reads") {
    // The daemon and the old primary are in a partition without the replicas and the store.
    for (const char* other : {"i-2", "i-3"}) {
        deployment.service.set_cut("i-1", other, true);
        deployment.cut(0, other, true);
    }
    deployment.cut(1, "i-1", true);
    deployment.store.cut_hosts.insert(simulated_deployment::host_name(0));
    std::unique_ptr<simulated_client> stranded = deployment.connect(0, "latest");
    std::unique_ptr<simulated_client> writer = deployment.connect(1, "own");
    std::string last_write;
    std::size_t acknowledged = 0;
    for (int round = 0; round < 160; ++round) {
        const std::string write = writer->send("WRITE a 1");
        const std::string read = stranded->send("READ a");
        deployment.run_for(50ms);
        if (!last_write.empty() && stranded->result(read) != nullptr &&
            stranded->outcome(read) == statement_outcome::done) {
            CHECK(saw(read, last_write));
        }
        if (writer->result(write) != nullptr && writer->outcome(write) == statement_outcome::done) {
            last_write = write;
            ++acknowledged;
        }
    }
    CHECK(acknowledged > 20);
    CHECK(deployment.service.violations().empty());
}

// Guards against stale reads at a primary that has started again under its id with an empty log, before any
// write shows that it no longer leads.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_primary_restarted_without_log_serves_no_stale_reads") {
    std::unique_ptr<simulated_client> writer = deployment.connect(0, "own");
    const std::string write = writer->send("WRITE a 1");
    // Beyond the staleness that any of the routes allows.
    deployment.run_for(2s);
    REQUIRE(writer->outcome(write) == statement_outcome::done);
    std::vector<std::unique_ptr<simulated_client>> readers;
    for (std::size_t proxy = 0; proxy < 2; ++proxy) {
        readers.push_back(deployment.connect(proxy, "latest"));
        readers.push_back(deployment.connect(proxy, "own"));
    }
    bool in_transaction = false;
    SUBCASE("single reads") {}
    SUBCASE("read transactions") {
        in_transaction = true;
    }
    const std::vector<std::string> texts = in_transaction
                                               ? std::vector<std::string>{"BEGIN READ", "READ a", "COMMIT"}
                                               : std::vector<std::string>{"READ a"};
    deployment.service.set_up("i-1", false);
    deployment.run_for(60ms);
    deployment.restart_without_log("i-1");
    std::size_t served = 0;
    for (int round = 0; round < 100; ++round) {
        for (const std::unique_ptr<simulated_client>& reader : readers) {
            for (const std::string& text : texts) {
                const std::string id = reader->send(text);
                for (int step = 0; step < 100 && reader->result(id) == nullptr; ++step) {
                    deployment.run_for(5ms);
                }
                if (text == "READ a" && seen.count(id) > 0 &&
                    reader->outcome(id) == statement_outcome::done) {
                    CHECK(saw(id, write));
                    ++served;
                }
            }
        }
    }
    CHECK(served > 0);
}

// Guards against refusing reads while no primary serves, although the logs of the replicas contain every
// acknowledged commit.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_reads_during_failover_are_served") {
    std::unique_ptr<simulated_client> writer = deployment.connect(0, "own");
    const std::string write = writer->send("WRITE a 1");
    deployment.run_for(200ms);
    REQUIRE(writer->outcome(write) == statement_outcome::done);
    deployment.service.set_up("i-1", false);
    deployment.run_for(300ms);
    std::unique_ptr<simulated_client> bounded = deployment.connect(1, "bounded");
    std::unique_ptr<simulated_client> latest = deployment.connect(1, "latest");
    std::size_t served = 0;
    std::size_t asked = 0;
    while (deployment.service.promotions() == 0 && asked < 200) {
        for (simulated_client* client : {bounded.get(), latest.get()}) {
            const std::string read = client->send("READ a");
            deployment.run_for(50ms);
            ++asked;
            if (client->result(read) != nullptr && client->outcome(read) == statement_outcome::done) {
                CHECK(saw(read, write));
                ++served;
            }
        }
    }
    CHECK(served * 10 >= asked * 8);
}

// Guards against a daemon that resumes after host suspension and still trusts the old primary.
TEST_CASE_FIXTURE(freshness_fixture, "freshness_daemon_resumed_after_suspension_serves_no_stale_reads") {
    std::unique_ptr<simulated_client> reader = deployment.connect(0, "latest");
    reader->send("READ a");
    deployment.run_for(100ms);
    deployment.clock.freeze(simulated_deployment::host_name(0));
    deployment.service.set_up("i-1", false);
    std::unique_ptr<simulated_client> writer = deployment.connect(1, "own");
    std::string last_write;
    for (int round = 0; round < 80; ++round) {
        const std::string write = writer->send("WRITE a 1");
        deployment.run_for(50ms);
        if (writer->result(write) != nullptr && writer->outcome(write) == statement_outcome::done) {
            last_write = write;
        }
    }
    REQUIRE(!last_write.empty());
    deployment.clock.wake(simulated_deployment::host_name(0));
    const std::string read = reader->send("READ a");
    deployment.run_for(1s);
    REQUIRE(reader->result(read) != nullptr);
    CHECK((reader->outcome(read) != statement_outcome::done || saw(read, last_write)));
}
