#pragma once

#include "gentianhill/caller/caller_endpoint.h"
#include "gentianhill/core/graceful_stop.h"
#include "gentianhill/daemon/daemon_context.h"
#include "gentianhill/daemon/fleet_service.h"
#include "gentianhill/daemon/group_runtime.h"
#include "gentianhill/daemon/promotion_driver.h"
#include "gentianhill/daemon/service_context.h"
#include "gentianhill/daemon/statement_service.h"
#include "gentianhill/daemon/ticket_service.h"
#include "gentianhill/operators/admin_endpoint.h"
#include "gentianhill/operators/operator_endpoint.h"
#include "gentianhill/store/object_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// One daemon with all its parts on one loop. Programs run one; tests run several on the same loop.
class gentianhill_daemon {
public:
    /// The loop must outlive the daemon. Errors of the settings: those of token_codec::create.
    [[nodiscard]] static std::unique_ptr<gentianhill_daemon>
    create(event_loop& loop, const daemon_settings& settings, error& reason);
    ~gentianhill_daemon();
    gentianhill_daemon(const gentianhill_daemon&) = delete;
    gentianhill_daemon& operator=(const gentianhill_daemon&) = delete;

    /// Called once when a planned stop has finished; may be empty.
    std::function<void()> on_drained;

    /// Starts all endpoints. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    /// Begins a planned stop. Returns false when one has begun already.
    bool drain();
    [[nodiscard]] bool is_draining() const { return draining_; }
    /// Reasons why the daemon takes no new work; empty when it is ready.
    [[nodiscard]] std::vector<std::string> not_ready_reasons() const;

    [[nodiscard]] std::uint16_t caller_port() const { return callers_->port(); }
    [[nodiscard]] std::uint16_t peer_port() const { return fleet_->port(); }
    [[nodiscard]] std::uint16_t operator_port() const { return operators_.port(); }
    [[nodiscard]] std::uint16_t admin_port() const { return admin_.port(); }
    [[nodiscard]] daemon_context& context() { return context_; }
    [[nodiscard]] fleet_service& fleet() { return *fleet_; }
    [[nodiscard]] ticket_service& tickets() { return *tickets_; }
    /// Group of that name, or null.
    [[nodiscard]] group_runtime* find_group(const std::string& name);
    /// Promotion driver of a group, or null.
    [[nodiscard]] promotion_driver* find_driver(const std::string& name);

private:
    struct group_entry {
        std::unique_ptr<group_runtime> runtime;
        std::unique_ptr<promotion_driver> driver;
    };
    struct retired_group {
        std::unique_ptr<group_runtime> runtime;
        time_point until;
    };

    gentianhill_daemon(event_loop& loop, const daemon_settings& settings, token_codec codec);

    [[nodiscard]] service_context make_service_context(token_codec codec);
    [[nodiscard]] fleet_service_hooks hooks_for_fleet();
    [[nodiscard]] promotion_driver_hooks hooks_for_driver(const std::string& group);
    void set_operator_hooks();
    void tick();
    void on_tickets_raised(const std::vector<std::string>& subjects);
    void apply_policy();
    void set_group(const std::string& name, const group_subject& subject);
    void set_teams_of(const std::string& name, const group_subject& subject);
    void remove_group(const std::string& name);
    bool merge_views(const std::vector<nlohmann::json>& views, error& reason);
    [[nodiscard]] opinion_answer give_opinion(const opinion_request& question);
    void set_servers(const std::map<std::string, bool>& leaving_by_address);
    void continue_drain();
    void enter(stop_phase phase);
    void finish_drain();
    [[nodiscard]] nlohmann::json state_json();
    void ticket_status(ticket_number number, const operator_answer& answer);
    void expose_gauges();

    /// Settings of the process, and the same with the overrides of the policy in effect.
    const daemon_settings base_settings_;
    daemon_settings settings_;
    daemon_context context_;
    object_store store_;
    std::unique_ptr<ticket_service> tickets_;
    std::unique_ptr<fleet_service> fleet_;
    std::map<std::string, group_entry> groups_;
    std::vector<retired_group> retired_;
    service_context service_;
    std::unique_ptr<statement_service> statements_;
    std::unique_ptr<caller_endpoint> callers_;
    operator_endpoint operators_;
    admin_endpoint admin_;
    timer tick_timer_;
    timer drain_timer_;
    time_point last_tick_;
    graceful_stop stop_;
    bool draining_ = false;
    bool going_away_ = false;
};

} // namespace gentianhill
