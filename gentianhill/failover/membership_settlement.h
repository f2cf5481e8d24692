#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <algorithm>
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
    /// Starts over, because a member has left or has lost its log, or because nothing is known yet: positions
    /// count that are requested at or after `evidence_from`.
    void unsettle(time_point evidence_from) {
        start_over(evidence_from);
        members_kept_ = false;
    }
    /// Starts over in a new era of the metadata store, in which a member may have joined and ended unseen.
    void unsettle_for_new_era(time_point evidence_from) { start_over(evidence_from); }
    /// True when a position requested now can settle the group.
    [[nodiscard]] bool needs_position(time_point now) const { return !settled_ && now >= evidence_from_; }
    /// Records the position that the primary reported in its answer to a request sent at `sent_at`.
    void on_primary_position(log_position position, time_point sent_at) {
        if (!settled_ && !required_position_ && sent_at >= evidence_from_) {
            required_position_ = position;
        }
    }
    /// Records how far a current replica has received the log; returns true if this settles the group.
    [[nodiscard]] bool on_replica_position(log_position received) {
        if (settled_ || !required_position_ || received < *required_position_) {
            return false;
        }
        settle_with_members();
        return true;
    }
    /// Records that a current replica, in its answer to a request sent at `sent_at`, has shown that it holds
    /// the log with which it led the newest known term; returns true if this settles the group. After a
    /// departure it does so only with `no_newer_term`, that is, if the store shows that no newer term has
    /// been promoted: the member that left may have acknowledged commits of a newer primary, of which this
    /// replica knows nothing.
    [[nodiscard]] bool on_former_primary(log_position log_end, time_point sent_at, bool no_newer_term) {
        if (settled_ || (!members_kept_ && !no_newer_term) || sent_at < evidence_from_) {
            return false;
        }
        required_position_ = log_end;
        settle_with_members();
        by_former_primary_ = true;
        return true;
    }
    /// Records that the present members are known to hold every acknowledged commit.
    void settle() {
        required_position_.reset();
        settle_with_members();
    }
    [[nodiscard]] bool is_settled() const { return settled_; }
    /// True if the group is settled by its former primary, so that no instance may be left out of a
    /// promotion.
    [[nodiscard]] bool is_settled_by_former_primary() const { return settled_ && by_former_primary_; }
    /// Position that the longest log of the members reaches while the group is settled; the start of the log
    /// if it is not known.
    [[nodiscard]] log_position settled_position() const {
        return settled_ ? required_position_.value_or(log_position{}) : log_position{};
    }

private:
    void start_over(time_point evidence_from) {
        settled_ = false;
        by_former_primary_ = false;
        evidence_from_ = std::max(evidence_from_, evidence_from);
        required_position_.reset();
    }
    void settle_with_members() {
        settled_ = true;
        members_kept_ = true;
    }

    bool settled_ = false;
    bool by_former_primary_ = false;
    /// No member has left since the group was settled last.
    bool members_kept_ = false;
    time_point evidence_from_;
    std::optional<log_position> required_position_;
};

} // namespace gentianhill
