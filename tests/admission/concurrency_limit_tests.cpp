#include "gentianhill/admission/concurrency_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// An instance with slots that are shared with other daemons, and statements that wait for a slot.
struct concurrency_limit_fixture {
    concurrency_limit_settings settings;
    concurrency_limit limit{settings};
    time_point now{100s};
    std::mt19937_64 random{1};
    double slots = 4;
    double work_ms = 10;

    /// Keeps the limit in flight, beside `others` of other daemons, for a while.
    void run(duration length, double others) {
        std::lognormal_distribution<double> work{0.0, 0.5};
        for (duration passed{0}; passed < length;) {
            const std::size_t in_flight = limit.limit();
            const double load = std::max(1.0, (static_cast<double>(in_flight) + others) / slots);
            const duration latency(static_cast<duration::rep>(1000.0 * work_ms * load * work(random)));
            limit.on_answered(1, latency, in_flight, now);
            const duration step = latency / static_cast<duration::rep>(in_flight);
            now += step;
            passed += step;
        }
    }
};

} // namespace

// Guards against slots that stay empty.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_without_queueing_stays_at_ceiling") {
    slots = 16;
    run(5s, 0);
    CHECK(limit.limit() == settings.ceiling);
}

// Load: all daemons of a zone send to one instance. Guards against a queue at the instance, where priorities
// do not count.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_of_crowded_instance_falls_and_returns") {
    run(1s, 0);
    const std::size_t alone = limit.limit();
    run(1s, 30);
    CHECK(limit.limit() <= alone / 2);
    run(4s, 0);
    CHECK(limit.limit() >= 4);
}

// Load: a primary with five times slower work. Guards against a limit that falls to the floor for good, which
// would leave the slots of a slow instance empty.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_of_slow_instance_fills_its_slots_again") {
    run(2s, 0);
    work_ms = 50;
    run(8s, 0);
    CHECK(limit.limit() >= 4);
}

TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_after_refusals_of_one_moment_is_reduced_once") {
    for (int refusal = 0; refusal < 5; ++refusal) {
        limit.on_busy(now);
    }
    CHECK(limit.limit() == 6);
    for (int refusal = 0; refusal < 50; ++refusal) {
        now += 200ms;
        limit.on_busy(now);
    }
    CHECK(limit.limit() == settings.floor);
}

// Guards against heavy statements that begin to arrive being taken for a queue.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_with_statements_of_other_work_is_kept") {
    slots = 16;
    run(1s, 0);
    for (int count = 0; count < 100; ++count) {
        limit.on_answered(2, 80ms, 8, now);
        now += 10ms;
    }
    CHECK(limit.limit() == settings.ceiling);
}
