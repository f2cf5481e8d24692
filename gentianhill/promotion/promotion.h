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

/// Time limits of one promotion attempt.
struct promotion_settings {
    /// Maximum wait for the opinions of peers and for the answers of a majority of instances.
    duration ask_timeout = std::chrono::milliseconds{300};
    /// Delay per rank, so that normally only the first coordinator acts.
    duration rank_delay = std::chrono::seconds{1};
    /// Time without an answer after which a fence, promote or follow request is sent again.
    duration resend_after = std::chrono::milliseconds{500};
    /// Time without a majority of matching status answers after which the second round of fencing starts
    /// again.
    duration check_limit = std::chrono::milliseconds{200};
    /// Maximum duration of the fencing and checking phases together.
    duration fence_limit = std::chrono::milliseconds{2000};
    /// Maximum duration of the promoting phase.
    duration promote_limit = std::chrono::milliseconds{1500};
    /// Maximum wait for the first confirmed write of the new term.
    duration confirm_limit = std::chrono::milliseconds{3000};
};

/// Phase of a promotion attempt.
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

/// Reason for which an attempt ended without a confirmed write.
enum class promotion_failure : std::uint8_t {
    none,
    /// A peer saw a confirmed write.
    peer_saw_commit,
    /// Fewer than a majority of the instances answered.
    no_majority,
    /// There is no claim above every known term.
    no_claim,
    /// A higher term is in use.
    superseded,
    /// The chosen instance did not become primary.
    promote_failed,
    /// The new primary was promoted, but no write was confirmed in time.
    not_confirmed,
    /// Cancelled by the caller, or the process was paused before promoting.
    cancelled,
};
/// Name of a failure as it appears in logs.
[[nodiscard]] std::string_view to_string(promotion_failure failure);

/// Times at which an attempt reached its steps; nullopt for steps not reached.
struct promotion_times {
    /// The primary was suspected and the attempt began.
    time_point detected;
    /// A claim was taken.
    std::optional<time_point> claimed;
    /// A majority was fenced and checked.
    std::optional<time_point> fenced;
    /// The new primary answered.
    std::optional<time_point> promoted;
    /// The first entry of the new term was confirmed; from then on writes of callers are confirmed too.
    std::optional<time_point> confirmed;
};

/// Outcome of an attempt.
struct promotion_result {
    /// `none` on success.
    promotion_failure failure = promotion_failure::none;
    /// Term of the attempt; 0 when it took no claim.
    term_number term = 0;
    /// The new primary; empty when none was promoted.
    std::string primary;
    promotion_times times;
    /// When the attempt ended.
    time_point ended;
};

/// Actions of an attempt. Answers are passed to the member functions of `promotion`, never from within a
/// hook.
struct promotion_hooks {
    /// Asks peers in other zones whether they saw a confirmed write; returns the number of peers asked.
    std::function<std::size_t()> ask_peers;
    /// Requests `/v1/status`, answered by on_status_answer.
    std::function<void(const std::string& instance)> query_status;
    /// Takes the lowest claim of this daemon above the term; nullopt when there is none.
    std::function<std::optional<term_number>(term_number highest_seen)> take_claim;
    /// Requests `/v1/fence`, answered by on_fence_answer.
    std::function<void(const std::string& instance, term_number term)> fence;
    /// Requests `/v1/promote`, answered by on_promote_answer.
    std::function<void(const std::string& instance, term_number term)> promote;
    /// Requests `/v1/follow` without `admit`; the answer is ignored.
    std::function<void(const std::string& instance, term_number term, const std::string& primary)> follow;
    /// Called once at the end of each attempt.
    std::function<void(const promotion_result& result)> on_finished;
};

/// State machine of one promotion attempt at a time for one database group.
///
/// Fencing takes two rounds. An instance that loses its state after it answered a fence no longer holds the
/// term, and may be admitted again under the old one. Therefore, once a majority has answered the fence, each
/// of these instances is asked for its status. If a majority still holds the term, there was a time at which
/// all of it held the term, and from then on no majority can confirm or admit under an older term.
class promotion {
public:
    promotion(const group_configuration& configuration, const promotion_settings& settings,
              promotion_hooks hooks);

    /// Starts an attempt. `base_term` is the highest term that an instance with state is known to have
    /// accepted; the term of the primary can be lower, and an instance above `base_term` belongs to an
    /// attempt of another daemon. `rank` is the rank of this daemon among the coordinators. The instance
    /// `excluded` is neither fenced nor chosen, so that a primary whose backend server is leaving hands over
    /// to another instance. Does nothing while an attempt is running.
    void start(term_number base_term, std::size_t rank, time_point now, const std::string& excluded = {});
    /// Ends an attempt that has not sent a fence request yet.
    void cancel(time_point now);
    /// Called after the process was paused. Ends an attempt that has not started to promote; later phases
    /// continue safely, since instances reject superseded requests.
    void on_loop_gap(time_point now);

    /// Opinion of a peer; `saw_commit` when it saw a confirmed write within its opinion window.
    void on_peer_opinion(const std::string& zone, bool saw_commit, time_point now);
    /// Answer to query_status. The report must answer a request sent by this process.
    void on_status_answer(const std::string& instance, const std::optional<instance_report>& report,
                          const error& reason, time_point now);
    /// Answer to fence. For a rejection with stale_term, `report` has the accepted term when it is known.
    void on_fence_answer(const std::string& instance, const std::optional<instance_report>& report,
                         const error& reason, time_point now);
    /// Answer to promote.
    void on_promote_answer(const std::string& instance, bool promoted, const error& reason, time_point now);
    /// A term reported by any instance or daemon; one above the highest known term ends the attempt.
    void observe_term(term_number term, time_point now);
    /// The confirmed position of the group; a position of the new term completes the attempt.
    void observe_confirmed(log_position confirmed, time_point now);
    /// Resends requests and ends overdue phases; called every few milliseconds during an attempt.
    void tick(time_point now);

    [[nodiscard]] promotion_phase phase() const { return phase_; }
    /// True from start() until on_finished.
    [[nodiscard]] bool is_running() const;
    /// Term of the attempt; 0 before it has taken a claim.
    [[nodiscard]] term_number term() const { return term_; }
    /// The instance chosen as primary; empty before the choice.
    [[nodiscard]] const std::string& chosen_primary() const { return chosen_primary_; }

private:
    // State of one member in the current attempt.
    struct member {
        std::string name;
        bool answered = false;
        std::optional<instance_report> fence_report;
        // True when its fence answer arrived before the current round of checks started.
        bool in_check_round = false;
        std::optional<instance_report> check_report;
    };

    [[nodiscard]] member* find(const std::string& instance);
    void enter_phase(promotion_phase next, time_point now);
    void finish(promotion_failure failure, time_point now);
    void finish_asking(time_point now);
    void begin_fencing(time_point now);
    void begin_checking(time_point now);
    void on_check_answer(member& target, const instance_report& report, time_point now);
    void begin_promoting(time_point now);
    void begin_following(time_point now);
    void send_requests();
    void handle_phase_timeouts(time_point now);

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
    std::string chosen_primary_;
    std::string excluded_;
    promotion_times times_;
};

} // namespace gentianhill
