#include "gentianhill/failover/membership_settlement.h"
#include "gentianhill/failover/primary_failure_detector.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct watch_fixture {
    primary_failure_detector_settings settings;
    primary_failure_detector watch{settings};
    time_point start{10s};

    watch_fixture() { watch.reset(true, start); }
};

} // namespace

// Guards against a promotion because of one connection that broke.
TEST_CASE_FIXTURE(watch_fixture, "primary_failure_detector_one_failure_is_no_verdict") {
    watch.on_failure(true, start);
    CHECK(watch.verdict(start + 10s) == primary_verdict::healthy);
    watch.on_failure(true, start + 10ms);
    CHECK(watch.verdict(start + settings.refusal_limit) == primary_verdict::unreachable);
}

// Guards against a loaded primary that answers statements, though not the probe, being replaced.
TEST_CASE_FIXTURE(watch_fixture, "primary_failure_detector_any_answer_clears_the_failures") {
    watch.on_failure(false, start + 100ms);
    watch.on_answer(start + 650ms);
    watch.on_failure(false, start + 700ms);
    CHECK(watch.verdict(start + 5s) == primary_verdict::healthy);
}

// Guards against a primary that answers reads while none of its commits is acknowledged.
TEST_CASE_FIXTURE(watch_fixture, "primary_failure_detector_commit_without_acknowledgement_is_noticed") {
    watch.on_answer(start + 1s);
    watch.on_commit_waiting(start, start + settings.commit_stall_limit);
    CHECK(watch.verdict(start + 1s) == primary_verdict::not_committing);
    watch.on_commit_acknowledged(start + 1s);
    CHECK(watch.verdict(start + 1s) == primary_verdict::healthy);
}

// Guards against one slow commit being taken for a primary that does not commit.
TEST_CASE_FIXTURE(watch_fixture, "primary_failure_detector_slow_commit_that_others_overtake_is_no_verdict") {
    watch.on_commit_acknowledged(start + 500ms);
    watch.on_answer(start + 2s);
    watch.on_commit_waiting(start, start + 2s);
    CHECK(watch.verdict(start + 2s) == primary_verdict::healthy);
}

// Guards against a departed replica that took the only copy of a commit with it.
TEST_CASE("membership_settlement_needs_a_position_stated_after_the_departure") {
    membership_settlement settlement;
    settlement.unsettle(time_point{10s});
    settlement.on_primary_position({1, 5}, time_point{9s});
    CHECK(!settlement.on_replica_position({1, 9}));
    settlement.on_primary_position({1, 8}, time_point{11s});
    CHECK(!settlement.on_replica_position({1, 7}));
    CHECK(!settlement.is_settled());
    CHECK(settlement.on_replica_position({1, 8}));
    CHECK(settlement.is_settled());
    settlement.unsettle(time_point{12s});
    CHECK(!settlement.is_settled());
}

// Guards against a fence that a dead holder has left and nobody looks into.
TEST_CASE_FIXTURE(watch_fixture, "primary_failure_detector_replica_that_stays_fenced_is_noticed") {
    watch.on_replica_fence_state("a", true, start);
    watch.on_replica_fence_state("a", true, start + settings.stale_fence_limit / 2);
    CHECK(watch.verdict(start + settings.stale_fence_limit - 1ms) == primary_verdict::healthy);
    CHECK(watch.verdict(start + settings.stale_fence_limit) == primary_verdict::replicas_fenced);
    watch.on_replica_fence_state("a", false, start + settings.stale_fence_limit);
    CHECK(watch.verdict(start + settings.stale_fence_limit) == primary_verdict::healthy);
}

// Guards against a primary that refuses a connection since it is full being taken for missing.
TEST_CASE_FIXTURE(watch_fixture,
                  "primary_failure_detector_sign_of_life_starts_the_search_for_a_primary_again") {
    watch.reset(false, start);
    watch.on_primary_alive(start + settings.missing_limit - 1ms);
    CHECK(watch.verdict(start + settings.missing_limit) == primary_verdict::healthy);
    CHECK(watch.verdict(start + 2 * settings.missing_limit) == primary_verdict::missing);
}
