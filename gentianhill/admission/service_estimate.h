#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>

namespace gentianhill {

/// Weights of a service estimate.
struct service_estimate_settings {
    /// Time assumed until one has been measured: a few times the work of a usual statement, so that nothing
    /// is refused for lack of measurements.
    duration initial_hold = std::chrono::milliseconds{10};
    /// Weight of the newest sample in the moving average: that of about the last 20 statements.
    double weight = 0.1;
    /// Shortest time assumed, so that the rate stays finite.
    duration min_hold = std::chrono::milliseconds{1};
};

/// Estimates from measured times how fast the connections to one instance become free for the next statement.
/// A connection is held for the time of a statement, or of a whole transaction with its pauses.
class service_estimate {
public:
    explicit service_estimate(const service_estimate_settings& settings = {})
        : settings_(settings), hold_(settings.initial_hold) {}

    /// Records for how long a connection was held.
    void on_released(duration held);
    /// Expected time for which a connection is held. `mean_age` is the mean age of those in use: when the
    /// instance has become slow, they show it before the first of them is released.
    [[nodiscard]] duration expected_hold(duration mean_age) const;
    /// Connections that become free per second when `usable` of them may be used at once.
    [[nodiscard]] double rate_per_second(std::size_t usable, duration mean_age) const;

private:
    service_estimate_settings settings_;
    duration hold_;
};

/// Expected wait of a statement when `ahead` others get a connection before it.
[[nodiscard]] duration expected_wait(std::size_t ahead, double rate_per_second);

} // namespace gentianhill
