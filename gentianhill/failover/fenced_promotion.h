#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/failover/instance_status.h"
#include "gentianhill/failover/primary_failure_detector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Timing of a promotion.
struct fenced_promotion_settings {
    /// Time from the last fence to the promotion call. Together with the platform's delay after the call it
    /// exceeds the time for which a proxy may trust a primary after evidence (see `primary_trust`), with a
    /// margin for timers.
    duration trust_wait = std::chrono::milliseconds(430);
    /// Time after a call at which a promotion that has not taken effect is abandoned.
    duration effect_timeout = std::chrono::milliseconds(4000);
    /// Interval at which the candidate's status is polled until the promotion has taken effect.
    duration effect_poll_interval = std::chrono::milliseconds(40);
    /// Delay before the promotion call is repeated if its answer was lost.
    duration call_retry_delay = std::chrono::milliseconds(500);
};

/// The platform's answer to a promotion call.
enum class promotion_call_result : std::uint8_t {
    accepted,
    /// The instance is not running, or the fencing token is outdated.
    rejected,
    /// Refused because of the rate limit; the call has no effect.
    throttled,
    /// No answer was received; the call may still take effect.
    unknown,
};

/// How a promotion ended.
enum class fenced_promotion_outcome : std::uint8_t {
    promoted,
    /// An instance or the replicas already have a newer term.
    superseded,
    /// A replica that may hold a commit that the others lack did not answer.
    replica_unreachable,
    /// The store did not return the current members of the group.
    members_unknown,
    /// The primary is unreachable from here but still replicates.
    still_replicating,
    /// The claim of the duty lease was refused.
    duty_refused,
    /// A member has left or has restarted without its log, and may have held the only copy of a commit.
    members_not_settled,
    /// A replica restarted, lost its fence or joined before the call.
    fence_lost,
    /// The duty lease expired before the call.
    tenure_over,
    /// The platform rejected the call.
    call_rejected,
    /// A call may still take effect; the replicas remain fenced.
    outcome_unknown,
    /// No promotion was needed; fences left over from an earlier holder of the duty were removed.
    fences_released,
    /// Meanwhile an instance was found that leads the known term.
    primary_found,
};

/// Returns the name of an outcome as it appears in logs.
[[nodiscard]] std::string_view to_string(fenced_promotion_outcome outcome);

/// Member of the group for which a promotion runs.
struct promotion_member {
    std::string id;
    /// True if the instance is leaving; it is chosen only if it alone has the longest log.
    bool draining = false;
    /// True if its entry says that it is the primary. The entry may be of before its last change of role.
    bool claims_primary = false;
    /// True if its entry has lapsed although it may live; it is fenced, but never chosen.
    bool departed = false;
};

/// Status of a member and the connection on which it was received. If two answers arrived on the same
/// connection, the instance did not restart between them.
struct member_answer {
    std::uint64_t connection = 0;
    instance_status status;
};

/// Operations that a promotion requires of its environment. Each calls its handler exactly once.
struct fenced_promotion_hooks {
    using answer_handler = std::function<void(const std::optional<member_answer>&)>;

    std::function<void(const std::string& id, answer_handler done)> ask_status;
    /// True if the instance is known from its own answers to have led the newest known term.
    std::function<bool(const std::string& id)> has_led;
    /// True if a departed instance has ended, or if by now no daemon believes it any longer.
    std::function<bool(const std::string& id)> has_ended;
    /// Newest term of the group and its primary, as known to this daemon now; empty while none is known.
    std::function<term_number()> known_term;
    std::function<std::string()> known_primary;
    /// Fences an instance: it refuses changes of terms below `term`.
    std::function<void(const std::string& id, term_number term, answer_handler done)> fence;
    /// Removes the fence of an instance.
    std::function<void(const std::string& id, answer_handler done)> unfence;
    /// Tells a primary of a term below `term` to step down.
    std::function<void(const std::string& id, term_number term)> step_down;
    /// Reads the current members of the group from the store.
    std::function<void(std::function<void(const std::optional<std::vector<promotion_member>>&)> done)>
        list_members;
    /// True while no member that has left, or has restarted without its log, can have held the only copy of a
    /// commit (see `membership_settlement`).
    std::function<bool()> is_settled;
    /// Position that the longest log must reach because the group was settled by it; the start of the log if
    /// none is known.
    std::function<log_position()> settled_position;
    std::function<void(const std::string& id, std::uint64_t token,
                       std::function<void(promotion_call_result)> done)>
        promote;
    std::function<void(duration delay, std::function<void()> action)> call_after;
    std::function<time_point()> now;
};

/// Replaces the primary of one database group without losing an acknowledged commit.
///
/// All other instances are fenced first, so that the old primary can acknowledge no further commit. Only an
/// instance that led the newest term may be left out, since any other one may receive from that primary
/// (docs/design/promotion-members.md). After the time for which any proxy may still read from the old
/// primary, the replica with the longest log is promoted. The duty lease is checked immediately before the
/// platform is called. With the verdict `replicas_fenced` nothing is promoted; instead, fences left over from
/// an earlier holder of the duty are removed.
class fenced_promotion : public std::enable_shared_from_this<fenced_promotion> {
public:
    /// `lease` and `log` must outlive the object.
    fenced_promotion(std::string group, duty_lease& lease, logger& log,
                     const fenced_promotion_settings& settings, fenced_promotion_hooks hooks);

