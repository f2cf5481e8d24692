#pragma once

#include "gentianhill/daemon/group_runtime.h"
#include "gentianhill/promotion/claim_pool.h"
#include "gentianhill/promotion/coordinator_ranking.h"
#include "gentianhill/promotion/promotion.h"
#include "gentianhill/promotion/reconciler.h"
#include "gentianhill/store/object_store.h"

#include <boost/signals2/connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// What a promotion_driver needs to know of the other daemons.
struct promotion_driver_hooks {
    /// Daemons that may coordinate, this one included.
    std::function<std::vector<coordinator_candidate>()> live_daemons;
    /// True for a process that is known to be running; its claims are kept.
    std::function<bool(const daemon_incarnation&)> is_running;
    /// Asks one daemon in each other zone whether it saw this primary confirm a write; calls the handler once
    /// per answer and returns how many zones were asked.
    std::function<std::size_t(const std::string& group, const std::string& primary, term_number term,
                              std::function<void(const std::string& zone, bool saw_commit)> on_opinion)>
        ask_other_zones;
    /// Tells the other daemons what this one knows of the group.
    std::function<void()> publish_view;
};

/// Runs promotions of one database group: keeps claims in stock, starts an attempt when the primary is
/// suspected, sends its requests to the instances, and brings instances that follow no one back.
class promotion_driver {
public:
    promotion_driver(daemon_context& context, group_runtime& group, object_store& store,
                     promotion_driver_hooks hooks);
    promotion_driver(const promotion_driver&) = delete;
    promotion_driver& operator=(const promotion_driver&) = delete;

    /// Assesses the primary and advances an attempt; to be called every few milliseconds.
    void tick(time_point now);
    /// The event loop did not run for a while: evidence gathered before is void.
    void on_loop_gap(time_point now) { attempt_.on_loop_gap(now); }
    /// Place among the group's coordinators; nothing when this daemon is none.
    [[nodiscard]] std::optional<std::size_t> rank() const;
    /// State for operators.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    [[nodiscard]] promotion_hooks hooks_for_attempt();
    void start_if_suspected(time_point now);
    void start_if_leaving(time_point now);
    /// Starts an attempt when an instance has been above the term of the primary for a while.
    void start_if_ahead(time_point now);
    void start(const std::string& reason, const std::string& excluded, time_point now);
    void keep_claims();
    /// Replaces the claims, which a restore of the store has voided.
    void renew_claims();
    void reconcile_instances(time_point now);
    void send_fence(const std::string& instance, term_number term);
    void send_promote(const std::string& instance, term_number term);
    void send_follow(const follow_request& order);
    [[nodiscard]] bool is_due(const follow_request& order, time_point now);
    void send_status(const std::string& instance);
    void finished(const promotion_result& result);
    void record_primary(term_number term, const std::string& instance);

    daemon_context& context_;
    group_runtime& group_;
    object_store& store_;
    promotion_driver_hooks hooks_;
    claim_pool claims_;
    promotion attempt_;
    // Term of the primary that the last attempt replaces; 0 when none was known.
    term_number replaced_term_ = 0;
    boost::signals2::scoped_connection restored_;
    bool update_open_ = false;
    time_point next_claim_check_;
    time_point next_reconcile_;
    time_point next_attempt_;
    std::optional<time_point> leaving_since_;
    // Since when an instance has been above the term of the primary.
    std::optional<time_point> ahead_since_;
    bool skip_opinions_ = false;
    std::optional<event_id> attempt_event_;
    std::optional<promotion_result> last_result_;
    unsigned failures_in_a_row_ = 0;
    struct sent_order {
        term_number term = 0;
        std::string primary;
        bool admit = false;
        time_point at;
    };
    std::map<std::string, sent_order> sent_orders_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
