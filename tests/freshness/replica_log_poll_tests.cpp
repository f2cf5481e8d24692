#include "gentianhill/freshness/replica_log_poll.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against a snapshot based on only some of the replicas, or on an answer to a request before the poll.
TEST_CASE("replica_log_poll_all_replicas_answered_returns_the_longest_log") {
    replica_log_poll poll;
    const std::vector<std::string> replicas{"a", "b"};
    CHECK(!poll.on_answer("a", {1, 9}, time_point{1s}, replicas));
    CHECK(poll.start(time_point{2s}, 250ms));
    CHECK(!poll.start(time_point{2100ms}, 250ms));
    CHECK(!poll.on_answer("a", {1, 9}, time_point{1900ms}, replicas));
    CHECK(!poll.on_answer("a", {1, 9}, time_point{2s}, replicas));
    const std::optional<replica_log_poll::snapshot> snapshot =
        poll.on_answer("b", {1, 7}, time_point{2s}, replicas);
    REQUIRE(snapshot);
    CHECK(snapshot->longest == log_position{1, 9});
    CHECK(snapshot->asked_at == time_point{2s});
    CHECK(snapshot->replicas == 2);
}
