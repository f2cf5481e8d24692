#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Tracks whether the current replicas of a group together hold every acknowledged commit ("settled").
///
/// A commit is acknowledged once one replica has received it, so a replica that leaves may take the only copy
/// with it. Logs are prefixes of each other. Once a remaining replica has reached a position that the primary
/// reported after the departure, that replica holds every commit acknowledged before it. Until then no
/// replica may be promoted in place of the old primary.
class membership_settlement {
public:
    /// Starts over, because a member has left or nothing is known yet.
    void unsettle(time_point now) {
        settled_ = false;
        unsettled_at_ = now;
        target_position_.reset();
    }
    /// Records the position that the primary reported in its answer to a request sent at `sent_at`.
    void on_primary_position(log_position position, time_point sent_at) {
        if (!settled_ && !target_position_ && sent_at >= unsettled_at_) {
            target_position_ = position;
        }
    }
    /// Records how far a current replica has received the log; returns true if this settles the group.
    [[nodiscard]] bool on_replica_position(log_position received) {
        if (settled_ || !target_position_ || received < *target_position_) {
            return false;
        }
        settled_ = true;
        return true;
    }
    /// Records that the present members are known to hold every acknowledged commit.
    void settle() { settled_ = true; }
    [[nodiscard]] bool is_settled() const { return settled_; }

private:
    bool settled_ = false;
    time_point unsettled_at_;
    std::optional<log_position> target_position_;
};

} // namespace gentianhill
