#include "gentianhill/core/event_loop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Schedules a call that holds `held` when it is released.
struct scheduling_resource {
    event_loop& loop;
    std::shared_ptr<int> held;

    ~scheduling_resource() {
        loop.run_after(1h, [kept = held] {});
    }
};

} // namespace

// Guards against connections that are never released because a call that holds them was still pending when
// the loop ended.
TEST_CASE("event_loop_destroyed_releases_what_pending_calls_hold") {
    std::shared_ptr<int> held = std::make_shared<int>(1);
    const std::weak_ptr<int> watch = held;
    std::unique_ptr<event_loop> loop = std::make_unique<event_loop>();
    loop->run_after(1h, [held] {});
    std::shared_ptr<scheduling_resource> resource{new scheduling_resource{*loop, held}};
    loop->run_after(1h, [resource] {});
    timer outside = loop->call_after(1h, [held] {});
    held.reset();
    resource.reset();
    loop.reset();
    CHECK(watch.expired());
    CHECK_FALSE(outside.is_pending());
}

// Guards against timers in steps of the coarse clock, 4 ms, which multiply short service times and deadlines.
TEST_CASE("event_loop_short_timer_is_not_rounded_to_the_coarse_clock") {
    event_loop loop;
    duration shortest = 1h;
    // The best of several, since other processes may delay single ones.
    for (int i = 0; i < 20; ++i) {
        const time_point started = event_loop::now();
        bool fired = false;
        const timer call = loop.call_after(500us, [&fired] { fired = true; });
        REQUIRE(loop.run_until([&fired] { return fired; }, 1s));
        shortest = std::min(shortest, event_loop::now() - started);
    }
    CHECK(shortest < 3ms);
}
