#include "gentianhill/core/event_loop.h"

#include <doctest/doctest.h>

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
