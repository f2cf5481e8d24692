#include "gentianhill/core/hybrid_clock.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct clock_fixture {
    hybrid_clock clock;
    error reason;
};

} // namespace

// Guards against readings that repeat or go back when the wall clock is set back.
TEST_CASE_FIXTURE(clock_fixture, "hybrid_clock_wall_clock_set_back_readings_still_increase") {
    const hybrid_timestamp first = clock.now(1000);
    const hybrid_timestamp second = clock.now(400);
    CHECK(second > first);
    CHECK(clock.now(1001) > second);
}

// Guards against an effect that is ordered before its cause on a host with a slow clock.
TEST_CASE_FIXTURE(clock_fixture, "hybrid_clock_received_reading_is_exceeded_by_the_next") {
    const hybrid_timestamp remote{5000, 7};
    REQUIRE(clock.receive(remote, 1000, reason));
    CHECK(clock.now(1001) > remote);
}

// Guards against one faulty host that moves the clocks of all others.
TEST_CASE_FIXTURE(clock_fixture, "hybrid_clock_remote_far_ahead_is_refused_and_changes_nothing") {
    const hybrid_timestamp before = clock.now(1000);
    CHECK_FALSE(clock.receive(hybrid_timestamp{INT64_MAX, 0}, 1000, reason));
    CHECK(reason.code == error_code::out_of_range);
    CHECK(reason.field == "clock");
    CHECK(clock.last() == before);
}

// Guards against a counter that wraps and makes readings smaller.
TEST_CASE_FIXTURE(clock_fixture, "hybrid_clock_counter_at_its_maximum_advances_the_wall_part") {
    const hybrid_timestamp remote{5000, UINT32_MAX};
    REQUIRE(clock.receive(remote, 5000, reason));
    CHECK(clock.last() == hybrid_timestamp{5001, 0});
}

// Guards against invalid text from a peer that is read as a valid time.
TEST_CASE_FIXTURE(clock_fixture, "hybrid_timestamp_text_round_trips_and_invalid_text_is_refused") {
    const hybrid_timestamp value{1700000000123, 42};
    CHECK(hybrid_timestamp::parse(value.to_string(), "clock", reason) == value);
    for (const char* text : {"", ".", "1", "1.", ".1", "-1.0", "1.4294967296", "1.0 ", "1x.0"}) {
        CHECK_FALSE(hybrid_timestamp::parse(text, "clock", reason));
    }
}
