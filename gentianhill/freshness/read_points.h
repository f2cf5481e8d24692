#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <deque>
#include <optional>

namespace gentianhill {

/// Log positions of the primary by the time at which they were asked for. A position in an answer to a
/// request sent at s covers every commit acknowledged before s, so a read at an instance that holds the
/// position is at least as fresh as s.
class read_points {
public:
    /// Records the position that the primary stated in an answer to a request sent at `sent_at`.
    void add(log_position position, time_point sent_at);
    /// The oldest position asked for at or after `oldest` and at or before `trusted_until`; older positions
    /// are held by more replicas. Nothing when there is none.
    [[nodiscard]] std::optional<log_position> find_oldest(time_point oldest, time_point trusted_until) const;
    /// Forgets all positions, when another primary is adopted.
    void clear() { points_.clear(); }

private:
    struct point {
        log_position position;
        time_point sent_at;
    };

    std::deque<point> points_;
};

} // namespace gentianhill
