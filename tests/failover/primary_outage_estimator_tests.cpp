#include "gentianhill/failover/primary_outage_estimator.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Load pattern: writes that arrive while a primary is replaced. Guards against holding them all, or refusing
// them all.
TEST_CASE("primary_outage_estimator_end_is_expected_from_the_gaps_seen_before") {
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
    // A gap that an outage of the store held up teaches no more than the bound.
    gap.update(true, start + 80s);
    gap.update(false, start + 90s);
    CHECK(gap.expected_end() == start + 90s + 2150ms);
}
