#pragma once

#include "gentianhill/core/graceful_stop.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/metadata/collection_watch.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_call_counter.h"
#include "gentianhill/ownership/owner_selection.h"
#include "gentianhill/ownership/statement_forwarder.h"
#include "gentianhill/proxy/client_session.h"
#include "gentianhill/proxy/database_group.h"
#include "gentianhill/proxy/failover_driver.h"
#include "gentianhill/proxy/member_record.h"
#include "gentianhill/proxy/statement_host.h"
#include "gentianhill/proxy/term_record.h"
#include "gentianhill/quota/team_quota.h"
#include "gentianhill/relay/daemon_directory.h"
#include "gentianhill/relay/relay_port.h"
#include "gentianhill/relay/state_relay.h"
#include "gentianhill/relay/zone_evidence.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/routing/route_table.h"
#include "gentianhill/teams/key_lease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Settings of a proxy daemon.
struct proxy_settings {
    /// Name of the daemon, unique in the deployment.
    std::string name;
    /// Availability zone that the daemon runs in.
    std::string zone;
    /// Distinguishes processes that run under the same name.
    std::string incarnation;
    /// Minimum number of daemons among which the connections of an instance are divided.
    std::size_t assumed_daemons = 4;
    /// Time for which a key may be used after it was taken away; zero when only the configuration in effect
    /// counts.
    duration key_lease{0};
    /// Time allowed for a graceful shutdown.
    duration grace = std::chrono::seconds(6);
    database_group_settings group;
    failover_settings failover;
    duty_lease_settings lease;
    collection_watch_settings watch;
    /// Address for other daemons; nothing when this daemon talks to none.
    std::optional<endpoint> peer_address;
    daemon_directory_settings directory;
    state_relay_settings relay;
    zone_evidence_settings evidence;
    owner_selection_settings owners;
    statement_forwarder_settings forwarder;
    statement_host_settings host;
    quota_settings quota;
};

/// External operations used by a proxy.
struct proxy_ports {
    instance_network network;
    metadata_store store;
    /// Calls the promotion service to promote an instance.
    std::function<void(const std::string& group, const std::string& id, const std::string& holder,
                       std::uint64_t token, std::function<void(promotion_call_result)> done)>
        promote;
    std::function<void(duration delay, std::function<void()> action)> call_after;
    /// Requests to other daemons; empty when this daemon talks to none.
    relay_port relay;
    /// Parses a configuration object; nothing when it is not valid.
    std::function<std::optional<proxy_configuration>(const stored_object&)> read_configuration;
    /// Parses an instance's entry; nothing when it does not describe an instance.
    std::function<std::optional<listed_instance>(const stored_object&)> read_instance;
    std::function<time_point()> now;
    /// Random number in [0, 1).
    std::function<double()> random;
};

/// A proxy daemon: applies the configuration, manages the database groups and opens client sessions.
class proxy {
public:
    proxy(const proxy_settings& settings, proxy_ports ports, logger& log, metrics& registry);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// Called when shutdown has finished and the process may exit.
    std::function<void()> on_stopped;
    /// Called when idle sessions must be closed; repeated at every tick while that holds.
    std::function<void()> on_close_idle_sessions;
    /// Called when open transactions must be rolled back; repeated at every tick while that holds.
    std::function<void()> on_end_transactions;
    /// Called when statements in flight must be answered without waiting for their results.
    std::function<void()> on_give_up_statements;
    /// Returns true while a client has a statement or transaction open or an answer that is not sent.
    std::function<bool()> has_open_work;

    /// Starts watching the store and the periodic work.
    void start();
    /// Begins a graceful shutdown.
    void stop();
    /// Answers a request of another daemon.
    void on_relay_request(relay_request_kind kind, const nlohmann::json& message,
                          relay_answer_handler respond);
    /// Answers a message about a statement that another daemon hands on.
    /// Answers a request of another daemon for a part of a content.
    void on_content_request(std::string_view message, content_answer_handler respond) {
        relay_.on_content_request(message, std::move(respond));
    }
    void on_hand_on(std::string_view message, const hand_on_handler& respond) {
        host_.on_message(message, respond);
    }
    /// True while a statement or transaction of another daemon is open here.
    [[nodiscard]] bool has_hosted_statements() const { return host_.has_open_work(); }
    /// Opens a session for a client that has stated a key, which may be empty; null when that is refused, and
    /// `refusal` says why. Requires has_configuration().
    [[nodiscard]] std::unique_ptr<client_session>
    open_session(const std::string& database, std::string_view key, statement_outcome& refusal);
    /// True once a configuration is in effect.
    [[nodiscard]] bool has_configuration() const { return routes_.current().has_value(); }
    /// Called after a configuration has taken effect, for sessions that wait for the first one and those
    /// whose key it has taken away.
    std::function<void()> on_configuration_applied;
    /// True when the daemon accepts new clients.
    [[nodiscard]] bool is_ready() const;
    /// True while new statements are run; false in the later part of a graceful shutdown.
    [[nodiscard]] bool accepts_statements() const { return stop_.accepts_statements(); }
    [[nodiscard]] stop_phase phase() const { return stop_.phase(); }
    [[nodiscard]] proxy_counters& counters() { return counters_; }

private:
    /// Changes of a group's member record that are due at a time, so that daemons of a lower rank see what
    /// the first ones have recorded.
    struct pending_record {
        std::optional<time_point> add_at;
        std::optional<time_point> replace_at;
        /// When the term of the group is recorded for the present era of the store.
        std::optional<time_point> term_at;
        time_point ask_evidence_at;
    };

