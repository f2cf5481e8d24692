#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace gentianhill {

/// Bounds and smoothing of a concurrency limit.
struct concurrency_limit_settings {
    /// Statements in flight that are always allowed.
    std::size_t floor = 1;
    /// Upper bound of the limit.
    std::size_t ceiling = 8;
    /// Answers of a kind that make one adjustment. Work per statement varies by several times, so fewer say
    /// little.
    std::size_t window = 24;
    /// Latency, as a multiple of the best, up to which the limit grows: queueing for about one more
    /// statement keeps the slots filled while answers are in transit.
    double tolerance = 2.0;
    /// Time for which the best latency is remembered. An instance that has become slower for another reason
    /// than its load is thus judged by its new latency.
    duration memory = std::chrono::seconds{2};
    /// Shortest time between two reductions for refusals, as one queue that is full refuses several.
    duration reduction_interval = std::chrono::milliseconds{100};
    /// Factor of a reduction for a refusal.
    double reduction = 0.7;
};

/// Learns how many statements an instance bears at once. Several daemons use an instance, so that its slots
/// say little about the share of one: the limit shrinks while answers take longer than the best that were
/// seen, and when the instance refuses statements as busy; it grows while they do not.
class concurrency_limit {
public:
    explicit concurrency_limit(const concurrency_limit_settings& settings);

    /// Changes the bounds; the limit stays between them.
    void set_bounds(std::size_t floor, std::size_t ceiling);
    /// Records an answered statement. `kind` distinguishes statements with different work, such as those of
    /// different routes; `in_flight` is the number in flight when it was sent.
    void on_answered(std::int64_t kind, duration latency, std::size_t in_flight, time_point now);
    /// Records that the instance has refused a statement as busy.
    void on_busy(time_point now);
    /// Statements that may be in flight.
    [[nodiscard]] std::size_t limit() const;

private:
    struct kind_latency {
        double window_sum_ms = 0.0;
        std::size_t window_count = 0;
        std::size_t highest_in_flight = 0;
        /// Best mean of a window, in this period of `memory` and in the one before.
        std::optional<double> best_ms;
        std::optional<double> former_best_ms;
    };

    /// Adjusts the limit by a complete window.
    void adjust(kind_latency& kind);
    void start_period(time_point now);

    concurrency_limit_settings settings_;
    double limit_;
    std::map<std::int64_t, kind_latency> kinds_;
    time_point period_start_;
    time_point reduced_at_;
};

} // namespace gentianhill
