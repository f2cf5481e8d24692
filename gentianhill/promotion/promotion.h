#pragma once

#include "gentianhill/consistency/group_configuration.h"
#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Limits of one promotion attempt.
struct promotion_settings {
    /// Longest wait for the opinions of peers and for a majority of instances to answer.
    duration ask_timeout = std::chrono::milliseconds{300};
    /// Additional wait per rank, so that the first coordinator normally acts alone.
    duration rank_delay = std::chrono::seconds{1};
    /// A fence, promote or follow request is sent again after this long without an answer.
    duration resend_after = std::chrono::milliseconds{500};
    /// The second round of fencing starts again after this long without a majority of matching answers.
    duration check_limit = std::chrono::milliseconds{200};
    /// Longest time of the fencing and checking phases together.
    duration fence_limit = std::chrono::milliseconds{2000};
    /// Longest time of the promoting phase.
    duration promote_limit = std::chrono::milliseconds{1500};
    /// Longest wait for the first confirmed write of the new term.
    duration confirm_limit = std::chrono::milliseconds{3000};
};

/// Step of a promotion attempt.
enum class promotion_phase : std::uint8_t {
    idle,
    asking,
    waiting_rank,
    fencing,
    checking,
    promoting,
    following,
    done,
    failed,
};
/// Name of a phase as it appears in logs.
[[nodiscard]] std::string_view to_string(promotion_phase phase);

/// Why an attempt ended without a confirmed write.
enum class promotion_failure : std::uint8_t {
    none,
    /// A peer saw a confirmed write.
    peer_saw_commit,
    /// Less than a majority of instances answered.
    no_majority,
    /// No claim above every term seen.
    no_claim,
    /// A higher term was seen.
    superseded,
    /// The chosen instance did not become primary.
    promote_failed,
    /// The new primary was promoted, but no write was confirmed in time.
    not_confirmed,
    /// The caller withdrew the suspicion.
    cancelled,
};
/// Name of a failure as it appears in logs.
[[nodiscard]] std::string_view to_string(promotion_failure failure);

/// Times at which an attempt reached its steps; nothing for a step not reached.
struct promotion_times {
    /// The primary was suspected and the attempt began.
    time_point detected;
    /// A claim was taken.
    std::optional<time_point> claimed;
    /// A majority was fenced and checked.
    std::optional<time_point> fenced;
    /// The new primary answered.
    std::optional<time_point> promoted;
    /// The first entry of the new term was confirmed; from then on writes of callers are.
    std::optional<time_point> confirmed;
};

/// Outcome of an attempt.
struct promotion_result {
    /// `none` on success.
    promotion_failure failure = promotion_failure::none;
    /// Term of the attempt; 0 when no claim was taken.
    term_number term = 0;
    /// The new primary; empty when none was promoted.
    std::string primary;
    promotion_times times;
    /// When the attempt ended.
    time_point ended;
};

/// Actions of an attempt. All answers come back through the inputs of `promotion`, never from within a hook.
struct promotion_hooks {
    /// Asks peers in other zones whether they saw a confirmed write; returns how many were asked.
    std::function<std::size_t()> ask_peers;
    /// Requests `/v1/status`, answered by on_status_answer.
    std::function<void(const std::string& instance)> query_status;
    /// Uses up the lowest own claim above the term; nothing when there is none.
    std::function<std::optional<term_number>(term_number highest_seen)> take_claim;
    /// Requests `/v1/fence`, answered by on_fence_answer.
    std::function<void(const std::string& instance, term_number term)> fence;
    /// Requests `/v1/promote`, answered by on_promote_answer.
    std::function<void(const std::string& instance, term_number term)> promote;
    /// Requests `/v1/follow` without `admit`; its answer is not needed.
    std::function<void(const std::string& instance, term_number term, const std::string& primary)> follow;
    /// Called once at the end of each attempt.
    std::function<void(const promotion_result& result)> on_finished;
};

/// State machine of one promotion attempt at a time for one database group.
///
/// Fencing takes two rounds. An instance that lost its state after it answered a fence no longer holds that
/// term, and may have been admitted again under the old one. So once a majority has answered the fence, each
/// is asked for its status: if all still hold the term, there was a moment at which a majority held it
/// together, and from then on no majority can confirm or admit under an older term.
class promotion {
public:
    promotion(const group_configuration& configuration, const promotion_settings& settings,
              promotion_hooks hooks);

    /// Starts an attempt against the primary of `base_term`. `rank` is this daemon's place among the
    /// coordinators. An instance named in `excluded` is neither fenced nor chosen: a primary whose backend
    /// server is leaving hands over to another one. Nothing happens while an attempt is under way.
    void start(term_number base_term, std::size_t rank, time_point now, const std::string& excluded = {});
    /// Ends an attempt that has not fenced anything yet.
    void cancel(time_point now);
    /// Discards an attempt that has not begun to promote, after the process was paused; later phases are safe
    /// to continue, since the instances reject superseded requests.
    void on_loop_gap(time_point now);

    /// Opinion of a peer; `saw_commit` when it saw a write confirmed within its window.
    void on_peer_opinion(const std::string& zone, bool saw_commit, time_point now);
    /// Answer to query_status. A report must have come from a request sent by this process.
    void on_status_answer(const std::string& instance, const std::optional<instance_report>& report,
                          const error& reason, time_point now);
    /// Answer to fence. A rejection with stale_term carries the accepted term in `report` when it is known.
    void on_fence_answer(const std::string& instance, const std::optional<instance_report>& report,
                         const error& reason, time_point now);
    /// Answer to promote.
    void on_promote_answer(const std::string& instance, bool promoted, const error& reason, time_point now);
    /// A term seen anywhere.
    void observe_term(term_number term, time_point now);
    /// A confirmed position of the group.
    void observe_confirmed(log_position confirmed, time_point now);
    /// Sends again and ends phases that took too long; to be called every few milliseconds during an attempt.
    void tick(time_point now);

    [[nodiscard]] promotion_phase phase() const { return phase_; }
    /// True from start() until on_finished.
    [[nodiscard]] bool is_running() const;
    /// Term of the attempt; 0 before a claim was taken.
    [[nodiscard]] term_number term() const { return term_; }
    /// The instance chosen as primary; empty before the choice.
    [[nodiscard]] const std::string& chosen() const { return chosen_; }

private:
    // Progress of one member in the current attempt.
    struct member {
        std::string name;
        bool answered = false;
        std::optional<instance_report> fenced;
        // True when its fence answer had arrived before the current round of checks began.
        bool in_round = false;
        std::optional<instance_report> checked;
    };

    [[nodiscard]] member* find(const std::string& instance);
    void enter(promotion_phase next, time_point now);
    void finish(promotion_failure failure, time_point now);
    void end_asking(time_point now);
    void begin_fencing(time_point now);
    void begin_checking(time_point now);
    void take_check(member& target, const instance_report& report, time_point now);
    void begin_promoting(time_point now);
    void begin_following(time_point now);
    void send_requests();
    void end_overdue(time_point now);

    group_configuration configuration_;
    promotion_settings settings_;
    promotion_hooks hooks_;
    promotion_phase phase_ = promotion_phase::idle;
    time_point phase_since_;
    time_point last_sent_;
    std::vector<member> members_;
    term_number base_term_ = 0;
    term_number highest_seen_ = 0;
    term_number term_ = 0;
    std::size_t rank_ = 0;
    std::size_t opinions_awaited_ = 0;
    std::string chosen_;
    std::string excluded_;
    promotion_times times_;
};

} // namespace gentianhill
