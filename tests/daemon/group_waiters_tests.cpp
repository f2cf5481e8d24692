#include "gentianhill/daemon/group_waiters.h"

#include <doctest/doctest.h>

#include <optional>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct waiters_fixture {
    position_tracker positions{{"a", "b", "c"}, position_tracker_settings{}};
    group_waiters waiters;
    time_point now{1s};
    std::optional<confirm_result> result;

    void report(const std::string& instance, term_number term, std::uint64_t position,
                std::uint64_t term_start, bool is_primary) {
        now += 1ms;
        instance_report added;
        added.instance = instance;
        added.accepted_term = term;
        added.last_entry = log_position{term, position};
        added.term_start = term_start;
        added.is_primary = is_primary;
        added.requested_at = now;
        added.received_at = now;
        positions.apply(added);
    }

    void wait_for(const log_position& position) {
        waiters.add_confirm(position, now + 10s, [this](confirm_result ended) { result = ended; });
    }
};

} // namespace

// Guards against a write that waits for its whole deadline although a newer term has overtaken it, when two
// promotions follow each other so fast that the start of the first new term is never seen.
TEST_CASE_FIXTURE(waiters_fixture, "confirm_wait_two_terms_later_ends_as_superseded") {
    report("a", 1, 51, 1, true);
    wait_for(log_position{1, 51});
    waiters.advance(positions);
    CHECK_FALSE(result);
    report("b", 3, 53, 53, true);
    report("c", 3, 53, 53, false);
    waiters.advance(positions);
    REQUIRE(result);
    CHECK(*result == confirm_result::superseded);
}

// Guards against a confirmed write being reported as superseded after a promotion.
TEST_CASE_FIXTURE(waiters_fixture, "confirm_wait_confirmed_before_promotion_ends_as_confirmed") {
    report("a", 1, 51, 1, true);
    wait_for(log_position{1, 51});
    report("b", 1, 51, 1, false);
    waiters.advance(positions);
    REQUIRE(result);
    CHECK(*result == confirm_result::confirmed);
}
