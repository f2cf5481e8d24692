#pragma once

#include "gentianhill/core/time.h"

#include <functional>

namespace gentianhill::http2 {

/// Limits of an exponential backoff.
struct backoff_settings {
    /// Delay before the first repetition.
    duration initial = std::chrono::milliseconds{50};
    /// Longest delay.
    duration maximum = std::chrono::seconds{2};
    /// Share of each delay that is random, 0 to 1; without it all daemons would return at the same moment.
    double jitter = 0.5;
};

/// Delays that double from one failure to the next, each shortened by a random part.
class backoff {
public:
    /// `random` returns uniform values in [0, 1).
    backoff(const backoff_settings& settings, std::function<double()> random);

    /// Delay before the next attempt; the following one is up to twice as long.
    [[nodiscard]] duration next();
    /// Starts again at the initial delay, after a success.
    void reset();
    /// True when no attempt has failed since the last reset.
    [[nodiscard]] bool is_reset() const { return failures_ == 0; }

private:
    backoff_settings settings_;
    std::function<double()> random_;
    unsigned failures_ = 0;
};

} // namespace gentianhill::http2
