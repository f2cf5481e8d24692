#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// How long a group stays without a primary that serves, learned from the gaps seen so far. Statements are
/// held only when the next primary is expected in time for them.
class primary_outage_estimator {
public:
    /// Records whether a primary serves now.
    void update(bool serves, time_point now);
    /// Moment by which a new primary is expected to serve; nothing while one serves.
    [[nodiscard]] std::optional<time_point> expected_end() const;

private:
    std::optional<time_point> outage_start_;
    /// A failover of a primary that leaves takes about this long.
    duration expected_duration_ = std::chrono::milliseconds(1600);
};

} // namespace gentianhill
