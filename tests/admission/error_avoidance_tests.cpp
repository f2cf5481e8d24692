#include "gentianhill/admission/error_avoidance.h"

#include <doctest/doctest.h>

#include <random>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct error_avoidance_fixture {
    error_avoidance errors;
    time_point now{100s};
    std::mt19937_64 random{1};

    /// Sends the statements that the avoidance admits, one every 10 ms; returns their number.
    int run(duration length, double error_rate) {
        std::bernoulli_distribution fails{error_rate};
        int sent = 0;
        for (duration passed{0}; passed < length; passed += 10ms, now += 10ms) {
            if (errors.is_avoided()) {
                if (!errors.is_probe_due(now)) {
                    continue;
                }
                errors.on_probe(now);
            }
            ++sent;
            errors.on_result(fails(random), now);
        }
        return sent;
    }
};

} // namespace

// Load: an instance fails a third of the statements of this zone alone. Guards against sending them there as
// long as others find it healthy.
TEST_CASE_FIXTURE(error_avoidance_fixture, "instance_that_fails_a_third_is_avoided_but_probed") {
    run(1s, 0.0);
    run(500ms, 0.35);
    CHECK(errors.is_avoided());
    const int probes = run(2s, 0.35);
    CHECK(probes >= 9);
    CHECK(probes <= 11);
}

TEST_CASE_FIXTURE(error_avoidance_fixture, "instance_that_has_recovered_is_used_again") {
    run(500ms, 0.5);
    REQUIRE(errors.is_avoided());
    run(2s, 0.0);
    CHECK(!errors.is_avoided());
}

// Guards against an instance that is lost for a single error, or for errors that are hours apart.
TEST_CASE_FIXTURE(error_avoidance_fixture, "instance_with_rare_errors_is_used") {
    run(20s, 0.02);
    CHECK(!errors.is_avoided());
    for (int hour = 0; hour < 10; ++hour) {
        errors.on_result(true, now);
        now += 3600s;
    }
    CHECK(!errors.is_avoided());
}
