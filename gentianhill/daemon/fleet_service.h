#pragma once

#include "gentianhill/daemon/daemon_context.h"
#include "gentianhill/daemon/ticket_comparison.h"
#include "gentianhill/daemon/ticket_service.h"
#include "gentianhill/membership/host_directory.h"
#include "gentianhill/peer/peer_network.h"
#include "gentianhill/promotion/claim_set.h"
#include "gentianhill/promotion/coordinator_ranking.h"
#include "gentianhill/store/object_store.h"

#include <boost/signals2/connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// What the exchange with other daemons needs of the rest of this daemon.
struct fleet_service_hooks {
    /// Terms and primaries of all groups, for heartbeats: {group: [term, primary]}.
    std::function<nlohmann::json()> group_terms;
    /// Takes in views of groups from a peer; returns true when one named a newer primary.
    std::function<bool(const std::vector<nlohmann::json>& views, error& reason)> merge_views;
    /// Answers whether this daemon recently heard from a primary in a term.
    std::function<opinion_answer(const opinion_request&)> opinion;
    /// Called when a backend server must get no new work, or may again: by address.
    std::function<void(const std::map<std::string, bool>& leaving_by_address)> on_servers;
};

/// Membership of the fleet: heartbeats and messages with other daemons, and the platform's list of hosts.
class fleet_service {
public:
    fleet_service(daemon_context& context, object_store& store, ticket_service& tickets,
                  fleet_service_hooks hooks);
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;

    /// Starts to listen and to exchange heartbeats. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    /// Port of the endpoint for other daemons.
    [[nodiscard]] std::uint16_t port() const { return network_->port(); }
    /// Adds a daemon that the settings did not name.
    void add_peer(const peer_address& peer);
    /// Tells all peers that this daemon takes no new work.
    void set_draining();
    /// Passes a ticket on to the daemons below this one in the relay tree.
    void push_ticket(const nlohmann::json& accepted);
    /// Calls `on_compared` once the tickets of the other daemons have been read in the present era of the
    /// platform's store, or the limit of the comparison has passed: at once, or later from the event loop.
    void await_comparison(std::function<void()> on_compared);
    /// Tells the neighbours what this daemon knows of groups.
    void push_views(std::vector<nlohmann::json> views);
    /// Asks one daemon in each other zone; returns how many zones were asked.
    std::size_t ask_other_zones(const opinion_request& question,
                                std::function<void(const std::string& zone, bool saw_commit)> on_opinion);

    /// Daemons that may coordinate, this one included.
    [[nodiscard]] std::vector<coordinator_candidate> live_daemons() const;
    /// False when a later run of the daemon is known.
    [[nodiscard]] bool is_running(const daemon_incarnation& run) const;
    /// Which daemons have the same tickets in effect as this one: {daemon: {"same", "highest"}}.
    [[nodiscard]] nlohmann::json ticket_views() const;
    /// Hosts for operators.
    [[nodiscard]] nlohmann::json hosts_json() const;
    /// Bytes exchanged with other daemons.
    [[nodiscard]] peer_network_counters counters() const { return network_->counters(); }

private:
    [[nodiscard]] peer_handlers handlers();
    [[nodiscard]] bool on_sender(const peer_envelope& sender, error& reason);
    void on_summary(const peer_envelope& sender, const nlohmann::json& summary);
    peer_news on_tickets(const ticket_batch& batch, error& reason);
    void pull_tickets(const std::string& daemon, std::uint64_t after);
    /// Reads the tickets of daemons that were not read in the present era, and serves those who wait for it.
    void compare_tickets();
    void read_all_tickets(const std::string& daemon, ticket_number after, std::uint64_t era);
    [[nodiscard]] bool is_compared() const;
    /// Era of the platform's store; 0 before it has stated one.
    [[nodiscard]] std::uint64_t present_era() const;
    void poll_hosts();
    void apply_hosts(const hosts_result& result);

    daemon_context& context_;
    object_store& store_;
    ticket_service& tickets_;
    fleet_service_hooks hooks_;
    host_directory directory_;
    std::unique_ptr<peer_network> network_;
    std::map<std::string, peer_address> known_;
    std::map<std::string, nlohmann::json> summaries_;
    std::map<std::string, time_point> pulled_at_;
    /// True while tickets of a peer's push are applied; the network passes those on by itself.
    bool is_relayed_ = false;
    ticket_comparison comparison_;
    /// Daemons whose answer to read_all_tickets is open.
    std::set<std::string> reading_;
    std::vector<std::function<void()>> waiting_for_comparison_;
    timer comparison_timer_;
    boost::signals2::scoped_connection restored_;
    timer hosts_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
