#include "gentianhill/freshness/replica_log_poll.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against a point that rests on some of the replicas only, or on an answer to an earlier question.
TEST_CASE("replica_log_poll_gives_the_longest_log_once_all_have_answered") {
    replica_log_poll survey;
    const std::vector<std::string> replicas{"a", "b"};
    CHECK(!survey.on_answer("a", {1, 9}, time_point{1s}, replicas));
    CHECK(survey.start(time_point{2s}, 250ms));
    CHECK(!survey.start(time_point{2100ms}, 250ms));
    CHECK(!survey.on_answer("a", {1, 9}, time_point{1900ms}, replicas));
    CHECK(!survey.on_answer("a", {1, 9}, time_point{2s}, replicas));
    const std::optional<replica_log_poll::snapshot> point =
        survey.on_answer("b", {1, 7}, time_point{2s}, replicas);
    REQUIRE(point);
    CHECK(point->longest == log_position{1, 9});
    CHECK(point->asked_at == time_point{2s});
    CHECK(point->replicas == 2);
}
