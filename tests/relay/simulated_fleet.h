#pragma once

#include "gentianhill/metadata/collection_watch.h"
#include "gentianhill/relay/daemon_directory.h"
#include "gentianhill/relay/state_relay.h"
#include "tests/simulation/simulated_store.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Daemons of several zones that keep the state of the metadata store by their relays, on one simulated
/// clock.
class simulated_fleet {
public:
    /// Starts `daemons_per_zone` daemons in each of the zones z0, z1, ... and lets them settle.
    simulated_fleet(std::size_t zones, std::size_t daemons_per_zone);
    ~simulated_fleet();

    void run_for(duration length) { clock.run_for(length); }
    /// Writes a configuration as the operator does.
    void configure(std::uint64_t version);
    /// Writes a configuration of `routes` routes, about 200 bytes each, as the operator does. Each version
    /// changes one of them.
    void configure_routes(std::uint64_t version, std::size_t routes);
    /// Ends a daemon without notice.
    void kill(const std::string& name);
    /// Starts a daemon under its name.
    void start(const std::string& name);
    /// Ends a daemon by plan.
    void stop(const std::string& name);
    void freeze(const std::string& name) { clock.freeze(name); }
    void wake(const std::string& name) { clock.wake(name); }
    [[nodiscard]] bool runs(const std::string& name) const;

    /// Names of the daemons of a zone in the order in which they are relays.
    [[nodiscard]] std::vector<std::string> order(const std::string& zone) const;
    [[nodiscard]] std::vector<std::string> names() const;
    /// Configuration version that a daemon has; 0 before the first one.
    [[nodiscard]] std::uint64_t version_of(const std::string& name) const;
    /// Configuration that a daemon has, which must have one.
    [[nodiscard]] const nlohmann::json& configuration_of(const std::string& name) const;
    /// Daemons that run, are not frozen and lack a version.
    [[nodiscard]] std::vector<std::string> behind(std::uint64_t version) const;
    [[nodiscard]] bool knows_instance(const std::string& name, const std::string& instance) const;
    [[nodiscard]] state_relay& relay_of(const std::string& name) { return *daemons_.at(name).relay; }
    [[nodiscard]] daemon_directory& directory_of(const std::string& name) {
        return *daemons_.at(name).directory;
    }
    /// Number of daemons that watch the store.
    [[nodiscard]] std::size_t watchers() const;
    /// Requests between the daemons that run which got no valid answer.
    [[nodiscard]] std::uint64_t failed_requests() const;

    simulated_clock clock;
    simulated_store store{clock};
    /// Hosts whose messages to and from other daemons are lost.
    std::set<std::string> cut_hosts;
    /// Changes the answer of a host before it is sent.
    std::map<std::string, std::function<void(nlohmann::json&)>> corrupt;
    /// Changes a part of a content of a host before it is sent.
    std::map<std::string, std::function<void(std::string&)>> corrupt_parts;
    /// Hosts that exchange whole contents in their answers, as the former version does; set before their
    /// start.
    std::set<std::string> without_references;
    /// Delay of the answers of a host, beyond that of the network.
    std::map<std::string, duration> slowness;
    /// Rate of the link of each host, in bytes per second; 0 for links that delay nothing.
    double link_bytes_per_s = 0;
    /// Bytes that each host has sent to other daemons while its link has a rate.
    std::map<std::string, std::uint64_t> bytes_sent;
    /// Versions that any daemon has gone back to, which must not happen.
    std::vector<std::string> regressions;

private:
    struct fleet_daemon {
        std::string zone;
        std::unique_ptr<logger> log;
        std::unique_ptr<metrics> registry;
        std::unique_ptr<metadata_store> store;
        std::unique_ptr<relay_port> port;
        std::vector<std::unique_ptr<collection_watch>> watches;
        std::unique_ptr<daemon_directory> directory;
        std::unique_ptr<state_relay> relay;
        std::uint64_t incarnation = 0;
        std::uint64_t version = 0;
    };

    [[nodiscard]] static endpoint address_of(const std::string& name);
    /// Time until the last byte of a message has left the link of a host, behind those sent before it.
    [[nodiscard]] duration transmit(const std::string& from, std::size_t bytes);
    void ask(const std::string& from, const endpoint& server, const nlohmann::json& message, duration timeout,
             const relay_answer_handler& done);
    void fetch_content(const std::string& from, const endpoint& server, const std::string& message,
                       duration timeout, const content_answer_handler& done);
    /// Sends `bytes` to the daemon at `server`, where `deliver` is run, and calls `fail` once unless the
    /// function that is passed to `deliver` has been called before the timeout.
    template <typename answer_type>
    void exchange(
        const std::string& from, const endpoint& server, std::size_t bytes, duration timeout,
        const std::function<void(const std::optional<answer_type>&, const error&)>& done,
        const std::function<void(
            fleet_daemon& target, const std::string& to,
            std::function<void(std::optional<answer_type>, std::size_t, const error&)> respond)>& deliver);
    void tick(const std::string& name, std::uint64_t incarnation);
    void note_version(const std::string& name);

    std::map<std::string, fleet_daemon> daemons_;
    std::map<std::string, std::string> names_by_address_;
    std::map<std::string, time_point> link_free_at_;
    std::mt19937_64 random_{1};
};

} // namespace gentianhill
