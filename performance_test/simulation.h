#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace gentianhill::bench {

/// Discrete time: runs actions in order of their moments, and of their creation when these are equal.
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {}

    /// Current simulated time.
    [[nodiscard]] time_point now() const { return now_; }
    /// Runs `action` after `delay`.
    void after(duration delay, std::function<void()> action);
    /// Runs `action` every `interval`, the first time after one interval.
    void every(duration interval, const std::function<void()>& action);
    /// Runs all actions up to a moment.
    void run_until(time_point end);

    /// Uniform number in [low, high).
    [[nodiscard]] double uniform(double low, double high);
    /// Uniform length of time in [low, high).
    [[nodiscard]] duration uniform(duration low, duration high);
    /// Exponentially distributed length of time, at least 1 us.
    [[nodiscard]] duration exponential(duration mean);
    /// Uniform index below `count`.
    [[nodiscard]] std::size_t index_below(std::size_t count);
    /// True with a probability.
    [[nodiscard]] bool chance(double probability) { return uniform(0.0, 1.0) < probability; }

private:
    struct pending {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    struct runs_later {
        bool operator()(const pending& left, const pending& right) const {
            return left.at > right.at || (left.at == right.at && left.sequence > right.sequence);
        }
    };

    time_point now_;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<pending, std::vector<pending>, runs_later> queue_;
    std::mt19937_64 random_;
};

} // namespace gentianhill::bench
