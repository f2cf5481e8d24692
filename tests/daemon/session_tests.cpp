#include "deployment.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace gentianhill::tests;
using namespace std::chrono_literals;

// Guards against a session that does not see its own write at another daemon, while both replicas are behind.
TEST_CASE_FIXTURE(deployment, "session_moves_after_each_write_sees_its_own_writes") {
    start_all(150);
    std::string token;
    for (int id = 1; id <= 5; ++id) {
        const std::string writer = id % 2 == 0 ? "kyushu-a-1" : "kyushu-b-1";
        const std::string reader = id % 2 == 0 ? "kyushu-b-1" : "kyushu-a-1";
        const nlohmann::json written =
            write(writer, "INSERT INTO builds VALUES (?, 32)", nlohmann::json::array({id}));
        REQUIRE_MESSAGE(written["status"] == "done", written.dump());
        token = written["token"];
        const nlohmann::json found = read(reader, "SELECT count(*) FROM builds", token);
        REQUIRE_MESSAGE(found["status"] == "done", found.dump());
        CHECK(found["rows"][0][0] == id);
        token = found["token"];
    }
}

// Guards against a session that is served by a replica far behind, since that one is nearest to its new
// daemon.
TEST_CASE_FIXTURE(deployment, "session_moves_to_zone_of_far_behind_replica_sees_its_own_write") {
    start_instances(5);
    start_daemon("kyushu-a-1", "kyushu-a");
    start_daemon("kyushu-c-1", "kyushu-c");
    submit_group_ticket();
    REQUIRE(write("kyushu-a-1", "CREATE TABLE builds (id INTEGER PRIMARY KEY, spokes INTEGER)",
                  nlohmann::json::array())["status"] == "done");
    run_for(300ms);
    set_faults("wheeldb-1c", {{"lag_ms", 3000}});
    for (int id = 1; id <= 3; ++id) {
        const nlohmann::json written =
            write("kyushu-a-1", "INSERT INTO builds VALUES (?, 32)", nlohmann::json::array({id}));
        REQUIRE_MESSAGE(written["status"] == "done", written.dump());
        const nlohmann::json found = read("kyushu-c-1", "SELECT count(*) FROM builds", written["token"]);
        REQUIRE_MESSAGE(found["status"] == "done", found.dump());
        CHECK(found["rows"][0][0] == id);
    }
}

// Guards against a read that shows a write which a promotion then loses, and against losing a confirmed one.
TEST_CASE_FIXTURE(deployment, "session_primary_lost_between_write_and_read_sees_its_own_write") {
    start_all(150);
    const nlohmann::json written =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array());
    REQUIRE(written["status"] == "done");
    set_platform_faults({{"down", true}});
    crash_instance("wheeldb-1a");
    const nlohmann::json found = read("kyushu-b-1", "SELECT count(*) FROM builds", written["token"]);
    REQUIRE_MESSAGE(found["status"] == "done", found.dump());
    CHECK(found["rows"][0][0] == 1);
    // A write after the promotion, with the platform still down.
    const nlohmann::json next =
        write("kyushu-b-1", "INSERT INTO builds VALUES (2, 36)", nlohmann::json::array(), "build-2", 10000);
    REQUIRE_MESSAGE(next["status"] == "done", next.dump());
    const nlohmann::json both = read("kyushu-a-1", "SELECT count(*) FROM builds", next["token"]);
    CHECK(both["rows"][0][0] == 2);
}

// Guards against a forged or foreign token being taken for a new session.
TEST_CASE_FIXTURE(deployment, "session_token_changed_by_the_caller_is_refused") {
    start_all(0);
    const nlohmann::json written =
        write("kyushu-a-1", "INSERT INTO builds VALUES (1, 32)", nlohmann::json::array());
    std::string token = written["token"];
    token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
    const nlohmann::json refused = read("kyushu-b-1", "SELECT 1", token);
    CHECK(refused["status"] == "not_run");
    CHECK(refused["error"]["code"] == "bad_signature");
}

// Guards against reads that all go to the primary while replicas are up to date.
TEST_CASE_FIXTURE(deployment, "session_without_recent_write_is_served_by_a_replica") {
    start_all(10);
    run_for(500ms);
    int at_replicas = 0;
    for (int i = 0; i < 20; ++i) {
        const nlohmann::json found = read("kyushu-b-1", "SELECT count(*) FROM builds", "");
        REQUIRE_MESSAGE(found["status"] == "done", found.dump());
        at_replicas += found["served_by"] != "wheeldb-1a" ? 1 : 0;
        CHECK(found["age_ms"].get<int>() <= 5000);
    }
    CHECK(at_replicas >= 18);
}
