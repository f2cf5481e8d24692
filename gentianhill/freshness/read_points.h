#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace gentianhill {

/// Log positions of the primary, ordered by the time at which they were requested. A position reported in
/// answer to a request sent at time s covers every commit acknowledged before s, so a read from an instance
/// that has reached this position is at least as fresh as s.
class read_points {
public:
    /// A position, and when it was requested.
    struct point {
        log_position position;
        time_point sent_at;
    };

    /// Records the position that the primary reported in answer to a request sent at `sent_at`.
    void add(log_position position, time_point sent_at);
    /// Returns the oldest position that was requested between `oldest` and `trusted_until`, both inclusive,
    /// or no value if there is none. The oldest is preferred because more replicas have reached it.
    [[nodiscard]] std::optional<log_position> find_oldest(time_point oldest, time_point trusted_until) const;
    /// Returns at most `count` points of the same range, oldest first: the newest ones and the oldest one.
    [[nodiscard]] std::vector<point> find_some(time_point oldest, time_point trusted_until,
                                               std::size_t count) const;
    /// Request time of the newest position; nothing when there is none.
    [[nodiscard]] std::optional<time_point> newest_at() const;
    /// Discards all positions, because the primary has changed.
    void clear() { points_.clear(); }

private:
    std::deque<point> points_;
};

} // namespace gentianhill
