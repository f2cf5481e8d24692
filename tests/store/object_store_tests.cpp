#include "tests/store/scripted_store.h"

#include <algorithm>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct store_fixture : scripted_store {
    object_store store{loop, settings, [] { return 0.5; }};
    std::optional<update_result> updated;
    std::optional<create_result> created;
    std::optional<store_result> result;

    /// Adds this daemon to a list of claims, unless it is there.
    static std::optional<nlohmann::json> add_claim(const std::optional<nlohmann::json>& current) {
        nlohmann::json claims = current.value_or(nlohmann::json::array());
        if (std::find(claims.begin(), claims.end(), "eh-1") != claims.end()) {
            return std::nullopt;
        }
        claims.push_back("eh-1");
        return claims;
    }
    update_result update() {
        updated.reset();
        store.conditional_update("groups/g", &add_claim,
                                 [this](const update_result& ended) { updated = ended; });
        REQUIRE(wait([this] { return updated.has_value(); }));
        return *updated;
    }
    create_result create() {
        created.reset();
        store.create_once("tickets/7", {{"number", 7}},
                          [this](const create_result& ended) { created = ended; });
        REQUIRE(wait([this] { return created.has_value(); }));
        return *created;
    }
    store_result get() {
        result.reset();
        store.get("k", [this](const store_result& ended) { result = ended; });
        REQUIRE(wait([this] { return result.has_value(); }));
        return *result;
    }
    store_result put() {
        result.reset();
        store.put("k", 1, 3, [this](const store_result& ended) { result = ended; });
        REQUIRE(wait([this] { return result.has_value(); }));
        return *result;
    }
};

} // namespace

// Guards against answers that are mistaken for one another.
TEST_CASE_FIXTURE(store_fixture, "store_each_answer_gets_its_typed_result") {
    steps = {object(4, {{"a", 1}}), absent(), reply(500, {}), reply(200, "text"),
             reply(200, {{"version", -1}, {"value", 1}})};
    const store_result found = get();
    CHECK(found.outcome == store_outcome::found);
    CHECK(found.version == 4);
    CHECK(get().outcome == store_outcome::not_found);
    CHECK(get().outcome == store_outcome::platform_unavailable);
    CHECK(get().outcome == store_outcome::bad_answer);
    const store_result malformed = get();
    CHECK(malformed.outcome == store_outcome::bad_answer);
    CHECK(malformed.reason.field == "version");
    steps = {stored(5), conflict(9), lost(), reply(503, {})};
    CHECK(put().version == 5);
    const store_result refused = put();
    CHECK(refused.outcome == store_outcome::version_conflict);
    CHECK(refused.version == 9);
    CHECK(put().outcome == store_outcome::unknown);
    wait([this] { return server->connection_count() == 0; });
    loop.run_until([] { return false; }, 30ms);
    CHECK(put().outcome == store_outcome::unknown);
}

// Guards against a claim that is written twice, or given up, when the answer was lost after the effect.
TEST_CASE_FIXTURE(store_fixture, "update_answer_lost_after_effect_is_found_by_reading_back") {
    steps = {object(3, {"eh-2"}), lost()};
    // Calls during the reconnect delay fail without reaching the server.
    fallback = object(4, {"eh-2", "eh-1"});
    const update_result ended = update();
    CHECK(ended.outcome == update_outcome::stored);
    CHECK(ended.version == 4);
}

// Guards against an old copy that makes a lost write look as if it had no effect.
TEST_CASE_FIXTURE(store_fixture, "update_old_answer_after_conflict_is_read_again") {
    steps = {object(3, {"eh-2"}), conflict(8), object(3, {"eh-2"}), object(8, {"eh-3"}), stored(9)};
    const update_result ended = update();
    CHECK(ended.outcome == update_outcome::stored);
    CHECK(ended.value == nlohmann::json{"eh-3", "eh-1"});
    CHECK(requests.size() == 5);
}

