#pragma once

#include "gentianhill/core/time.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace gentianhill {

/// A pending call; destroying or resetting it cancels the call.
class timer {
public:
    timer() = default;
    ~timer();
    timer(timer&&) noexcept;
    timer& operator=(timer&&) noexcept;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Cancels the call if it has not run yet.
    void cancel();
    /// True while the call is still to come.
    [[nodiscard]] bool is_pending() const;

private:
    friend class event_loop;
    struct state;
    std::shared_ptr<state> state_;
};

/// The one libevent loop of a process; everything runs on its thread.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Current monotonic time.
    [[nodiscard]] static time_point now();
    /// Milliseconds since the Unix epoch on the host's wall clock; for display and key ages only.
    [[nodiscard]] static std::int64_t wall_clock_ms();

    /// Calls `action` once after `delay`, unless the returned timer is destroyed first.
    [[nodiscard]] timer call_after(duration delay, std::function<void()> action);
    /// Calls `action` once after `delay`; it cannot be cancelled.
    void run_after(duration delay, std::function<void()> action);
    /// Calls `action` on each arrival of the signal.
    void on_signal(int signal_number, std::function<void()> action);

    /// Runs until stop() is called.
    void run();
    /// Runs until `done` returns true or `limit` has passed; returns whether `done` was reached.
    bool run_until(const std::function<bool()>& done, duration limit);
    /// Ends run() after the current callbacks.
    void stop();

    /// The libevent base, for the transport packages.
    [[nodiscard]] event_base* native() const { return base_; }

private:
    struct signal_watch;
    event_base* base_;
    std::vector<std::unique_ptr<signal_watch>> signals_;
};

} // namespace gentianhill
