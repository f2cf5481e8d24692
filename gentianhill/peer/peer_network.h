#pragma once

#include "gentianhill/peer/neighbour_selection.h"
#include "gentianhill/peer/peer_address.h"
#include "gentianhill/peer/peer_endpoint.h"
#include "gentianhill/peer/peer_handlers.h"
#include "gentianhill/peer/peer_link.h"
#include "gentianhill/peer/relay_tree.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Settings of the network of daemons.
struct peer_network_settings {
    /// Name, zone and incarnation of this daemon.
    std::string daemon;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// Address to listen on and limits of requests.
    peer_endpoint_settings endpoint;
    /// Time between two exchanges with a neighbour, whichever side begins; each is shortened by up to the
    /// jitter share.
    duration heartbeat_interval = std::chrono::milliseconds{500};
    double heartbeat_jitter = 0.2;
    /// Longest wait for the answer to a heartbeat.
    duration heartbeat_timeout = std::chrono::milliseconds{1000};
    /// Longest wait for the answer to other messages.
    duration message_timeout = std::chrono::milliseconds{1000};
    /// A neighbour that was not heard for this long is replaced by the next choice.
    duration silence_limit = std::chrono::seconds{3};
    /// A link that was opened for a question is closed after this time without use.
    duration idle_link_lifetime = std::chrono::seconds{60};
    /// Time between two checks for silent neighbours and idle links.
    duration check_interval = std::chrono::milliseconds{250};
    neighbour_settings neighbours;
    relay_tree_settings relay;
    http2::backoff_settings reconnect{std::chrono::milliseconds{100}, std::chrono::seconds{2}, 0.5};
};

/// Counters of the network since its start.
struct peer_network_counters {
    /// Requests sent to and received from other daemons.
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    /// Requests that failed, and received ones that were refused.
    std::uint64_t failures = 0;
    std::uint64_t refused = 0;
    /// Bytes of all connections to and from daemons, without TCP and IP headers.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Answer of one daemon to a question.
struct peer_opinion {
    std::string daemon;
    std::string zone;
    opinion_answer answer;
};

/// All exchanges with other daemons. Each link is independent: a peer that is lost or slow delays no other.
class peer_network {
public:
    /// Receives the answers that arrived, at most one per zone, when all zones answered or failed.
    using opinions_handler = std::function<void(const std::vector<peer_opinion>&, std::size_t zones_asked)>;
    using tickets_handler = std::function<void(std::optional<ticket_batch>, const error&)>;
    using timeline_handler = std::function<void(std::optional<timeline_answer>, const error&)>;

    /// `random` returns uniform values in [0, 1); the loop must outlive the network.
    peer_network(event_loop& loop, const peer_network_settings& settings, peer_handlers handlers,
                 std::function<double()> random);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Called when the neighbour set has changed, for host_directory::expect_heartbeats; may be empty.
    std::function<void(const std::set<std::string>&)> on_neighbours_changed;
    /// Called when this daemon begins or ceases to watch the platform's tickets for its zone; may be empty.
    std::function<void(bool)> on_watcher_changed;

    /// Starts to listen and to send heartbeats. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    [[nodiscard]] std::uint16_t port() const { return endpoint_.port(); }
    /// Stops accepting connections; heartbeats continue, with the notice that this daemon drains.
    void shut_down();

    /// Replaces the set of daemons; this daemon itself is ignored.
    void set_peers(const std::vector<peer_address>& peers);
    void add_peer(const peer_address& peer);
    void remove_peer(const std::string& daemon);
    /// Sets the notice in all further messages and sends it to all neighbours at once.
    void set_draining(bool draining);

    /// Sends news about groups to the neighbours, which pass it on. `except` already knows it.
    void push_group_views(const group_view_push& push, const std::string& except = {});
    /// Sends tickets to the daemons below this one in the relay tree of the zone, and in place of one that
    /// does not answer to those below it. `except` already knows them. Other zones have watchers of their
    /// own; a zone without the platform learns of new tickets from the summaries of its neighbours.
    void push_tickets(const ticket_batch& batch, const std::string& except = {});
    /// Asks one daemon in each other zone; a second one when the first does not answer.
    void ask_other_zones(const opinion_request& question, duration timeout, opinions_handler on_done);
    /// Reads tickets above a number from one daemon, or from the best neighbour if the name is empty. The
    /// batch is not passed to handlers.on_tickets.
    void pull_tickets(const std::string& daemon, const tickets_pull& pull, const tickets_handler& on_result);
    /// Reads a part of the timeline of one daemon.
    void read_timeline(const std::string& daemon, const timeline_request& request,
                       const timeline_handler& on_result);

