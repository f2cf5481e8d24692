#include "standins/link/link_relay.h"
#include "tests/standins/database_group.h"

using namespace gentianhill;
using namespace gentianhill::standins;
using namespace std::chrono_literals;

// Guards against a superseded primary that still runs or confirms writes.
TEST_CASE_FIXTURE(database_group, "instance_fenced_refuses_statements_of_the_older_term") {
    REQUIRE(to("a").call("/v1/fence", {{"term", 2}}).status == 200);
    CHECK(to("a").execute(1, "INSERT INTO t VALUES (1, 'x')").error_name() == "stale_term");
    CHECK(to("a").execute(1, "SELECT * FROM t", true).error_name() == "stale_term");
    // Not primary of the new term either.
    CHECK(to("a").execute(2, "INSERT INTO t VALUES (1, 'x')").error_name() == "not_primary");
}

// Guards against entries of an older term that reach a fenced replica.
TEST_CASE_FIXTURE(database_group, "replica_fenced_takes_no_entries_of_the_older_primary") {
    wait_until_equal("c", "a");
    const nlohmann::json before = status("c");
    REQUIRE(to("c").call("/v1/fence", {{"term", 2}}).status == 200);
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (1, 'x')").status == 200);
    wait_until_equal("b", "a");
    CHECK(status("c")["position"] == before["position"]);
    const nlohmann::json request{{"term", 2}, {"log_term", 1}, {"position", 1}};
    CHECK(to("a").call("/v1/replicate", request).error_name() == "stale_term");
}

// Guards against a fence that is granted twice to different daemons, and against a lost answer to a fence
// that cannot be repeated.
TEST_CASE_FIXTURE(database_group, "fence_repeated_succeeds_only_for_the_same_source") {
    const std::unique_ptr<json_caller> other = connect("b", "other");
    REQUIRE(to("b").call("/v1/fence", {{"term", 5}}).status == 200);
    const json_caller::outcome repeated = to("b").call("/v1/fence", {{"term", 5}});
    CHECK(repeated.status == 200);
    CHECK(repeated.body["accepted_term"] == 5);
    const json_caller::outcome refused = other->call("/v1/fence", {{"term", 5}});
    CHECK(refused.error_name() == "stale_term");
    CHECK(refused.body["status"]["accepted_term"] == 5);
    CHECK(to("b").call("/v1/fence", {{"term", 4}}).error_name() == "stale_term");
}

// Guards against two primaries of one term.
TEST_CASE_FIXTURE(database_group, "instance_second_primary_of_a_term_is_refused") {
    fail_over(2);
    CHECK(to("c").call("/v1/promote", {{"term", 2}, {"members", {"c"}}}).error_name() == "bad_value");
    CHECK(to("b").call("/v1/promote", {{"term", 2}, {"members", {"b"}}}).status == 200);
    CHECK(to("b").call("/v1/promote", {{"term", 3}, {"members", {"b"}}}).error_name() == "stale_term");
    CHECK(follow("b", 2, "c") == 400);
    CHECK(status("b")["role"] == "primary");
}

// Guards against entries that only a superseded primary has and that survive in its log or rows.
TEST_CASE_FIXTURE(database_group, "follow_cuts_off_a_diverged_tail_and_rebuilds_the_rows") {
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (1, 'common')").status == 200);
    wait_until_equal("b", "a");
    wait_until_equal("c", "a");
    fail_over(2);
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (2, 'diverged')").status == 200);
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (3, 'diverged')").status == 200);
    REQUIRE(to("b").execute(2, "INSERT INTO t VALUES (2, 'new')").status == 200);
    REQUIRE(follow("a", 2, "b") == 200);
    wait_until_equal("a", "b");
    wait_until_equal("c", "b");
    const nlohmann::json expected{{1, "common"}, {2, "new"}};
    for (const std::string name : {"a", "b", "c"}) {
        CHECK(to(name).rows(2, "SELECT * FROM t ORDER BY k") == expected);
        CHECK(status(name)["term_start"] == 4);
    }
}

// Guards against a diverged tail of several terms, where the last common entry is found in steps.
TEST_CASE_FIXTURE(database_group, "follow_after_several_terms_finds_the_last_common_entry") {
    wait_until_equal("b", "a");
    fail_over(2);
    // Each of a and b adds entries in terms that the other does not know.
    REQUIRE(to("a").call("/v1/fence", {{"term", 3}}).status == 200);
    REQUIRE(to("a").call("/v1/promote", {{"term", 3}, {"members", {"a"}}}).status == 200);
    for (int i = 10; i < 15; ++i) {
        REQUIRE(to("a").execute(3, "INSERT INTO t VALUES (" + std::to_string(i) + ", 'a')").status == 200);
        REQUIRE(to("b").execute(2, "INSERT INTO t VALUES (" + std::to_string(i) + ", 'b')").status == 200);
    }
    REQUIRE(to("b").call("/v1/fence", {{"term", 4}}).status == 200);
    REQUIRE(to("b").call("/v1/promote", {{"term", 4}, {"members", {"b"}}}).status == 200);
    REQUIRE(follow("a", 4, "b") == 200);
    wait_until_equal("a", "b");
    CHECK(to("a").rows(4, "SELECT DISTINCT v FROM t") == nlohmann::json::parse(R"([["b"]])"));
}

