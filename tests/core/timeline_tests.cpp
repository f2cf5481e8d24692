#include "gentianhill/core/merged_timeline.h"
#include "gentianhill/core/timeline.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace gentianhill;

namespace {

timeline_event make_event(std::int64_t wall_ms, event_kind kind, std::optional<event_id> cause = {}) {
    timeline_event result;
    result.at = hybrid_timestamp{wall_ms, 0};
    result.kind = kind;
    result.group = "wheeldb";
    result.cause = std::move(cause);
    return result;
}

struct timeline_fixture {
    timeline a{timeline_settings{"a", 1, 4, 8, 2}};
    timeline b{timeline_settings{"b", 1, 4, 8, 2}};
    error reason;
};

} // namespace

// Guards against overwritten events that go unnoticed.
TEST_CASE_FIXTURE(timeline_fixture, "timeline_ring_overwritten_shows_a_gap") {
    for (int i = 0; i < 6; ++i) {
        a.record(make_event(i, event_kind::suspected));
    }
    CHECK(a.dropped() == 2);
    const std::optional<merged_timeline> merged = merged_timeline::merge({a.export_since(0, 100)}, reason);
    REQUIRE(merged);
    CHECK(merged->events.size() == 4);
    REQUIRE(merged->gaps.size() == 1);
    CHECK(merged->gaps[0].first == 1);
    CHECK(merged->gaps[0].last == 2);
}

// Guards against a follower that misses or repeats events between two exports.
TEST_CASE_FIXTURE(timeline_fixture, "timeline_exports_in_parts_merge_without_gap_or_repeat") {
    for (int i = 0; i < 4; ++i) {
        a.record(make_event(i, event_kind::suspected));
    }
    const std::optional<merged_timeline> merged =
        merged_timeline::merge({a.export_since(0, 2), a.export_since(2, 2), a.export_since(1, 2)}, reason);
    REQUIRE(merged);
    CHECK(merged->events.size() == 4);
    CHECK(merged->gaps.empty());
}

// Guards against an effect that is shown before its cause when clocks differ.
TEST_CASE_FIXTURE(timeline_fixture, "merged_timeline_effect_with_earlier_time_follows_its_cause") {
    a.record(make_event(10, event_kind::daemon_started));
    const event_id cause = a.record(make_event(500, event_kind::fence_sent));
    b.record(make_event(100, event_kind::fence_accepted, cause));
    b.record(make_event(90, event_kind::promoted));
    const std::optional<merged_timeline> merged =
        merged_timeline::merge({b.export_since(0, 100), a.export_since(0, 100)}, reason);
    REQUIRE(merged);
    REQUIRE(merged->events.size() == 4);
    CHECK(merged->events[0].kind == event_kind::daemon_started);
    CHECK(merged->events[1].kind == event_kind::fence_sent);
    CHECK(merged->events[2].kind == event_kind::fence_accepted);
    CHECK(merged->events[3].kind == event_kind::promoted);
}

// Guards against a merge that never ends or drops events on causes that form a cycle.
TEST_CASE_FIXTURE(timeline_fixture, "merged_timeline_causes_in_a_cycle_keeps_all_events") {
    a.record(make_event(10, event_kind::fence_sent, event_id{"b", 1, 1}));
    b.record(make_event(20, event_kind::promoted, event_id{"a", 1, 1}));
    const std::optional<merged_timeline> merged =
        merged_timeline::merge({b.export_since(0, 100), a.export_since(0, 100)}, reason);
    REQUIRE(merged);
    CHECK(merged->events.size() == 2);
}

// Guards against export text that JSON cannot hold: a cut must not split a UTF-8 sequence.
TEST_CASE_FIXTURE(timeline_fixture, "timeline_long_field_is_cut_between_characters") {
    timeline_event event = make_event(1, event_kind::fault);
    event.fields = {{"text", "1234567\xc3\xa9"}, {"b", "2"}, {"c", "3"}};
    a.record(event);
    const nlohmann::json exported = a.export_since(0, 1);
    CHECK(exported["events"][0]["fields"] == nlohmann::json{{"text", "1234567"}, {"b", "2"}});
    CHECK_NOTHROW(static_cast<void>(exported.dump()));
}

// Guards against exports of a newer version or a faulty daemon that stop the tool without a reason.
TEST_CASE_FIXTURE(timeline_fixture, "merged_timeline_unknown_kind_is_kept_and_invalid_field_is_named") {
    a.record(make_event(1, event_kind::fault));
    nlohmann::json exported = a.export_since(0, 1);
    exported["events"][0]["kind"] = "rebalanced";
    const std::optional<merged_timeline> merged = merged_timeline::merge({exported}, reason);
    REQUIRE(merged);
    CHECK(merged->events[0].kind == event_kind::other);
    CHECK(merged->events[0].fields[0].second == "rebalanced");
    exported["events"][0]["at"] = "yesterday";
    CHECK_FALSE(merged_timeline::merge({exported}, reason));
    CHECK(reason.field == "exports[0].events[0].at");
}

// Guards against event kinds that operators cannot look up.
TEST_CASE("event_kinds_are_all_named_and_in_the_glossary") {
    std::ifstream file{GENTIANHILL_SOURCE_DIR "/docs/glossary.md"};
    std::ostringstream text;
    text << file.rdbuf();
    for (int value = 0; value <= static_cast<int>(event_kind::other); ++value) {
        const event_kind kind = static_cast<event_kind>(value);
        CAPTURE(to_string(kind));
        CHECK(event_kind_from(to_string(kind)) == kind);
        CHECK(text.str().find("`" + std::string{to_string(kind)} + "`") != std::string::npos);
    }
}