    /// Daemons that this one exchanges heartbeats with.
    [[nodiscard]] const std::set<std::string>& neighbours() const { return neighbours_; }
    /// Neighbours that have not been heard within the silence limit.
    [[nodiscard]] std::set<std::string> silent_neighbours() const;
    /// True when this daemon watches the platform's tickets for its zone.
    [[nodiscard]] bool is_ticket_watcher() const { return is_watcher_; }
    /// Time since the last message of a peer; nothing when it was never heard.
    [[nodiscard]] std::optional<duration> last_heard_age(const std::string& daemon, time_point now) const;
    [[nodiscard]] std::vector<peer_address> peers() const;
    [[nodiscard]] peer_network_counters counters() const;

private:
    struct peer_state {
        peer_address address;
        std::unique_ptr<peer_link> link;
        std::optional<time_point> heard_at;
        std::optional<time_point> heartbeat_received_at;
        std::uint64_t incarnation = 0;
        time_point neighbour_since{};
        time_point used_at{};
        timer beat_timer;
        /// Summary that the peer acknowledged, and the connection on which it did.
        nlohmann::json summary_acknowledged;
        std::uint64_t summary_connection = 0;
        /// True after a lost answer, which may have contained a summary.
        bool wants_summary = true;
        bool heartbeat_open = false;
        bool silent = false;
    };
    struct zone_question;
    using ticket_message = std::shared_ptr<const nlohmann::json>;

    [[nodiscard]] peer_envelope own_envelope() const;
    [[nodiscard]] peer_state* find(const std::string& daemon);
    [[nodiscard]] peer_link& link_of(peer_state& peer);
    bool accept_sender(const peer_envelope& sender, error& reason);
    void note_heartbeat_received(const std::string& daemon);
    void close_link(peer_state& peer);
    void tick();
    [[nodiscard]] bool update_silence(time_point now);
    void choose();
    [[nodiscard]] bool choose_relay(const std::set<std::string>& silent);
    void schedule_beat(peer_state& peer, bool is_first);
    void beat(peer_state& peer);
    void heartbeat_answered(const std::string& daemon, std::uint64_t connection, const nlohmann::json& sent,
                            const peer_envelope* sender, const nlohmann::json& answer);
    void close_idle_links(time_point now);
    void ask_peer(peer_state& peer, peer_message_kind kind, const nlohmann::json& message, duration timeout,
                  const peer_link::answer_handler& on_answer);
    void relay(const std::string& daemon, const ticket_message& message, const std::string& except);
    [[nodiscard]] std::vector<std::string> opinion_candidates(const opinion_request& question,
                                                              const std::string& zone) const;
    void ask_zone(const std::shared_ptr<zone_question>& question, const std::vector<std::string>& candidates,
                  std::size_t index);
    static void zone_ended(const std::shared_ptr<zone_question>& question);
    static void finish_question(const std::shared_ptr<zone_question>& question);
    [[nodiscard]] std::set<std::string> heartbeat_partners(time_point now) const;
    [[nodiscard]] std::string best_source() const;
    void fail_later(const std::string& daemon, const std::function<void(const error&)>& on_result);

    event_loop& loop_;
    peer_network_settings settings_;
    /// Hooks of the daemon; on_sender is wrapped by accept_sender().
    peer_handlers handlers_;
    std::function<bool(const peer_envelope&, error& reason)> on_sender_;
    std::function<double()> random_;
    peer_endpoint endpoint_;
    std::map<std::string, peer_state> peers_;
    std::set<std::string> neighbours_;
    std::optional<relay_tree> tree_;
    bool is_watcher_ = false;
    bool draining_ = false;
    bool started_ = false;
    timer tick_;
    peer_network_counters closed_links_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