// Guards against an instance that lost its state and counts in a majority before it has caught up.
TEST_CASE_FIXTURE(database_group, "instance_that_lost_its_state_counts_only_when_admitted_and_caught_up") {
    const nlohmann::json old_state = status("c")["state_id"];
    add(settings_of("c"));
    CHECK(status("c")["state_id"] != old_state);
    CHECK(status("c")["initialised"] == false);
    CHECK(status("c")["accepted_term"] == 0);
    // Following without admission brings the entries but not the membership.
    REQUIRE(follow("c", 1, "a") == 200);
    wait_until_equal("c", "a");
    CHECK(status("c")["initialised"] == false);
    CHECK(to("c").execute(1, "SELECT * FROM t", true).error_name() == "replica_behind");
    CHECK(to("c").call("/v1/promote", {{"term", 1}, {"members", {"c"}}}).error_name() == "replica_behind");
    REQUIRE(follow("c", 1, "a", true) == 200);
    const json_caller::pending changed =
        to("c").start("/v1/status", {{"after_term", 9}, {"after_position", 99}, {"wait_ms", 3000}});
    CHECK(to("c").wait(changed).body["initialised"] == true);
    CHECK(to("c").execute(1, "SELECT * FROM t", true).status == 200);
}

// Guards against an admission that survives a change of the primary.
TEST_CASE_FIXTURE(database_group, "instance_admission_ends_with_its_term") {
    add(settings_of("c"));
    control("c", {{"drop_replication", true}});
    REQUIRE(follow("c", 1, "a", true) == 200);
    REQUIRE(to("b").call("/v1/fence", {{"term", 2}}).status == 200);
    REQUIRE(to("b").call("/v1/promote", {{"term", 2}, {"members", {"b"}}}).status == 200);
    REQUIRE(follow("c", 2, "b") == 200);
    control("c", {{"drop_replication", false}});
    wait_until_equal("c", "b");
    CHECK(status("c")["initialised"] == false);
}

// Guards against a status call that misses a change or is answered without one.
TEST_CASE_FIXTURE(database_group, "status_long_poll_wakes_on_entries_and_terms") {
    wait_until_equal("b", "a");
    const nlohmann::json now = status("b");
    nlohmann::json body{{"after_term", now["accepted_term"]}, {"after_position", now["position"]}};
    body["wait_ms"] = 30;
    CHECK(to("b").call("/v1/status", body).body["position"] == now["position"]);
    body["wait_ms"] = 4000;
    const json_caller::pending entry = to("b").start("/v1/status", body);
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (1, 'x')").status == 200);
    CHECK(to("b").wait(entry).body["position"] == now["position"].get<int>() + 1);
    body["after_position"] = now["position"].get<int>() + 1;
    const json_caller::pending term = to("b").start("/v1/status", body);
    REQUIRE(to("b").call("/v1/fence", {{"term", 7}}).status == 200);
    CHECK(to("b").wait(term).body["accepted_term"] == 7);
}

// Guards against replicas that show entries before their lag has passed.
TEST_CASE_FIXTURE(database_group, "replica_lag_delays_entries") {
    wait_until_equal("b", "a");
    control("b", {{"lag_ms", 60}});
    const time_point written = event_loop::now();
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (1, 'x')").status == 200);
    wait_until_equal("c", "a");
    wait_until_equal("b", "a");
    CHECK(event_loop::now() - written >= 60ms);
    CHECK(to("b").rows(1, "SELECT k FROM t") == nlohmann::json::parse("[[1]]"));
}

// Guards against a statement whose result differs between instances.
TEST_CASE_FIXTURE(database_group, "batch_with_chance_or_connection_state_is_refused") {
    CHECK(to("a").execute(1, "INSERT INTO t VALUES (random(), 'x')").error_name() == "statement_failed");
    CHECK(to("a").execute(1, "INSERT INTO t VALUES (changes(), 'x')").error_name() == "statement_failed");
    CHECK(to("a").execute(1, "PRAGMA writable_schema = 1").error_name() == "statement_failed");
    CHECK(to("a").execute(1, "COMMIT").error_name() == "statement_failed");
    nlohmann::json body{{"term", 1}, {"read_only", false}};
    body["statements"] = {{{"sql", "INSERT INTO t VALUES (1, 'x'), (2, 'y')"}},
                          {{"sql", "INSERT INTO t VALUES (10, changes())"}}};
    CHECK(to("a").call("/v1/execute", body).status == 200);
    wait_until_equal("b", "a");
    CHECK(to("b").rows(1, "SELECT v FROM t WHERE k = 10") == nlohmann::json::parse(R"([["2"]])"));
}

// Guards against a replica that keeps pulling from an address at which its primary is no longer reachable.
TEST_CASE_FIXTURE(database_group, "follow_repeated_with_another_address_pulls_from_there") {
    link_settings settings;
    settings.target = instances["a"]->address();
    link_relay relay{loop, settings};
    error reason;
    REQUIRE(relay.start(reason));
    nlohmann::json body{{"term", 1}, {"primary", "a"}};
    body["primary_address"] = relay.address().to_string();
    REQUIRE(to("c").call("/v1/follow", body).status == 200);
    wait_until_equal("c", "a");
    json_caller controller{loop, relay.control_address()};
    REQUIRE(controller.request("POST", "/control", {{"backward", false}}).status == 200);
    REQUIRE(to("a").execute(1, "INSERT INTO t VALUES (1, 'x')").status == 200);
    wait_until_equal("b", "a");
    CHECK(status("c")["position"] != status("a")["position"]);
    REQUIRE(follow("c", 1, "a") == 200);
    wait_until_equal("c", "a");
}
