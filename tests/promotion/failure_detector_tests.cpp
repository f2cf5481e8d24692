#include "gentianhill/promotion/failure_detector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace gentianhill;

namespace {

struct detector_fixture {
    failure_detector detector{{}};

    detector_fixture() {
        detector.observe_primary("a", 1, at(0));
        detector.on_answer(at(5000));
    }
    static time_point at(int milliseconds) { return time_point{} + std::chrono::milliseconds{milliseconds}; }
    [[nodiscard]] suspicion_reason reason(int milliseconds) const {
        return detector.assessment(at(milliseconds)).reason;
    }
};

} // namespace

// Guards against a crash that is suspected only after more than 300 ms, with a probe every 100 ms.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_refused_connections_suspected_within_300_ms") {
    detector.on_connection_refused(at(5100));
    CHECK(reason(5199) == suspicion_reason::none);
    detector.on_connection_refused(at(5200));
    CHECK(reason(5200) == suspicion_reason::connection_refused);
    detector.on_answer(at(5250));
    CHECK(detector.assessment(at(5250)).health == primary_health::healthy);
}

// Guards against silence that is suspected only after more than 1 s, or during a pause of 500 ms.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_silence_suspected_between_700_ms_and_1_s") {
    detector.on_request_sent(at(5100));
    detector.on_request_unanswered(at(5400));
    CHECK(reason(5800) == suspicion_reason::none);
    CHECK(reason(5900) == suspicion_reason::silent);
}

// Guards against keeping a primary that answers probes but never executes writes.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_writes_without_answer_suspected_within_1500_ms") {
    for (int now = 5000; now < 6200; now += 100) {
        detector.on_write_sent(at(now));
        detector.on_answer(at(now + 1));
        CHECK(reason(now + 50) == suspicion_reason::none);
    }
    CHECK(reason(6200) == suspicion_reason::not_committing);
    detector.on_write_executed(at(6210));
    CHECK(reason(6210) == suspicion_reason::none);
}

// Guards against suspecting a primary because of one lost connection.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_single_lost_write_is_not_suspected") {
    detector.on_write_sent(at(5000));
    detector.on_write_unanswered(at(5300));
    for (int now = 5300; now < 20000; now += 100) {
        detector.on_answer(at(now));
        CHECK(reason(now) == suspicion_reason::none);
    }
}

// Guards against keeping a primary whose executed writes never reach a majority.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_unconfirmed_writes_suspected_after_lag_spikes_pass") {
    detector.on_write_sent(at(5000));
    detector.on_write_executed(at(5001));
    CHECK(reason(7999) == suspicion_reason::none);
    CHECK(reason(8001) == suspicion_reason::not_confirming);
    detector.on_confirm_progress(true, at(8100));
    CHECK(reason(8100) == suspicion_reason::none);
    CHECK(detector.saw_confirmed_write(at(8400)));
    CHECK_FALSE(detector.saw_confirmed_write(at(8401)));
}

// Guards against a promotion right after another one, except when the new primary refuses connections.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_change_of_primary_starts_hysteresis") {
    detector.observe_primary("b", 2, at(6000));
    detector.on_request_sent(at(6000));
    CHECK(reason(7999) == suspicion_reason::none);
    CHECK(reason(8000) == suspicion_reason::silent);
    detector.observe_primary("c", 3, at(9000));
    detector.on_connection_refused(at(9010));
    detector.on_connection_refused(at(9100));
    CHECK(reason(9100) == suspicion_reason::connection_refused);
    detector.observe_primary(std::nullopt, 0, at(10000));
    CHECK(reason(10999) == suspicion_reason::none);
    CHECK(reason(11000) == suspicion_reason::no_primary);
}

// Guards against a daemon that counts its own pause as silence of the primary.
TEST_CASE_FIXTURE(detector_fixture, "failure_detector_loop_gap_is_not_counted_against_the_primary") {
    detector.on_request_sent(at(5000));
    detector.observe_loop_gap(std::chrono::milliseconds{400});
    CHECK(reason(6100) == suspicion_reason::none);
    CHECK(reason(6200) == suspicion_reason::silent);
    detector.observe_loop_gap(std::chrono::milliseconds{501});
    CHECK(detector.assessment(at(6701)).health == primary_health::unknown);
}

// Guards against unnecessary promotions over ten simulated hours with pauses of the primary of up to 500 ms,
// 1% of answers delayed by a TCP retransmission and lag spikes of up to 2 s.
TEST_CASE("failure_detector_pauses_loss_and_lag_spikes_never_suspected") {
    std::mt19937 random{11};
    failure_detector detector{{}};
    detector.observe_primary("a", 1, detector_fixture::at(0));
    int paused_until = 0;
    int lagging_until = 0;
    bool has_progressed = true;
    int now = 0;
    while (now < 36000000) {
        now += 100;
        const int retransmission = random() % 100 == 0 ? 200 : 0;
        if (random() % 200 == 0) {
            paused_until = now + static_cast<int>(random() % 500);
        }
        if (has_progressed && random() % 300 == 0) {
            lagging_until = now + static_cast<int>(random() % 2000);
        }
        detector.on_request_sent(detector_fixture::at(now));
        detector.on_write_sent(detector_fixture::at(now));
        const int answered = std::max(now + 1, paused_until) + retransmission;
        REQUIRE(detector.assessment(detector_fixture::at(answered)).health != primary_health::suspected);
        detector.on_answer(detector_fixture::at(answered));
        detector.on_write_executed(detector_fixture::at(answered));
        now = answered;
        // A lag spike ends before the next one starts.
        has_progressed = now >= lagging_until;
        if (has_progressed) {
            detector.on_confirm_progress(true, detector_fixture::at(now));
        }
    }
}
