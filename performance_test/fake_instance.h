#pragma once

#include "performance_test/simulation.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace gentianhill::bench {

/// A database instance as far as the bench needs it: slots, and a first come first served queue in front of
/// them.
class fake_instance {
public:
    fake_instance(simulation& world, std::size_t slots) : world_(world), free_slots_(slots) {}

    /// Runs a request for `service` once a slot is free, then calls `done`.
    void submit(duration service, std::function<void()> done) {
        if (free_slots_ == 0) {
            waiting_.emplace_back(service, std::move(done));
            return;
        }
        --free_slots_;
        start(service, std::move(done));
    }
    /// Slots without a request.
    [[nodiscard]] std::size_t free_slots() const { return free_slots_; }

private:
    void start(duration service, std::function<void()> done) {
        world_.after(service, [this, done = std::move(done)] {
            ++free_slots_;
            if (!waiting_.empty()) {
                std::pair<duration, std::function<void()>> next = std::move(waiting_.front());
                waiting_.pop_front();
                --free_slots_;
                start(next.first, std::move(next.second));
            }
            done();
        });
    }

    simulation& world_;
    std::size_t free_slots_;
    std::deque<std::pair<duration, std::function<void()>>> waiting_;
};

} // namespace gentianhill::bench
