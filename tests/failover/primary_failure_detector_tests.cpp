#include "gentianhill/failover/membership_settlement.h"
#include "gentianhill/failover/primary_failure_detector.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct detector_fixture {
    primary_failure_detector_settings settings;
    primary_failure_detector detector{settings};
    time_point start{10s};

    detector_fixture() { detector.reset(true, start); }
};

} // namespace

// Guards against a promotion because of a single broken connection.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_single_failure_is_healthy") {
    detector.on_failure(true, start);
    CHECK(detector.verdict(start + 10s) == primary_verdict::healthy);
    detector.on_failure(true, start + 10ms);
    CHECK(detector.verdict(start + settings.refusal_limit) == primary_verdict::unreachable);
}

// Guards against replacing an overloaded primary that answers statements but not probes.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_any_answer_resets_the_failures") {
    detector.on_failure(false, start + 100ms);
    detector.on_answer(start + 650ms);
    detector.on_failure(false, start + 700ms);
    CHECK(detector.verdict(start + 5s) == primary_verdict::healthy);
}

// Guards against keeping a primary that answers reads but acknowledges no commits.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_commit_unacknowledged_is_not_committing") {
    detector.on_answer(start + 1s);
    detector.on_commit_waiting(start, start + settings.commit_stall_limit);
    CHECK(detector.verdict(start + 1s) == primary_verdict::not_committing);
    detector.on_commit_acknowledged(start + 1s);
    CHECK(detector.verdict(start + 1s) == primary_verdict::healthy);
}

// Guards against mistaking one slow commit for a primary that does not commit.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_slow_commit_overtaken_by_others_is_healthy") {
    detector.on_commit_acknowledged(start + 500ms);
    detector.on_answer(start + 2s);
    detector.on_commit_waiting(start, start + 2s);
    CHECK(detector.verdict(start + 2s) == primary_verdict::healthy);
}

// Guards against a promotion after a replica has left with the only copy of a commit.
TEST_CASE("membership_settlement_requires_a_position_reported_after_the_departure") {
    membership_settlement settlement;
    settlement.unsettle(time_point{10s});
    settlement.on_primary_position({1, 5}, time_point{9s});
    CHECK(!settlement.on_replica_position({1, 9}, false));
    settlement.on_primary_position({1, 8}, time_point{11s});
    CHECK(!settlement.on_replica_position({1, 7}, false));
    CHECK(!settlement.is_settled());
    CHECK(settlement.on_replica_position({1, 8}, false));
    CHECK(settlement.is_settled());
    settlement.unsettle(time_point{12s});
    CHECK(!settlement.is_settled());
}

// Guards against a group that is settled by a former primary which does not know of a newer one, whose
// commits the member that left has acknowledged.
TEST_CASE("membership_settlement_after_a_departure_is_not_settled_by_a_former_primary") {
    membership_settlement settlement;
    settlement.unsettle(time_point{10s});
    CHECK(!settlement.on_former_primary({1, 8}, time_point{11s}, false));
    settlement.settle();
    settlement.unsettle(time_point{12s});
    settlement.unsettle_for_new_era(time_point{13s});
    CHECK(!settlement.on_former_primary({1, 8}, time_point{14s}, false));
    CHECK(!settlement.is_settled());
}

// Guards against a group that is never settled again because a member has left while nobody led.
TEST_CASE("membership_settlement_after_a_departure_is_settled_by_the_newest_former_primary") {
    membership_settlement settlement;
    settlement.settle();
    settlement.unsettle(time_point{12s});
    CHECK(!settlement.on_former_primary({1, 8}, time_point{11s}, true));
    CHECK(settlement.on_former_primary({1, 8}, time_point{13s}, true));
    CHECK(settlement.is_settled_by_former_primary());
}

TEST_CASE("membership_settlement_in_a_new_era_is_settled_by_a_former_primary") {
    membership_settlement settlement;
    settlement.settle();
    settlement.unsettle_for_new_era(time_point{13s});
    CHECK(!settlement.on_former_primary({1, 8}, time_point{12s}, false));
    CHECK(settlement.on_former_primary({1, 8}, time_point{14s}, false));
    CHECK(settlement.is_settled_by_former_primary());
    CHECK(settlement.settled_position() == log_position{1, 8});
    settlement.unsettle(time_point{15s});
    CHECK(!settlement.is_settled_by_former_primary());
    CHECK(settlement.settled_position() == log_position{});
}

// Guards against a replica that remains fenced after the daemon that fenced it has failed.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_replica_remains_fenced_is_replicas_fenced") {
    detector.on_replica_fence_state("a", true, start);
    detector.on_replica_fence_state("a", true, start + settings.stale_fence_limit / 2);
    CHECK(detector.verdict(start + settings.stale_fence_limit - 1ms) == primary_verdict::healthy);
    CHECK(detector.verdict(start + settings.stale_fence_limit) == primary_verdict::replicas_fenced);
    detector.on_replica_fence_state("a", false, start + settings.stale_fence_limit);
    CHECK(detector.verdict(start + settings.stale_fence_limit) == primary_verdict::healthy);
}

// Guards against treating a primary as missing when it refuses connections only because its limit is reached.
TEST_CASE_FIXTURE(detector_fixture, "primary_failure_detector_primary_alive_restarts_the_missing_limit") {
    detector.reset(false, start);
    detector.on_primary_alive(start + settings.missing_limit - 1ms);
    CHECK(detector.verdict(start + settings.missing_limit) == primary_verdict::healthy);
    CHECK(detector.verdict(start + 2 * settings.missing_limit) == primary_verdict::missing);
}
