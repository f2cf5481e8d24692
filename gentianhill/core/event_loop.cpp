#include "gentianhill/core/event_loop.h"

#include <event2/event.h>

#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

/// libevent's default timers use the coarse clock; measured here they fired in steps of 4 ms.
event_base* new_precise_base() {
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

struct timer::state {
    event* handle = nullptr;
    std::function<void()> action;
    /// Keeps the state alive while the call is pending or running.
    std::shared_ptr<state> self;

    ~state() {
        if (handle != nullptr) {
            event_free(handle);
        }
    }

    static void on_fire(evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        state* fired = static_cast<state*>(argument);
        // Keep the state alive: the action may destroy the timer that owns it.
        const std::shared_ptr<state> keep = std::move(fired->self);
        const std::function<void()> action = std::move(fired->action);
        fired->action = nullptr;
        if (action) {
            action();
        }
    }

    /// One of the calls still pending on a loop, which no longer keeps itself alive; null when there is none.
    static std::shared_ptr<state> take_pending(event_base* base) {
        std::shared_ptr<state> found;
        event_base_foreach_event(base, &find_pending, &found);
        return found;
    }

private:
    static int find_pending(const event_base* /*base*/, const event* candidate, void* argument) {
        if (event_get_callback(candidate) != &on_fire) {
            return 0;
        }
        state* pending = static_cast<state*>(event_get_callback_arg(candidate));
        *static_cast<std::shared_ptr<state>*>(argument) = std::move(pending->self);
        return 1;
    }
};

struct event_loop::signal_watch {
    event* handle = nullptr;
    std::function<void()> action;

    ~signal_watch() {
        if (handle != nullptr) {
            event_free(handle);
        }
    }

    static void on_fire(evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        static_cast<signal_watch*>(argument)->action();
    }
};

timer::~timer() {
    cancel();
}

timer::timer(timer&&) noexcept = default;

timer& timer::operator=(timer&& other) noexcept {
    if (this != &other) {
        cancel();
        state_ = std::move(other.state_);
    }
    return *this;
}

void timer::cancel() {
    if (state_ == nullptr) {
        return;
    }
    const std::shared_ptr<state> keep = std::move(state_);
    state_ = nullptr;
    // The loop frees the handles of calls that are pending when it ends.
    if (keep->handle != nullptr) {
        event_del(keep->handle);
    }
    keep->action = nullptr;
    keep->self = nullptr;
}

bool timer::is_pending() const {
    return state_ != nullptr && state_->action != nullptr;
}

event_loop::event_loop() : base_(new_precise_base()) {
    assert(base_ != nullptr);
}

event_loop::~event_loop() {
    signals_.clear();
    // A pending call keeps itself alive, so whatever its action holds would never be released. Releasing one
    // may schedule another.
    while (const std::shared_ptr<timer::state> pending = timer::state::take_pending(base_)) {
        event_free(std::exchange(pending->handle, nullptr));
        pending->action = nullptr;
    }
    event_base_free(base_);
}

time_point event_loop::now() {
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

std::int64_t event_loop::wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

timer event_loop::call_after(duration delay, std::function<void()> action) {
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    timer result;
    result.state_ = std::make_shared<timer::state>();
    timer::state* created = result.state_.get();
    created->action = std::move(action);
    created->handle = event_new(base_, -1, EV_TIMEOUT, &timer::state::on_fire, created);
    created->self = result.state_;
    const std::int64_t wait = delay.count() > 0 ? delay.count() : 0;
    timeval timeout{};
    timeout.tv_sec = wait / microseconds_per_second;
    timeout.tv_usec = wait % microseconds_per_second;
    event_add(created->handle, &timeout);
    return result;
}

void event_loop::run_after(duration delay, std::function<void()> action) {
    timer detached = call_after(delay, std::move(action));
    // The state keeps itself alive until it has fired.
    detached.state_ = nullptr;
}

void event_loop::on_signal(int signal_number, std::function<void()> action) {
    std::unique_ptr<signal_watch> watch = std::make_unique<signal_watch>();
    watch->action = std::move(action);
    watch->handle = evsignal_new(base_, signal_number, &signal_watch::on_fire, watch.get());
    event_add(watch->handle, nullptr);
    signals_.push_back(std::move(watch));
}

void event_loop::run() {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool event_loop::run_until(const std::function<bool()>& done, duration limit) {
    const time_point end = now() + limit;
    while (!done()) {
        if (now() >= end) {
            return false;
        }
        // Wake at least every 5 ms so that conditions outside the loop are noticed.
        const timer tick = call_after(std::chrono::milliseconds{5}, [] {});
        event_base_loop(base_, EVLOOP_ONCE);
    }
    return true;
}

void event_loop::stop() {
    event_base_loopbreak(base_);
}

} // namespace gentianhill
