#pragma once

#include "gentianhill/proxy/proxy.h"
#include "standins/replicated_service/service_model.h"
#include "tests/simulation/simulated_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Maximum length of a message between clients, proxies and instances, in bytes.
constexpr std::size_t message_limit = 1048576;

/// A client with one session, which records its results.
class simulated_client {
public:
    simulated_client(std::unique_ptr<client_session> session, simulated_clock& clock);

    /// Called when a statement has succeeded.
    std::function<void(const std::string& id)> on_done;

    /// Sends a statement under a generated id, which it returns.
    std::string send(const std::string& text);
    std::string execute(const std::string& name, const std::string& argument);
    std::string prepare(const std::string& name, const std::string& shape, bool writes);
    void set(const std::string& name, const std::string& value);
    /// Id of the next statement that any client sends.
    [[nodiscard]] static std::string next_id();
    /// Result of a statement; null while it is unanswered.
    [[nodiscard]] const statement_result* result(const std::string& id) const;
    /// Outcome of a statement; requires that it is answered.
    [[nodiscard]] statement_outcome outcome(const std::string& id) const;
    [[nodiscard]] client_session& session() { return *session_; }
    /// Disconnects the client.
    void leave() { session_.reset(); }
    [[nodiscard]] bool has_left() const { return session_ == nullptr; }
    /// Number of unanswered statements.
    [[nodiscard]] std::size_t unanswered() const { return sent_.size() - results_.size(); }

private:
    std::string submit(statement next);

    /// Number of statements of all clients.
    static inline std::uint64_t sent_by_all_ = 0;

    std::unique_ptr<client_session> session_;
    simulated_clock& clock_;
    std::vector<std::string> sent_;
    std::vector<std::string> order_;
    std::map<std::string, statement_result> results_;
};

/// Deployment in simulated time: proxies, one database group of three instances, the metadata store and the
/// promotion service.
class simulated_deployment {
public:
    /// The proxies are in one availability zone, or in two by turns. With `has_owners`, statements are handed
    /// on to the owner of the group.
    explicit simulated_deployment(std::size_t proxies = 2, std::size_t zones = 2, bool has_owners = false);
    ~simulated_deployment();

    /// Connects a client to a proxy with the database "latest", "bounded" or "own", named after its
    /// consistency level.
    [[nodiscard]] std::unique_ptr<simulated_client> connect(std::size_t proxy, const std::string& database,
                                                            const std::string& key = "");
    /// The same; null when the proxy refuses the session, and last_refusal says why.
    [[nodiscard]] std::unique_ptr<simulated_client>
    try_connect(std::size_t proxy, const std::string& database, const std::string& key = "");
    void run_for(duration length);
    /// Destroys a proxy without a graceful shutdown.
    void kill(std::size_t proxy);
    /// Starts a proxy under its host name and a new incarnation.
    void start(std::size_t proxy);
    [[nodiscard]] bool runs(std::size_t proxy) const { return hosts_[proxy].served != nullptr; }
    [[nodiscard]] proxy& at(std::size_t proxy) { return *hosts_[proxy].served; }
    [[nodiscard]] static std::string host_name(std::size_t proxy) { return "proxy-" + std::to_string(proxy); }
    /// Cuts or restores the network between a proxy and all others.
    void cut_from_proxies(std::size_t proxy, bool is_cut);
    /// Cuts or restores the network between a proxy and an instance.
    void cut(std::size_t proxy, const std::string& instance, bool is_cut);
    /// Writes an instance's entry as the instance would.
    void list(const std::string& id, bool draining);
    /// Restarts an instance under its id but without its log, and lists it.
    void restart_without_log(const std::string& id);
    void unlist(const std::string& id) { store.erase(store_collection::instances, id); }
    /// Writes a configuration version, with or without the "bounded" route.
    void configure(std::uint64_t version, bool with_bounded = true,
                   duration timeout = std::chrono::milliseconds(1000));

