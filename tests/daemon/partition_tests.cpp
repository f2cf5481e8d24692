#include "deployment.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace gentianhill::tests;
using namespace std::chrono_literals;

namespace {

struct partition_fixture : deployment {
    partition_fixture() {
        start_all(10);
        run_for(500ms);
    }

    /// Cuts a daemon off from instances; requests are received and never answered.
    void cut(const std::string& daemon, const std::vector<std::string>& from) {
        for (const std::string& instance : from) {
            set_faults(instance, {{"drop_sources", {daemon}}});
        }
    }

    void heal() {
        for (const char* instance : {"wheeldb-1a", "wheeldb-1b", "wheeldb-1c"}) {
            set_faults(instance, {{"drop_sources", nlohmann::json::array()}});
        }
    }

    nlohmann::json stale_read(const std::string& daemon, int max_age_ms) {
        return call(daemon, "/v1/statement",
                    {{"group", "wheeldb-1"},
                     {"team", "shops"},
                     {"sql", "SELECT count(*) FROM builds"},
                     {"read_only", true},
                     {"max_age_ms", max_age_ms},
                     {"deadline_ms", 1500}});
    }
};

} // namespace

// Guards against a zone that stops serving reads when it is cut off, or serves them with a false age.
TEST_CASE_FIXTURE(partition_fixture,
                  "partition_daemon_with_one_replica_serves_reads_of_true_age_and_refuses_writes") {
    cut("kyushu-b-1", {"wheeldb-1a", "wheeldb-1c"});
    const time_point began = event_loop::now();
    run_for(1500ms);
    // Writes go on at the other side; the cut-off replica is not told of it by this daemon.
    set_faults("wheeldb-1b", {{"drop_replication", true}});
    REQUIRE(write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array())["status"] ==
            "done");
    run_for(1s);
    const nlohmann::json found = stale_read("kyushu-b-1", 30000);
    REQUIRE_MESSAGE(found["status"] == "done", found.dump());
    CHECK(found["served_by"] == "wheeldb-1b");
    CHECK(found["rows"][0][0] == 0);
    // The data lacks a write that was confirmed about 1 s ago, and contact was lost before that.
    CHECK(found["age_ms"].get<std::int64_t>() >= 1000);
    CHECK(found["age_ms"].get<std::int64_t>() <= to_milliseconds(event_loop::now() - began) + 1000);
    const nlohmann::json strict = stale_read("kyushu-b-1", 100);
    CHECK(strict["status"] != "done");
    const nlohmann::json refused =
        write("kyushu-b-1", "INSERT INTO builds VALUES (2, 32)", nlohmann::json::array(), "build-2", 1500);
    CHECK(refused["status"] != "done");
    // Healing brings everything back.
    set_faults("wheeldb-1b", {{"drop_replication", false}});
    heal();
    const nlohmann::json written =
        write("kyushu-b-1", "INSERT INTO builds VALUES (3, 32)", nlohmann::json::array(), "build-3", 10000);
    CHECK_MESSAGE(written["status"] == "done", written.dump());
}

// Guards against a promotion because one daemon cannot reach a primary that serves all others.
TEST_CASE_FIXTURE(partition_fixture, "partition_one_daemon_cut_from_primary_promotes_nothing") {
    cut("kyushu-b-1", {"wheeldb-1a"});
    for (int id = 1; id <= 30; ++id) {
        const nlohmann::json written =
            write("kyushu-a-1", "INSERT INTO builds VALUES (?, 32)", nlohmann::json::array({id}));
        REQUIRE_MESSAGE(written["status"] == "done", written.dump());
        run_for(100ms);
    }
    CHECK(primary_at("kyushu-a-1") == "wheeldb-1a");
}

// Guards against replicas that do not acknowledge while unknown outcomes pile up.
TEST_CASE_FIXTURE(partition_fixture,
                  "partition_replicas_silent_new_writes_are_refused_before_they_are_sent") {
    set_faults("wheeldb-1b", {{"drop_replication", true}});
    set_faults("wheeldb-1c", {{"drop_replication", true}});
    const nlohmann::json first =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(), "build-1", 1300);
    CHECK(first["status"] == "outcome_unknown");
    const nlohmann::json second =
        write("kyushu-a-1", "INSERT INTO builds VALUES (2, 32)", nlohmann::json::array(), "build-2", 1300);
    CHECK(second["status"] == "not_run");
    set_faults("wheeldb-1b", {{"drop_replication", false}});
    const nlohmann::json third =
        write("kyushu-a-1", "INSERT INTO builds VALUES (3, 32)", nlohmann::json::array(), "build-3", 10000);
    if (third["status"] != "done") {
        wait_for("writes to be accepted again", [this] {
            return write("kyushu-a-1", "INSERT INTO builds VALUES (3, 32)", nlohmann::json::array(),
                         "build-3", 3000)["status"] == "done";
        });
    }
    const nlohmann::json repeated =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(), "build-1", 5000);
    CHECK_MESSAGE(repeated["status"] == "done", repeated.dump());
}
