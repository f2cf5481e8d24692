#include "gentianhill/freshness/lag_avoidance.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct lag_avoidance_fixture {
    lag_avoidance lag;
    time_point now{100s};

    /// Offers a read each millisecond to a replica that lacks its position; returns how many were sent.
    int send_reads(duration length) {
        int sent = 0;
        for (duration passed{0}; passed < length; passed += 1ms, now += 1ms) {
            if (!lag.is_behind({1, 500}, now)) {
                ++sent;
                lag.on_lagging({1, 500}, now);
            }
        }
        return sent;
    }
};

} // namespace

// Load: replicas receive nothing for seconds. Guards against two refusals for each read, which take slots of
// replicas and time of the read.
TEST_CASE_FIXTURE(lag_avoidance_fixture, "replica_far_behind_is_asked_a_few_times_a_second") {
    CHECK(send_reads(6s) <= 20);
}

// Guards against the loss of a replica for reads that may see older data.
TEST_CASE_FIXTURE(lag_avoidance_fixture, "replica_behind_serves_reads_of_older_positions") {
    lag.on_lagging({1, 500}, now);
    CHECK(lag.is_behind({1, 500}, now));
    CHECK(lag.is_behind({2, 1}, now));
    CHECK(!lag.is_behind({1, 499}, now));
}

TEST_CASE_FIXTURE(lag_avoidance_fixture, "replica_that_has_caught_up_is_used_at_once") {
    send_reads(3s);
    lag.on_lagging({1, 500}, now);
    lag.on_reached({1, 499});
    CHECK(lag.is_behind({1, 500}, now));
    lag.on_reached({1, 500});
    CHECK(!lag.is_behind({1, 500}, now));
}