    /// Starts the promotion; `done` is called exactly once. `old_primary` is empty if no instance claims to
    /// be the primary. If that claim is only in its entry, the instance is asked like a replica, and is one
    /// if it says so. With `replace_if_replicating`, an unreachable primary is replaced even if it still
    /// replicates.
    void start(std::vector<promotion_member> members, const std::string& old_primary, term_number known_term,
               primary_verdict verdict, bool replace_if_replicating,
               std::function<void(fenced_promotion_outcome, const std::string& id)> done);

private:
    void query_replicas();
    /// Decides by the answers whether the instance whose entry claims the lead, and those whose entries have
    /// lapsed, are replicas; false if one leads a superseded term.
    [[nodiscard]] bool judge_leaders();
    [[nodiscard]] bool judge_claimant();
    [[nodiscard]] bool judge_departed();
    void leave_out(const std::string& id);
    void on_replicas_queried();
    void on_replicas_queried_again();
    void claim();
    void on_claimed();
    void release_stale_fences();
    void fence_replicas();
    void on_fenced();
    void recheck_members();
    void on_replicas_rechecked();
    void call_platform();
    void on_call_result(promotion_call_result outcome);
    void wait_for_effect();
    void on_effect_status(const std::optional<member_answer>& answer);
    void finish(fenced_promotion_outcome outcome);
    /// Logs which replicas follow the new primary. Their fences remain: a fence has no effect on a replica
    /// that follows, and a replica that does not follow would accept changes from the old primary without it.
    void log_followers();
    /// Removes the fences of a promotion that cannot take effect, then reports the outcome.
    void remove_fences(fenced_promotion_outcome outcome);
    /// Ends the promotion. The duty is released only with `nothing_pending`, that is, if no request to an
    /// instance or call to the platform may still be in flight.
    void report_outcome(fenced_promotion_outcome outcome, bool nothing_pending);
    /// Fences instances or requests their status, and calls `done` once each has answered or timed out.
    void ask(const std::vector<promotion_member>& asked, bool fence, const std::function<void()>& done);
    /// Fences all replicas or requests their status, and calls `next` once all have answered. Ends the
    /// promotion if one does not answer.
    void ask_all(bool fence, void (fenced_promotion::*next)());
    /// Outcome if the group has found a primary or a newer term since the start.
    [[nodiscard]] std::optional<fenced_promotion_outcome> reason_to_stop() const;
    [[nodiscard]] bool is_known(const promotion_member& member) const;
    [[nodiscard]] bool has_unknown_member(const std::vector<promotion_member>& listed) const;
    void add_missing_members(const std::vector<promotion_member>& listed);
    /// Applies what a list says of the replicas: whether they leave, and whether they are listed again.
    void update_members(const std::vector<promotion_member>& listed);
    /// Marks the replicas that are leaving or have left.
    void update_leaving(const std::vector<promotion_member>& listed);
    /// True if every replica without an answer may be passed over: it has ended, or it has left after it was
    /// fenced and another one holds all that it held.
    [[nodiscard]] bool can_pass_over_missing() const;
    [[nodiscard]] bool can_pass_over(const promotion_member& replica, log_position longest) const;
    [[nodiscard]] log_position longest_log_end() const;
    [[nodiscard]] std::string choose_candidate() const;

    std::string group_;
    duty_lease& lease_;
    logger& log_;
    fenced_promotion_settings settings_;
    fenced_promotion_hooks hooks_;

    std::vector<promotion_member> replicas_;
    /// Instance that is left out of the fences.
    std::string old_primary_;
    /// Instance whose entry claims the lead, until it has been asked.
    std::string claimant_;
    /// The old primary has answered that it follows a newer one.
    bool old_primary_follows_ = false;
    term_number known_term_ = 0;
    primary_verdict verdict_ = primary_verdict::healthy;
    std::function<void(fenced_promotion_outcome, const std::string& id)> on_finished_;

    std::map<std::string, member_answer> answers_;
    /// Answers to the fence requests.
    std::map<std::string, member_answer> fenced_;
    /// Replicas that are leaving or have left, by the list that was read after the fences.
    std::set<std::string> leaving_;
    std::size_t unanswered_ = 0;
    bool missing_answer_ = false;
    bool replace_if_replicating_ = false;
    log_position first_longest_log_;
    term_number fence_term_ = 0;
    std::string candidate_;
    /// True once a call was accepted or its answer was lost.
    bool may_take_effect_ = false;
    promotion_call_result last_call_result_ = promotion_call_result::unknown;
    time_point started_at_;
    time_point last_call_at_;
};

} // namespace gentianhill
