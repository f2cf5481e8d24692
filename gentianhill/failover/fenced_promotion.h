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
#include <string>
#include <vector>

namespace gentianhill {

/// Times of one promotion.
struct fenced_promotion_settings {
    /// Time from the last fence to the call. With the time that the platform takes after the call, it exceeds
    /// that for which any proxy may trust a primary after evidence, by a margin for timers.
    duration trust_wait = std::chrono::milliseconds(430);
    /// Time after which an accepted promotion that has not taken effect is given up.
    duration effect_timeout = std::chrono::milliseconds(4000);
    /// Pause between questions whether the promotion has taken effect.
    duration effect_poll_interval = std::chrono::milliseconds(40);
    /// Pause before the promotion call is repeated when its answer is lost.
    duration call_retry_delay = std::chrono::milliseconds(500);
};

/// How the platform took a promotion call.
enum class promotion_call_result : std::uint8_t {
    accepted,
    /// The instance does not run, or the token is too low.
    rejected,
    /// Too many calls; nothing was done.
    throttled,
    /// No answer; the call may take effect.
    unknown,
};

/// How a promotion ended.
enum class fenced_promotion_outcome : std::uint8_t {
    promoted,
    /// An instance leads a newer term already.
    superseded,
    /// A replica could hold a commit that the others lack, and cannot be asked.
    replica_unreachable,
    /// The store did not say which instances the group has now.
    members_unknown,
    /// The primary still replicates.
    still_replicating,
    duty_refused,
    /// A member has left, or has started again without its log.
    members_not_settled,
    /// A replica restarted, or lost its fence, before the call.
    fence_lost,
    tenure_over,
    call_rejected,
    /// The call may have taken effect; the replicas stay fenced.
    outcome_unknown,
    /// Nothing was to be promoted: fences that an earlier holder had left were taken back.
    fences_released,
};

/// Name of an end for logs.
[[nodiscard]] std::string_view to_string(fenced_promotion_outcome end);

/// Instance that takes part in a promotion.
struct promotion_member {
    std::string id;
    /// True when it must not be chosen, since it leaves.
    bool draining = false;
};

/// Connection through which a member answered, and what it said. Equal connections show that the instance has
/// not restarted between two answers.
struct member_answer {
    std::uint64_t connection = 0;
    instance_status status;
};

/// What a promotion needs of its surroundings. Each call answers exactly once.
struct fenced_promotion_hooks {
    using answer_handler = std::function<void(const std::optional<member_answer>&)>;

    std::function<void(const std::string& id, answer_handler done)> ask_status;
    /// Makes an instance refuse changes of terms below `term`.
    std::function<void(const std::string& id, term_number term, answer_handler done)> fence;
    /// Takes a fence back.
    std::function<void(const std::string& id, answer_handler done)> unfence;
    /// Tells a primary of a term below `term` that it leads no longer.
    std::function<void(const std::string& id, term_number term)> step_down;
    /// Lists the group's members as the store has them now.
    std::function<void(std::function<void(const std::optional<std::vector<promotion_member>>&)> done)>
        list_members;
    /// True while no commit can rest on a member that has left or has started again without its log.
    std::function<bool()> is_settled;
    std::function<void(const std::string& id, std::uint64_t token,
                       std::function<void(promotion_call_result)> done)>
        promote;
    std::function<void(duration delay, std::function<void()> action)> call_after;
    std::function<time_point()> now;
};

/// Replaces the primary of one database group without losing an acknowledged commit.
///
/// Every other instance is fenced first, so that the old primary can acknowledge nothing more; the one with
/// the longest log takes over, after the time for which any proxy may still read at the old primary. The
/// duty's lease is checked right before the call. For the verdict `replicas_fenced` nothing is promoted, and
/// the fences that an earlier holder of the duty has left are taken back. Ends with exactly one call of
/// `done`.
class fenced_promotion : public std::enable_shared_from_this<fenced_promotion> {
public:
    /// `lease` and `log` must outlive the promotion.
    fenced_promotion(std::string group, duty_lease& lease, logger& log,
                     const fenced_promotion_settings& settings, fenced_promotion_hooks hooks);

    /// Starts. `old_primary` may be empty when no instance claims to lead. With `tolerate_replication` a
    /// primary that others still reach is replaced as well.
    void start(std::vector<promotion_member> members, const std::string& old_primary, term_number known_term,
               primary_verdict verdict, bool tolerate_replication,
               std::function<void(fenced_promotion_outcome, const std::string& id)> done);

private:
    void query_replicas();
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
    void finish(fenced_promotion_outcome end);
    /// Logs which replicas follow the new primary. Their fences are left: they do not bind a replica that
    /// follows, and one that does not would receive from the old primary again.
    void log_followers();
    /// Takes the fences of a promotion back that cannot take effect, and then ends it.
    void remove_fences(fenced_promotion_outcome end);
    /// Ends the promotion. The duty is released unless an order or a call may still be on its way.
    void report_outcome(fenced_promotion_outcome end, bool nothing_pending);
    /// Asks all replicas and goes on with `next` once each has answered; ends the promotion when one does
    /// not.
    void ask_all(bool fence, void (fenced_promotion::*next)());
    [[nodiscard]] bool is_known(const promotion_member& member) const;
    [[nodiscard]] bool has_unknown_member(const std::vector<promotion_member>& listed) const;
    void add_missing_members(const std::vector<promotion_member>& listed);
    [[nodiscard]] log_position longest_log_end() const;
    [[nodiscard]] std::string choose_candidate() const;

    std::string group_;
    duty_lease& lease_;
    logger& log_;
    fenced_promotion_settings settings_;
    fenced_promotion_hooks hooks_;

    std::vector<promotion_member> replicas_;
    std::string old_primary_;
    term_number known_term_ = 0;
    primary_verdict verdict_ = primary_verdict::healthy;
    std::function<void(fenced_promotion_outcome, const std::string& id)> on_finished_;

    std::map<std::string, member_answer> answers_;
    std::map<std::string, member_answer> fenced_;
    std::size_t unanswered_ = 0;
    bool missing_answer_ = false;
    bool replace_if_replicating_ = false;
    log_position first_longest_log_;
    term_number fence_term_ = 0;
    std::string candidate_;
    /// A call was accepted, or its answer was lost.
    bool may_take_effect_ = false;
    promotion_call_result last_call_result_ = promotion_call_result::unknown;
    time_point started_at_;
    time_point last_call_at_;
};

} // namespace gentianhill
