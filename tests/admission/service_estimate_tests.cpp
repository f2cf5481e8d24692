#include "gentianhill/admission/service_estimate.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct service_estimate_fixture {
    service_estimate estimate;

    void hold(duration held, int count) {
        for (int released = 0; released < count; ++released) {
            estimate.on_released(held);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(service_estimate_fixture, "rate_follows_measured_holds") {
    hold(20ms, 100);
    CHECK(estimate.rate_per_second(4, 0ms) == doctest::Approx(200).epsilon(0.05));
    CHECK(to_milliseconds(expected_wait(19, 200)) == 100);
}

// Load: an instance turns slow by five times. Guards against statements that are let in by old measurements
// until the first slow one is answered.
TEST_CASE_FIXTURE(service_estimate_fixture, "rate_with_old_statements_in_flight_falls_before_answers") {
    hold(20ms, 100);
    CHECK(estimate.rate_per_second(4, 100ms) == doctest::Approx(40).epsilon(0.05));
}

// Load: 90 to 120 idle transactions hold connections. Guards against a wait that is computed from the short
// statements alone.
TEST_CASE_FIXTURE(service_estimate_fixture, "rate_with_idle_transactions_counts_their_holds") {
    hold(10ms, 100);
    hold(1000ms, 10);
    CHECK(estimate.expected_hold(0ms) > 500ms);
    hold(10ms, 60);
    CHECK(estimate.expected_hold(0ms) < 20ms);
}

TEST_CASE("expected_wait_without_service_is_longer_than_any_timeout") {
    CHECK(expected_wait(0, 0.0) >= 60s);
}
