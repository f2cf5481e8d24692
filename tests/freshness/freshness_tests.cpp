#include "gentianhill/freshness/primary_trust.h"
#include "gentianhill/freshness/read_points.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against trusting a primary for longer than a promotion waits.
TEST_CASE("primary_trust_expires_one_window_after_the_request_for_evidence") {
    primary_trust trust(400ms);
    const time_point asked{10s};
    CHECK(!trust.covers(asked));
    trust.confirm(asked);
    CHECK(trust.covers(asked + 399ms));
    CHECK(!trust.covers(asked + 400ms));
    trust.confirm(asked - 1s);
    CHECK(trust.covers(asked + 399ms));
    trust.reset();
    CHECK(!trust.covers(asked));
}

// Guards against using a position that was requested too early or when the primary may have been superseded.
TEST_CASE("read_points_oldest_position_within_the_limits_is_used") {
    read_points points;
    points.add({1, 10}, time_point{1s});
    points.add({1, 20}, time_point{2s});
    points.add({1, 30}, time_point{3s});
    CHECK(points.find_oldest(time_point{1500ms}, time_point{10s}) == log_position{1, 20});
    CHECK(points.find_oldest(time_point{2500ms}, time_point{2s}) == std::nullopt);
    CHECK(points.find_oldest(time_point{1500ms}, time_point{2500ms}) == log_position{1, 20});
    CHECK(points.find_oldest(time_point{4s}, time_point{10s}) == std::nullopt);
}

// Guards against answers that arrive out of order, and against memory use that grows with the request rate.
TEST_CASE("read_points_older_answers_are_ignored_and_close_ones_merged") {
    read_points points;
    for (int i = 0; i < 1000; ++i) {
        points.add({1, static_cast<std::uint64_t>(i)}, time_point{1s} + i * duration(1ms));
    }
    points.add({1, 5}, time_point{1s});
    const std::optional<log_position> newest = points.find_oldest(time_point{1999ms}, time_point{10s});
    REQUIRE(newest);
    CHECK(newest->position == 999);
}