    void tick();
    void on_instances(const std::vector<stored_object>& objects);
    void on_instance_event(const store_event& event);
    void on_configuration_object(const stored_object& object);
    void on_instance_changed(const listed_instance& listed);
    void on_evidence_request(const nlohmann::json& message, const relay_answer_handler& respond);
    /// Checks whether a caller may use a route.
    [[nodiscard]] caller_check check_caller(const route& used, const std::optional<key_digest>& key,
                                            time_point received_at) const;
    /// True while the keys of callers can be checked for long enough that clients need not turn to another
    /// daemon.
    [[nodiscard]] bool can_check_keys() const;
    /// Limit of a team by the configuration in effect; nothing when it has none.
    [[nodiscard]] std::optional<team_rate> find_limit(const std::string& team_name) const;
    [[nodiscard]] bool has_limits() const;
    void apply_group_limits();
    /// Sets the part that this daemon has in running the statements of a group.
    void apply_role(database_group& members, const group_limits& limits);
    /// Records that this daemon runs a statement of a group for another one.
    void on_hosted_statement(const std::string& group_name);
    /// Gives up the part of an owner in groups whose statements are no longer handed on to this daemon.
    void expire_hosted_groups(time_point now);
    [[nodiscard]] bool has_any_open_work() const;
    /// Applies the ranks of this daemon among all, which decide who probes, promotes and records first.
    void apply_ranks();
    /// Time at which this daemon records a change of a group's members that it sees now.
    [[nodiscard]] time_point record_time(const std::string& group) const;
    /// Time at which this daemon records what a restore of the store may have removed.
    [[nodiscard]] time_point era_record_time(const std::string& group) const;
    /// Passes on the era of the store that any watch or relayed state has shown. When it is new, schedules
    /// the records of all groups.
    void observe_era();
    void record_members(time_point now);
    /// Records that the list of instances is complete as of `moment`.
    void confirm_instances(time_point moment);
    /// Logs when the list of instances becomes old or current.
    void note_list_age(time_point now);
    void record_terms(time_point now);
    [[nodiscard]] database_group& group(const std::string& name);
    /// Lists the instances of a group from the store, page by page; `era` is that of the pages before.
    /// Lists the instances for all groups, unless that is being done.
    void list_members();
    void list_instances(const std::string& group, const std::string& after, std::optional<std::uint64_t> era,
                        const std::shared_ptr<std::vector<listed_instance>>& found,
                        const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done);
    void advance_stop(time_point now);
    /// Closes idle sessions once no group has been able to serve for longer than the load balancer needs to
    /// notice.
    void close_idle_sessions_if_not_serving(time_point now);
    [[nodiscard]] std::size_t daemon_count() const;

    /// Declared before the ports, whose guards refer to it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    proxy_settings settings_;
    store_call_counter store_calls_;
    proxy_ports ports_;
    logger& log_;
    proxy_counters counters_;
    route_table routes_;
    key_lease key_lease_;
    /// Object of the configuration in effect, for daemons that lack it.
    std::optional<stored_object> configuration_in_effect_;
    instance_catalog catalog_;
    collection_watch configuration_watch_;
    collection_watch instance_watch_;
    collection_watch duty_watch_;
    collection_watch daemon_watch_;
    daemon_directory directory_;
    state_relay relay_;
    zone_evidence evidence_;
    team_quota quota_;
    duty_lease lease_;
    failover_port failover_port_;
    std::map<std::string, std::unique_ptr<database_group>, std::less<>> groups_;
    std::map<std::string, std::unique_ptr<failover_driver>, std::less<>> drivers_;
    std::map<std::string, std::unique_ptr<member_record>, std::less<>> member_records_;
    std::map<std::string, std::unique_ptr<term_record>, std::less<>> term_records_;
    std::map<std::string, pending_record, std::less<>> pending_records_;
    /// Era of the store for which the records are scheduled.
    std::uint64_t recorded_era_ = 0;
    session_environment environment_;
    owner_selection owners_;
    statement_forwarder forwarder_;
    statement_host host_;
    /// Time of the last statement that another daemon has handed on, by group.
    std::map<std::string, time_point, std::less<>> hosted_at_;
    graceful_stop stop_;
    std::optional<time_point> unready_since_;
    bool listing_members_ = false;
    /// Time at which the instances were last requested for all groups.
    time_point members_listed_at_;
    std::optional<time_point> instances_confirmed_at_;
    /// The list of instances is too old for the word of a single replica to count.
    bool is_list_old_ = false;
};

} // namespace gentianhill
