#pragma once

#include "gentianhill/core/event_loop.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace gentianhill::standins {

/// Runs a bounded number of batches at once; further ones wait in order of arrival.
class slot_queue {
public:
    /// `slots` batches at once, each statement takes `service_time`. The loop must outlive the queue.
    slot_queue(event_loop& loop, std::size_t slots, duration service_time)
        : loop_(loop), slots_(slots), service_time_(service_time) {}

    /// Calls `action` after a slot was free and the service time of `statements` statements has passed.
    void run(std::size_t statements, std::function<void()> action);
    /// Changes the service time of batches that start from now on.
    void set_service_time(duration service_time) { service_time_ = service_time; }

    [[nodiscard]] std::size_t slots() const { return slots_; }
    /// Slots in use.
    [[nodiscard]] std::size_t busy() const { return busy_; }
    /// Batches that wait for a slot.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    struct batch {
        std::size_t statements = 0;
        std::function<void()> action;
    };

    void start(batch next);
    void finish(const std::function<void()>& action);

    event_loop& loop_;
    std::size_t slots_;
    duration service_time_;
    std::size_t busy_ = 0;
    std::deque<batch> waiting_;
    /// Expires with the queue; pending timers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill::standins
