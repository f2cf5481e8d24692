#include "performance_test/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianhill::bench {

void simulation::after(duration delay, std::function<void()> action) {
    queue_.push(pending{now_ + delay, next_sequence_++, std::move(action)});
}

void simulation::every(duration interval, const std::function<void()>& action) {
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void simulation::run_until(time_point end) {
    while (!queue_.empty() && queue_.top().at <= end) {
        const pending next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = std::max(now_, end);
}

double simulation::uniform(double low, double high) {
    // Written out, because the distributions of the standard library differ between implementations.
    constexpr double steps = 9007199254740992.0; // 2^53
    return low + (high - low) * (static_cast<double>(random_() >> 11U) / steps);
}

duration simulation::uniform(duration low, duration high) {
    return duration{static_cast<std::int64_t>(
        uniform(static_cast<double>(low.count()), static_cast<double>(high.count())))};
}

duration simulation::exponential(duration mean) {
    const double length = -std::log(1.0 - uniform(0.0, 1.0)) * static_cast<double>(mean.count());
    return duration{std::max<std::int64_t>(1, static_cast<std::int64_t>(length))};
}

std::size_t simulation::index_below(std::size_t count) {
    return static_cast<std::size_t>(uniform(0.0, static_cast<double>(count)));
}

} // namespace gentianhill::bench
