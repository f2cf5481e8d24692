#include "gentianhill/core/logger.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct logger_fixture {
    logger log{log_settings{log_level::info, 3, 4}};
    time_point current;
    std::vector<std::string> lines;

    logger_fixture() {
        log.sink = [this](std::string_view line) { lines.emplace_back(line); };
        log.now = [this] { return current; };
        log.wall_clock_ms = [] { return std::int64_t{1'700'000'000'123}; };
    }
};

} // namespace

// Guards against lines that cannot be parsed, because a value contains spaces, quotes or line breaks.
TEST_CASE_FIXTURE(logger_fixture, "logger_value_with_special_characters_stays_on_one_line") {
    log.write(log_level::info, "promotion", "fence_sent",
              {{"group", "wheeldb"}, {"term", 7}, {"forced", true}, {"text", "a \"b\"\nlevel=error"}});
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == "2023-11-14T22:13:20.123Z info promotion fence_sent group=wheeldb term=7 forced=true "
                      "text=\"a \\\"b\\\"\\x0alevel=error\"");
}

// Guards against a log that fills the disk when one event repeats without end.
TEST_CASE_FIXTURE(logger_fixture, "logger_event_repeated_too_often_is_counted_and_summarised") {
    for (int i = 0; i < 10; ++i) {
        log.write(log_level::warning, "backend", "connect_failed");
    }
    CHECK(lines.size() == 3);
    log.write(log_level::info, "backend", "connected");
    CHECK(lines.size() == 4);
    current += 1s;
    log.write_suppressed();
    REQUIRE(lines.size() == 5);
    CHECK(lines.back().find("warning backend connect_failed suppressed=7") != std::string::npos);
    log.write(log_level::warning, "backend", "connect_failed");
    CHECK(lines.size() == 6);
}

// Guards against unbounded memory use when event names vary.
TEST_CASE_FIXTURE(logger_fixture, "logger_more_events_than_tracked_still_writes_each") {
    for (int i = 0; i < 20; ++i) {
        log.write(log_level::info, "fuzz", std::to_string(i));
    }
    CHECK(lines.size() == 20);
}

// Guards against debug lines in production.
TEST_CASE_FIXTURE(logger_fixture, "logger_level_too_low_writes_nothing") {
    log.write(log_level::debug, "backend", "probe");
    CHECK(lines.empty());
    CHECK(log_level_from("debug") == log_level::debug);
    CHECK_FALSE(log_level_from("verbose"));
}