    simulated_clock clock;
    simulated_store store;
    standins::service_model service;
    std::mt19937_64 random{1};
    /// Calls of the promotion service, as lease holder and token.
    std::vector<std::pair<std::string, std::uint64_t>> promote_calls;
    /// Share of the answers of instances that arrive a second time, up to `repeat_delay` later.
    double repeated_answers = 0;
    duration repeat_delay = std::chrono::milliseconds(80);
    /// Number of next answers of the promotion service that are lost.
    int lost_promote_answers = 0;
    std::size_t opened_connections = 0;
    /// Commands that were longer than a message may be; an instance ends the connection of such a command.
    std::size_t oversized_commands = 0;
    /// Requests between proxies that were answered, by kind.
    std::map<relay_request_kind, std::size_t> relayed;
    std::vector<std::string> log_lines;
    /// Called for each message about a statement that is handed on; may change it, or return false to lose
    /// it.
    std::function<bool(std::size_t from, std::size_t to, std::string& message)> on_hand_on_message;
    /// Called for each answer to such a message; may change it.
    std::function<void(std::string& answer)> on_hand_on_answer;
    /// Such messages by receiver.
    std::map<std::size_t, std::size_t> messages_handed_on;
    /// Proxies whose answers to such messages are lost.
    std::set<std::size_t> mute_proxies;
    /// Outcome by which the last session was refused.
    statement_outcome last_refusal = statement_outcome::done;
    /// Teams that configure() writes, with their keys; nothing for a deployment without teams.
    std::optional<std::map<std::string, std::vector<std::string>>> teams;
    /// Databases whose routes need no key.
    std::set<std::string> public_databases;
    /// Time for which proxies that start use a key after it was taken away.
    duration key_lease{0};
    /// Gives proxies that start the address of proxy 1 as a seed.
    bool has_seed = false;
    /// Teams that instances were told, by the number of connections.
    std::map<std::string, std::size_t> told_teams;
    /// Runs of statements at instances, by their id: the team of the connection.
    std::map<std::string, std::string> run_for_team;

private:
    friend class simulated_link;
    struct host {
        std::unique_ptr<logger> log;
        std::unique_ptr<metrics> registry;
        std::unique_ptr<proxy> served;
        std::uint64_t incarnation = 0;
    };

    [[nodiscard]] proxy_ports make_ports(std::size_t proxy);
    template <typename answer_type>
    using peer_responder = std::function<void(const std::optional<answer_type>& answer, const error& reason)>;
    /// Request that reached a proxy. Its connection is lost when that proxy is killed.
    struct open_exchange {
        std::size_t to = 0;
        std::function<void()> fail;
    };

    template <typename answer_type>
    void
    exchange(std::size_t from, const endpoint& server, duration timeout,
             const std::function<void(const std::optional<answer_type>& answer, const error& reason)>& done,
             const std::function<void(std::size_t to, const peer_responder<answer_type>& respond)>& deliver);
    void hand_on(std::size_t from, const endpoint& server, const std::string& message, duration timeout,
                 const hand_on_handler& done);
    /// Carries a request from one proxy to another.
    void ask_proxy(std::size_t from, const endpoint& server, relay_request_kind kind,
                   const nlohmann::json& message, duration timeout, const relay_answer_handler& done);
    [[nodiscard]] bool is_cut(std::size_t proxy, const std::string& instance) const;

    std::vector<host> hosts_;
    std::size_t zones_;
    bool has_owners_;
    std::vector<open_exchange> open_exchanges_;
    std::set<std::pair<std::size_t, std::string>> cuts_;
    std::set<std::size_t> cut_proxies_;
    /// Draws the answers that are repeated, so that the other faults of a seed do not depend on them.
    std::mt19937_64 repeat_random_{1};
    std::map<std::string, std::int64_t> started_at_ms_;
    /// Number of entries that each instance has written since its start.
    std::map<std::string, std::int64_t> entry_numbers_;
};

} // namespace gentianhill
