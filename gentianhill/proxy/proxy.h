#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/metadata/collection_watch.h"
#include "gentianhill/metadata/store_port.h"
#include "gentianhill/proxy/client_session.h"
#include "gentianhill/proxy/daemon_registry.h"
#include "gentianhill/proxy/database_group.h"
#include "gentianhill/proxy/failover_driver.h"
#include "gentianhill/proxy/member_record.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/routing/route_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Settings of a proxy.
struct proxy_settings {
    /// Name of the daemon, unique in the deployment.
    std::string name;
    /// Availability zone.
    std::string zone;
    /// Tells two processes of the same name apart.
    std::string incarnation;
    /// Daemons that are assumed before their number is known.
    std::size_t assumed_daemons = 4;
    /// Time from the request to stop until the process ends.
    duration grace = std::chrono::seconds(6);
    database_group_settings group;
    failover_settings failover;
    duty_lease_settings lease;
    collection_watch_settings watch;
    daemon_registry_settings registry;
};

/// What a proxy needs of the packages around it.
struct proxy_ports {
    instance_network network;
    store_port store;
    /// Calls the platform to promote an instance.
    std::function<void(const std::string& group, const std::string& id, const std::string& holder,
                       std::uint64_t token, std::function<void(promote_outcome)> done)>
        promote;
    std::function<void(duration delay, std::function<void()> action)> call_after;
    /// Reads a configuration object; nothing when it is not valid.
    std::function<std::optional<proxy_configuration>(const stored_object&)> read_configuration;
    /// Reads an instance's entry; nothing when it names no instance.
    std::function<std::optional<listed_instance>(const stored_object&)> read_instance;
    std::function<time_point()> now;
    /// Random number in [0, 1).
    std::function<double()> random;
};

/// How far a stop has come.
enum class stop_phase : std::uint8_t {
    running,
    /// Not ready, but new clients may still arrive until the balancer has noticed.
    leaving,
    /// Sessions are closed when they are idle.
    closing,
    stopped,
};

/// A proxy: the configuration, the groups, and the sessions of its clients.
class proxy {
public:
    proxy(const proxy_settings& settings, proxy_ports ports, logger& log, metrics& registry);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// The process may end.
    std::function<void()> on_stopped;
    /// Sessions that are idle are to be closed.
    std::function<void()> on_close_idle_sessions;

    /// Starts to watch the store and to work.
    void start();
    /// Starts to stop.
    void stop();
    /// Opens a session; null when no route leads to the database. `has_configuration` has to be true.
    [[nodiscard]] std::unique_ptr<client_session> open_session(const std::string& database);
    /// True once a configuration is in effect.
    [[nodiscard]] bool has_configuration() const { return routes_.current().has_value(); }
    /// Called once for each session that waits for the first configuration.
    std::function<void()> on_configuration_applied;
    /// True when the daemon takes new clients.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] stop_phase phase() const { return phase_; }
    [[nodiscard]] proxy_counters& counters() { return counters_; }

private:
    void tick();
    void on_instances(const std::vector<stored_object>& objects);
    void on_instance_event(const store_event& event);
    void on_configuration_object(const stored_object& object);
    void on_instance_changed(const listed_instance& listed);
    void apply_rules();
    [[nodiscard]] database_group& group(const std::string& name);
    void list_instances(const std::string& group, const std::string& after,
                        const std::shared_ptr<std::vector<listed_instance>>& found,
                        const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done);
    void advance_stop();
    /// Closes idle sessions of a daemon that has not been able to serve anything for some time.
    void send_clients_away(time_point now);
    [[nodiscard]] std::size_t daemon_count() const;

    /// Before the ports, whose guards refer to it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    proxy_settings settings_;
    proxy_ports ports_;
    logger& log_;
    proxy_counters counters_;
    route_table routes_;
    instance_catalog catalog_;
    collection_watch instance_watch_;
    collection_watch configuration_watch_;
    duty_lease lease_;
    daemon_registry registry_;
    failover_port failover_port_;
    std::map<std::string, std::unique_ptr<database_group>, std::less<>> groups_;
    std::map<std::string, std::unique_ptr<failover_driver>, std::less<>> drivers_;
    std::map<std::string, std::unique_ptr<member_record>, std::less<>> member_records_;
    session_environment environment_;
    stop_phase phase_ = stop_phase::running;
    time_point stop_started_;
    std::optional<time_point> unready_since_;
};

} // namespace gentianhill
