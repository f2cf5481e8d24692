#include "gentianhill/failover/leaderless_gap.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Load pattern: writes that arrive while a primary is replaced. Guards against holding them all, or refusing
// them all.
TEST_CASE("leaderless_gap_end_is_expected_from_the_gaps_seen_before") {
    leaderless_gap gap;
    const time_point start{10s};
    gap.note(true, start);
    CHECK(!gap.expected_end());
    gap.note(false, start);
    gap.note(false, start + 500ms);
    CHECK(gap.expected_end() == start + 1600ms);
    gap.note(true, start + 1s);
    CHECK(!gap.expected_end());
    gap.note(false, start + 20s);
    CHECK(gap.expected_end() == start + 20s + 1300ms);
    // A gap that an outage of the store held up teaches no more than the bound.
    gap.note(true, start + 80s);
    gap.note(false, start + 90s);
    CHECK(gap.expected_end() == start + 90s + 2150ms);
}
