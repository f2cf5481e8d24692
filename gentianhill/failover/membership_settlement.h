#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Whether the replicas of a group hold every acknowledged commit between them.
///
/// A replica that leaves takes its log away, and a commit may have been acknowledged on the strength of that
/// log alone. Logs are prefixes of each other, so once a remaining replica holds a position that the primary
/// stated after the departure, it holds everything that was acknowledged before. Until then the group must
/// not be promoted without the old primary.
class membership_settlement {
public:
    /// A member has gone, or nothing is known yet.
    void unsettle(time_point now) {
        settled_ = false;
        unsettled_at_ = now;
        target_position_.reset();
    }
    /// The primary stated its position in an answer to a request sent at `sent_at`.
    void on_primary_position(log_position position, time_point sent_at) {
        if (!settled_ && !target_position_ && sent_at >= unsettled_at_) {
            target_position_ = position;
        }
    }
    /// A replica that stays has received up to a position; true when this settles the group.
    [[nodiscard]] bool on_replica_position(log_position received) {
        if (settled_ || !target_position_ || received < *target_position_) {
            return false;
        }
        settled_ = true;
        return true;
    }
    [[nodiscard]] bool is_settled() const { return settled_; }

private:
    bool settled_ = false;
    time_point unsettled_at_;
    std::optional<log_position> target_position_;
};

} // namespace gentianhill
