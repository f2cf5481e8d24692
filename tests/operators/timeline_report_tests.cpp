#include "gentianhill/operators/timeline_report.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

timeline_event make_event(const std::string& daemon, std::uint64_t sequence, std::int64_t wall_ms,
                          event_kind kind) {
    timeline_event result;
    result.id = event_id{daemon, 1, sequence};
    result.at = hybrid_timestamp{wall_ms, 0};
    result.kind = kind;
    return result;
}

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (std::size_t place = text.find(part); place != std::string::npos;
         place = text.find(part, place + 1)) {
        ++found;
    }
    return found;
}

} // namespace

// Guards against a report that lacks lanes, events, causes or gaps.
TEST_CASE("timeline_report_shows_lanes_events_causes_and_gaps") {
    merged_timeline timeline;
    timeline.events = {make_event("entry-1", 1, 1'700'000'000'000, event_kind::fence_sent),
                       make_event("entry-2", 1, 1'700'000'000'010, event_kind::fence_accepted)};
    timeline.events[1].cause = timeline.events[0].id;
    timeline.gaps = {timeline_gap{"entry-2", 1, 2, 9}};
    const std::string page = timeline_report(timeline, {});
    CHECK(count(page, "class=\"lane\"") == 2);
    CHECK(count(page, "<circle") == 2);
    CHECK(count(page, "class=\"cause\"") == 1);
    CHECK(count(page, "<tr id=") == 2);
    CHECK(page.find("2 to 9") != std::string::npos);
    CHECK(page.find("2023-11-14 22:13:20.010") != std::string::npos);
    CHECK(timeline_report({}, {}).find("No events.") != std::string::npos);
}

// Guards against text of callers or faulty daemons that runs as a script or forges lines.
TEST_CASE("timeline_report_text_from_events_is_escaped") {
    merged_timeline timeline;
    timeline.events = {make_event("<b>", 1, INT64_MAX, event_kind::fault)};
    timeline.events[0].group = "\"'&";
    timeline.events[0].fields = {{"sql", "<script>\n\x1b[2J"}};
    const std::string page = timeline_report(timeline, {});
    CHECK(page.find("<script>") == std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
    CHECK(page.find("&quot;&#39;&amp;") != std::string::npos);
    CHECK(format_event(timeline.events[0]).find_first_of("\n\x1b") == std::string::npos);
}

// Guards against a drawing that is too large for a browser.
TEST_CASE("timeline_report_many_events_draws_the_latest") {
    merged_timeline timeline;
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        timeline.events.push_back(make_event("entry-1", sequence, 1000, event_kind::opinion_asked));
    }
    timeline_report_settings settings;
    settings.max_drawn_events = 20;
    const std::string page = timeline_report(timeline, settings);
    CHECK(count(page, "<circle") == 20);
    CHECK(count(page, "<tr id=") == 50);
    CHECK(page.find("omits the first 30 events") != std::string::npos);
}
