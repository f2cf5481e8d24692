#include "deployment.h"

#include <doctest/doctest.h>

#include <ctime>

using namespace gentianhill;
using namespace gentianhill::tests;
using namespace std::chrono_literals;

namespace {

struct answer_fixture : deployment {
    answer_fixture() { start_all(10); }

    nlohmann::json outcome(const std::string& daemon, const std::string& key) {
        return call(daemon, "/v1/outcome",
                    {{"group", "wheeldb-1"}, {"team", "shops"}, {"key", key}, {"deadline_ms", 5000}});
    }

    std::int64_t count(int id) {
        const nlohmann::json found = call("kyushu-b-1", "/v1/statement",
                                          {{"group", "wheeldb-1"},
                                           {"team", "shops"},
                                           {"sql", "SELECT count(*) FROM builds WHERE id >= ?"},
                                           {"params", {id}},
                                           {"read_only", true},
                                           {"consistency", "latest"}});
        REQUIRE_MESSAGE(found["status"] == "done", found.dump());
        return found["rows"][0][0];
    }
};

} // namespace

// Guards against crossed answers of an instance reaching the wrong callers.
TEST_CASE_FIXTURE(answer_fixture, "answers_crossed_by_the_instance_reach_no_caller") {
    for (int id = 1; id <= 4; ++id) {
        REQUIRE(write("kyushu-a-1", "INSERT INTO builds VALUES (?, ?)",
                      nlohmann::json::array({id, id * 10}))["status"] == "done");
    }
    for (const char* instance : {"wheeldb-1a", "wheeldb-1b", "wheeldb-1c"}) {
        set_faults(instance, {{"swap_answers", true}});
    }
    std::vector<pending_ptr> reads;
    for (int id = 1; id <= 4; ++id) {
        reads.push_back(send("kyushu-a-1", "/v1/statement",
                             {{"group", "wheeldb-1"},
                              {"team", "shops"},
                              {"sql", "SELECT spokes FROM builds WHERE id = ?"},
                              {"params", {id}},
                              {"read_only", true},
                              {"consistency", "latest"},
                              {"deadline_ms", 1500}}));
    }
    for (int id = 1; id <= 4; ++id) {
        const nlohmann::json found = await(reads[id - 1]);
        if (found["status"] == "done") {
            CHECK(found["rows"] == nlohmann::json::array({nlohmann::json::array({id * 10})}));
        }
    }
}

// Guards against a truncated answer being taken for a whole one.
TEST_CASE_FIXTURE(answer_fixture, "answers_truncated_by_the_instance_are_never_done") {
    set_faults("wheeldb-1a", {{"truncate_answers", true}});
    const nlohmann::json answer =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(), "", 1000);
    CHECK(answer["status"] == "outcome_unknown");
}

// Guards against a write that ran twice because its answer was lost and it was sent again.
TEST_CASE_FIXTURE(answer_fixture, "keyed_write_answer_lost_runs_once_and_is_answered") {
    set_faults("wheeldb-1a", {{"drop_answers", 1}});
    const nlohmann::json written = write("kyushu-a-1", "INSERT INTO builds (spokes) VALUES (32)",
                                         nlohmann::json::array(), "build-1", 6000);
    const nlohmann::json again = write("kyushu-b-1", "INSERT INTO builds (spokes) VALUES (32)",
                                       nlohmann::json::array(), "build-1", 6000);
    CHECK_MESSAGE(again["status"] == "done", again.dump());
    CHECK(again["repeated"] == true);
    CHECK(again["changes"] == 1);
    CHECK(written["status"] != "not_run");
    CHECK(count(1) == 1);
}

// Guards against two different requests under one key.
TEST_CASE_FIXTURE(answer_fixture, "keyed_write_key_of_another_statement_is_refused") {
    REQUIRE(write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(),
                  "build-1")["status"] == "done");
    const nlohmann::json other =
        write("kyushu-b-1", "INSERT INTO builds VALUES (2, 32)", nlohmann::json::array(), "build-1");
    CHECK(other["status"] == "not_run");
    CHECK(other["error"]["code"] == "key_reused");
    CHECK(count(1) == 1);
}

// Guards against "not run" about a request that is still on its way and runs later.
TEST_CASE_FIXTURE(answer_fixture, "outcome_of_absent_key_refuses_its_late_arrival") {
    const nlohmann::json asked = outcome("kyushu-b-1", "build-1");
    CHECK(asked["status"] == "not_run");
    const nlohmann::json late =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(), "build-1");
    CHECK(late["status"] == "not_run");
    CHECK(late["error"]["code"] == "key_cancelled");
    CHECK(count(1) == 0);
    CHECK(outcome("kyushu-a-1", "build-1")["status"] == "not_run");
}

// Guards against a caller that cannot learn its outcome because the daemon that served it died.
TEST_CASE_FIXTURE(answer_fixture, "outcome_after_daemon_died_is_found_through_another") {
    const pending_ptr saved = send("kyushu-a-1", "/v1/statement",
                                   {{"group", "wheeldb-1"},
                                    {"team", "shops"},
                                    {"sql", "INSERT INTO builds VALUES (1, 32)"},
                                    {"key", "build-1"},
                                    {"issued_at", std::time(nullptr)}});
    run_for(3ms);
    crash_daemon("kyushu-a-1");
    const nlohmann::json found = outcome("kyushu-b-1", "build-1");
    REQUIRE_MESSAGE(found["status"] != "outcome_unknown", found.dump());
    CHECK(count(1) == (found["status"] == "done" ? 1 : 0));
}

// Guards against an expired key that would run its request a second time.
TEST_CASE_FIXTURE(answer_fixture, "keyed_write_older_than_retention_is_refused") {
    const nlohmann::json refused = call("kyushu-a-1", "/v1/statement",
                                        {{"group", "wheeldb-1"},
                                         {"team", "shops"},
                                         {"sql", "INSERT INTO builds VALUES (1, 32)"},
                                         {"key", "build-1"},
                                         {"issued_at", std::time(nullptr) - 90000}});
    CHECK(refused["status"] == "not_run");
    CHECK(refused["error"]["code"] == "key_expired");
}

// Guards against a caller's own constraint violation being mistaken for a repeat.
TEST_CASE_FIXTURE(answer_fixture, "keyed_write_constraint_violation_is_not_run") {
    REQUIRE(write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array(),
                  "build-1")["status"] == "done");
    const nlohmann::json refused =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 36)", nlohmann::json::array(), "build-2");
    CHECK(refused["status"] == "not_run");
    CHECK(refused["error"]["code"] == "duplicate_key");
}

// Guards against unknown groups, teams and statements that are answered with anything but a typed refusal.
TEST_CASE_FIXTURE(answer_fixture, "bad_requests_get_typed_refusals") {
    nlohmann::json body{{"group", "nowhere"}, {"team", "shops"}, {"sql", "SELECT 1"}, {"read_only", true}};
    CHECK(call("kyushu-a-1", "/v1/statement", body)["error"]["code"] == "unknown_group");
    body["group"] = "wheeldb-1";
    body["team"] = "nobody";
    CHECK(call("kyushu-a-1", "/v1/statement", body)["error"]["code"] == "unknown_team");
    body["team"] = "shops";
    body["sql"] = "SELECT nothing FROM nowhere";
    CHECK(call("kyushu-a-1", "/v1/statement", body)["error"]["code"] == "statement_failed");
    body["sql"] = "DELETE FROM builds";
    CHECK(call("kyushu-a-1", "/v1/statement", body)["status"] == "not_run");
}
