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
    /// Starts over because the instance that led the newest known `term` has left or lost its log. If another
    /// replica had settled the group, the other members hold every commit of this term: it was acknowledged
    /// once one of them had received it, and none has left. A commit of a newer term may have been received
    /// by the departed instance only.
    void unsettle_without_primary(term_number term, time_point evidence_from) {
        std::optional<lost_primary> lost;
        if (lost_primary_ && lost_primary_->term == term) {
            lost = lost_primary_;
        } else if (settled_ && is_held_by_replicas_) {
            lost = lost_primary{term, settled_position()};
        }
        unsettle(evidence_from);
        lost_primary_ = lost;
    }
    /// True if the group is settled as soon as the store shows that no newer term than `term` has been
    /// promoted.
    [[nodiscard]] bool needs_promoted_term(term_number term) const {
        return !settled_ && lost_primary_ && lost_primary_->term == term;
    }
    /// Records that the store, asked at `asked_at`, has shown that no newer term than `term` has been
    /// promoted; returns true if this settles the group.
    [[nodiscard]] bool on_no_newer_term(term_number term, time_point asked_at) {
        if (!needs_promoted_term(term) || asked_at < evidence_from_) {
            return false;
        }
        required_position_ = lost_primary_->settled_position;
        settled_ = true;
        return true;
    }
    /// True if the group is settled without the primary that has left. A commit may then be in the log of one
    /// member only, so this holds for the promotion of one of them and not beyond.
    [[nodiscard]] bool is_settled_without_primary() const { return settled_ && lost_primary_; }
    /// Starts over in a new era of the metadata store, in which a member may have joined and ended unseen.
    void unsettle_for_new_era(time_point evidence_from) { start_over(evidence_from); }
    /// True when a position requested now can settle the group.
    [[nodiscard]] bool needs_position(time_point now) const { return !settled_ && now >= evidence_from_; }
    /// Records the position that the primary reported in its answer to a request sent at `sent_at`.
    void on_primary_position(log_position position, time_point sent_at) {
        if (sent_at < evidence_from_) {
            return;
        }
        if (!settled_ && !required_position_) {
            required_position_ = position;
        }
        if (!stated_position_) {
            stated_position_ = position;
        }
    }
    /// Records how far a current replica has received the log, and whether it has led the newest known term;
    /// returns true if this settles the group.
    [[nodiscard]] bool on_replica_position(log_position received, bool has_led) {
        is_held_by_replicas_ =
            is_held_by_replicas_ || (!has_led && stated_position_ && received >= *stated_position_);
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
        stated_position_.reset();
        is_held_by_replicas_ = false;
        lost_primary_.reset();
    }
    void settle_with_members() {
        settled_ = true;
        members_kept_ = true;
        lost_primary_.reset();
    }

    bool settled_ = false;
    bool by_former_primary_ = false;
    /// No member has left since the group was settled last.
    bool members_kept_ = false;
    time_point evidence_from_;
    std::optional<log_position> required_position_;
    /// First position that the primary has stated since the group started over.
    std::optional<log_position> stated_position_;
    /// A replica has reached that position since, so that another member than the primary holds each commit.
    bool is_held_by_replicas_ = false;
    struct lost_primary {
        term_number term = 0;
        /// Position up to which the group was settled.
        log_position settled_position;
    };
    /// Primary that has left the settled group.
    std::optional<lost_primary> lost_primary_;
};

} // namespace gentianhill
