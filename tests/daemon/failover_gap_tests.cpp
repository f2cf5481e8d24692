#include "deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gentianhill;
using namespace gentianhill::tests;
using namespace std::chrono_literals;

namespace {

struct gap_case {
    const char* failure;
    const char* platform;
};

constexpr int short_deadline_ms = 500;

void set_platform(deployment& target, const std::string& state) {
    if (state == "slow") {
        target.set_platform_faults({{"delay_ms", 300}});
    } else if (state == "down") {
        target.set_platform_faults({{"down", true}});
    }
}

void lose_primary(deployment& target, const std::string& failure) {
    if (failure == "crash") {
        target.crash_instance("wheeldb-1a");
    } else if (failure == "cut") {
        target.set_faults("wheeldb-1a", {{"drop_replication", true}});
    } else if (failure == "freeze") {
        target.set_faults("wheeldb-1a",
                          {{"drop_replication", true}, {"drop_sources", {"kyushu-a-1", "kyushu-b-1"}}});
    } else {
        target.set_faults("wheeldb-1a", {{"refuse_commit", true}});
    }
}

/// Time from the loss of the primary to the first confirmed write of a caller that keeps trying.
duration measure_gap(const gap_case& tried) {
    deployment target;
    target.start_all(20);
    set_platform(target, tried.platform);
    target.run_for(100ms);
    lose_primary(target, tried.failure);
    const time_point lost = event_loop::now();
    int id = 1;
    while (event_loop::now() - lost < 13s) {
        const nlohmann::json written =
            target.write(id % 2 == 0 ? "kyushu-a-1" : "kyushu-b-1", "INSERT INTO builds VALUES (?, 32)",
                         nlohmann::json::array({id}), "build-" + std::to_string(id), short_deadline_ms);
        ++id;
        if (written["status"] == "done") {
            return event_loop::now() - lost;
        }
        target.run_for(20ms);
    }
    return 13s;
}

} // namespace

// Guards against a loss of the primary that leaves the group without writes for 13 s or longer.
TEST_CASE("failover_gap_each_failure_and_platform_state_stays_below_13_s") {
    std::vector<std::int64_t> gaps;
    for (const char* failure : {"crash", "freeze", "cut", "never_commits"}) {
        for (const char* platform : {"well", "slow", "down"}) {
            const duration gap = measure_gap(gap_case{failure, platform});
            MESSAGE("failover_gap_ms ", std::string{failure}, " platform_", std::string{platform}, " ",
                    to_milliseconds(gap));
            CHECK(gap < 13s);
            gaps.push_back(to_milliseconds(gap));
        }
    }
    std::sort(gaps.begin(), gaps.end());
    MESSAGE("failover_gap_ms p50 ", gaps[gaps.size() / 2], " max ", gaps.back());
}
