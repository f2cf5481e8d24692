#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Estimates how long a group remains without a serving primary, as a moving average of past outages.
/// Statements are queued only if the next primary is expected before their deadline.
class primary_outage_estimator {
public:
    /// Records whether a primary is serving at `now`.
    void update(bool serves, time_point now);
    /// Time by which a new primary is expected to serve; no value while one is serving.
    [[nodiscard]] std::optional<time_point> expected_end() const;

private:
    std::optional<time_point> outage_start_;
    /// The initial value is the usual duration of a failover from a leaving primary.
    duration expected_duration_ = std::chrono::milliseconds(1600);
};

} // namespace gentianhill
