#pragma once

#include "gentianhill/consistency/group_view.h"
#include "gentianhill/consistency/replica_selector.h"
#include "gentianhill/consistency/replication_rate.h"
#include "gentianhill/daemon/group_waiters.h"
#include "gentianhill/daemon/instance_gateway.h"
#include "gentianhill/daemon/instance_poller.h"
#include "gentianhill/promotion/failure_detector.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// All that one daemon holds for one database group: what it knows, its connections, and who waits for what.
class group_runtime {
public:
    group_runtime(daemon_context& context, const group_configuration& configuration);
    ~group_runtime();
    group_runtime(const group_runtime&) = delete;
    group_runtime& operator=(const group_runtime&) = delete;

    /// Registers a call for each change of the primary or its term; returns a number for forget().
    std::uint64_t observe_primary(std::function<void()> on_change);
    /// Ends the calls registered under this number.
    void forget(std::uint64_t observer) { observers_.erase(observer); }

    /// Expires when the group goes; whoever may outlive it checks this first.
    [[nodiscard]] std::weak_ptr<bool> alive() const { return alive_; }
    /// Starts to poll the instances.
    void start();
    /// Takes over changed limits of the daemon's settings.
    void apply_settings();
    /// Expires waits and queued requests; to be called every few milliseconds.
    void tick(time_point now);
    /// The event loop did not run for `gap`.
    void on_loop_gap(duration gap) { detector_.observe_loop_gap(gap); }

    [[nodiscard]] const std::string& name() const { return view_.configuration().name; }
    [[nodiscard]] group_view& view() { return view_; }
    [[nodiscard]] const group_view& view() const { return view_; }
    [[nodiscard]] failure_detector& detector() { return detector_; }
    /// Gateway of an instance, or null.
    [[nodiscard]] instance_gateway* gateway(const std::string& instance);
    /// Gateway of the primary, or null while there is none.
    [[nodiscard]] instance_gateway* primary_gateway();
    /// Merges the view of another daemon. Errors: those of group_view::merge.
    bool merge(const nlohmann::json& view, std::optional<time_point> asked_at, error& reason);

    /// Sets the teams that may use the group, with their weights; `admits_all` admits every other team as
    /// well, with the default weight.
    void set_teams(const std::map<std::string, double>& teams, bool admits_all);
    /// True when the team may use this group.
    [[nodiscard]] bool has_team(const std::string& team);
    /// Backend servers that must get no new work, by instance name.
    void set_leaving(const std::string& instance, bool leaving);

    /// Instances as a read sees them now; the result refers to this object and is valid until the next call.
    [[nodiscard]] const std::vector<read_candidate>& candidates(time_point now);

    /// Waits until the position is confirmed or superseded; the handler runs from the loop.
    void wait_confirmed(const log_position& position, time_point deadline,
                        group_waiters::confirm_handler on_done);
    /// Waits until the condition holds; needs fresh reports, so polling is faster meanwhile.
    void wait_until(std::function<bool()> condition, time_point deadline,
                    group_waiters::condition_handler on_done);

    /// A write was sent to the primary, was executed at a position, or ended without one.
    void note_write_sent();
    void note_write_executed(const log_position& position);
    void note_write_failed(request_progress progress);
    /// True while a write was sent or waits for confirmation.
    [[nodiscard]] bool has_writes_in_flight() const { return writes_sent_ > 0 || waiters_.has_confirms(); }
    /// False when new writes must be rejected, since replicas do not acknowledge earlier ones.
    [[nodiscard]] bool accepts_writes(time_point now) const { return view_.positions().is_confirming(now); }

    /// State for operators.
    [[nodiscard]] nlohmann::json to_json(time_point now);
    /// Entitled and used shares per instance and team.
    [[nodiscard]] nlohmann::json shares_json(time_point now);

private:
    struct instance_runtime {
        std::unique_ptr<instance_gateway> gateway;
        std::unique_ptr<instance_poller> poller;
        replication_rate rate;
    };

    [[nodiscard]] instance_gateway_hooks hooks_for(const std::string& instance);
    [[nodiscard]] bool is_primary(const std::string& instance) const;
    [[nodiscard]] poll_urgency urgency(time_point now) const;
    void on_report(const instance_report& report);
    void take_note_of_primary(time_point now);
    void after_change();
    void wake_pollers();
    void schedule_advance();

    daemon_context& context_;
    group_view view_;
    failure_detector detector_;
    group_waiters waiters_;
    std::map<std::string, instance_runtime> instances_;
    std::map<std::string, double> teams_;
    bool admits_all_teams_ = false;
    std::vector<read_candidate> candidates_;
    std::optional<std::string> primary_;
    term_number primary_term_ = 0;
    log_position confirmed_;
    std::map<std::uint64_t, std::function<void()>> observers_;
    std::uint64_t next_observer_ = 1;
    std::size_t writes_sent_ = 0;
    bool advancing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