// Guards against updates that repeat without end while others win each time.
TEST_CASE_FIXTURE(store_fixture, "update_conflict_storm_ends_after_bounded_attempts") {
    std::uint64_t version = 1;
    fallback = [&version](http2::connection_id, const http2::request& request, const responder& respond) {
        ++version;
        (request.method == "GET" ? object(version, nlohmann::json::array()) : conflict(version))(0, request,
                                                                                                 respond);
    };
    CHECK(update().outcome == update_outcome::conflicts);
    CHECK(requests.size() == 2 * settings.max_attempts);
}

// Guards against a write when there is nothing to change.
TEST_CASE_FIXTURE(store_fixture, "update_without_change_writes_nothing") {
    steps = {object(3, {"eh-1"})};
    CHECK(update().outcome == update_outcome::unchanged);
    CHECK(requests.size() == 1);
}

// Guards against a ticket that is reported as foreign although this daemon created it.
TEST_CASE_FIXTURE(store_fixture, "create_each_course_gets_its_outcome") {
    const nlohmann::json same{{"number", 7}};
    const nlohmann::json other{{"number", 7}, {"author", "another"}};
    steps = {stored(1)};
    CHECK(create().outcome == create_outcome::created);
    steps = {conflict(1), object(1, same)};
    CHECK(create().outcome == create_outcome::already_there_same);
    steps = {conflict(1), object(1, other)};
    CHECK(create().outcome == create_outcome::already_there_other);
    // An old copy does not have the object yet.
    steps = {conflict(1), absent(), object(1, other)};
    CHECK(create().outcome == create_outcome::already_there_other);
    steps = {lost()};
    fallback = object(1, same);
    CHECK(create().outcome == create_outcome::created);
}

// Guards against a daemon that floods a service that is down, and against one that does not return to it.
TEST_CASE_FIXTURE(store_fixture, "store_outage_bounds_the_calls_and_ends_with_the_outage") {
    const std::uint16_t port = server->port();
    fallback = object(1, 1);
    CHECK(get().outcome == store_outcome::found);
    server.reset();
    for (int i = 0; i < 200; ++i) {
        CHECK(get().outcome == store_outcome::platform_unavailable);
    }
    CHECK_FALSE(store.is_available());
    // 200 calls in a few milliseconds must not become 200 connections.
    CHECK(store.counters().connections < 50);
    start(port);
    REQUIRE(wait([this] { return get().outcome == store_outcome::found; }));
}

// Guards against a connection through a partition that is kept although nothing arrives.
TEST_CASE_FIXTURE(store_fixture, "store_silent_connection_is_replaced") {
    // The first call receives the connection's settings, so that two silent ones follow it.
    for (int i = 0; i < 3; ++i) {
        CHECK(get().outcome == store_outcome::platform_unavailable);
    }
    fallback = object(1, 1);
    REQUIRE(wait([this] { return get().outcome == store_outcome::found; }));
    CHECK(store.counters().connections == 2);
}

// Guards against more concurrent calls than allowed, and against waiting calls that are forgotten.
TEST_CASE_FIXTURE(store_fixture, "store_concurrent_calls_are_bounded_and_all_end") {
    std::vector<responder> held;
    fallback = [&held](http2::connection_id, const http2::request&, const responder& respond) {
        held.push_back(respond);
    };
    std::size_t found = 0;
    for (int i = 0; i < 30; ++i) {
        store.get("k",
                  [&found](const store_result& ended) { found += ended.outcome == store_outcome::found; });
    }
    REQUIRE(wait([&held, this] { return held.size() >= settings.max_concurrent_calls; }));
    CHECK(held.size() == settings.max_concurrent_calls);
    fallback = object(1, 1);
    for (const responder& respond : held) {
        object(1, 1)(0, {}, respond);
    }
    CHECK(wait([&found] { return found == 30; }));
}
