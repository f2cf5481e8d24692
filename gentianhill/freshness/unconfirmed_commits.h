#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace gentianhill {

class primary_trust;

/// Commits that a primary has acknowledged and that a promotion could still lose.
///
/// An acknowledgement shows that some replica has received the commit, but not which one. It may be a replica
/// that has not registered yet, which a promotion neither fences nor asks for its log. A commit is therefore
/// confirmed only when a replica that every promotion asks is known to have received it.
///
/// When a promotion takes effect, its fences are lifted shortly before the replicas follow the new primary,
/// and what they receive from the old primary in this interval is discarded. So the replica must have
/// received the commit while the primary was trusted.
class unconfirmed_commits {
public:
    /// Receives whether the commit is confirmed. If it is never called, the outcome of the commit is unknown.
    using handler = std::function<void(bool confirmed)>;

    /// Adds a commit at `position`, sent at `sent_at` and acknowledged at `acknowledged_at`. From `ask_at` on
    /// a replica should be asked whether it has received the commit.
    void add(log_position position, time_point sent_at, time_point acknowledged_at, time_point ask_at,
             handler done);
    /// Records that a replica that every promotion asks has received the log up to `position` by `moment`.
    /// Returns when the newest commit was sent that was not known to be received before; nothing if there is
    /// none.
    std::optional<time_point> on_received(log_position position, time_point moment);
    /// Confirms the commits of `term` that were received while `trust` covers, and reports those of older
    /// terms as not confirmed.
    void resolve(term_number term, const primary_trust& trust);
    /// Reports commits as not confirmed that were acknowledged before `oldest` and that no replica is known
    /// to have received.
    void fail_not_received_before(time_point oldest);
    /// Discards commits acknowledged before `oldest`, whose clients have been answered by then.
    void discard_before(time_point oldest);
    /// Earliest time from which a replica should be asked for a commit that none is known to have received.
    [[nodiscard]] std::optional<time_point> ask_at() const;
    [[nodiscard]] bool empty() const { return commits_.empty(); }

private:
    struct commit {
        log_position position;
        time_point sent_at;
        time_point acknowledged_at;
        time_point ask_at;
        /// Time by which a replica is known to have received the commit.
        std::optional<time_point> received_at;
        handler done;
    };

    std::vector<commit> commits_;
};

} // namespace gentianhill
