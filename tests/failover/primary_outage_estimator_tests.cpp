#include "gentianhill/failover/primary_outage_estimator.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Writes arrive while the primary is being replaced. Guards against queueing all of them and against refusing
// all of them.
TEST_CASE("primary_outage_estimator_expected_end_follows_past_outages") {
    primary_outage_estimator gap;
    const time_point start{10s};
    gap.update(true, start);
    CHECK(!gap.expected_end());
    gap.update(false, start);
    gap.update(false, start + 500ms);
    CHECK(gap.expected_end() == start + 1600ms);
    gap.update(true, start + 1s);
    CHECK(!gap.expected_end());
    gap.update(false, start + 20s);
    CHECK(gap.expected_end() == start + 20s + 1300ms);
    // An outage prolonged by the store is clamped to the upper bound.
    gap.update(true, start + 80s);
    gap.update(false, start + 90s);
    CHECK(gap.expected_end() == start + 90s + 2150ms);
}
