#pragma once

#include "gentianhill/proxy/proxy.h"
#include "standins/replicated_service/service_model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Simulated clock and event queue of a deployment.
class simulated_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    /// Schedules an action. Actions of a frozen host are deferred until it wakes.
    void call_after(duration delay, const std::string& host, std::function<void()> action);
    void run_for(duration length);
    void freeze(const std::string& host) { frozen_.insert(host); }
    void wake(const std::string& host) { frozen_.erase(host); }
    [[nodiscard]] bool is_frozen(const std::string& host) const { return frozen_.count(host) > 0; }

private:
    struct entry {
        time_point at;
        std::uint64_t order = 0;
        std::string host;
        std::function<void()> action;
    };
    struct later {
        bool operator()(const entry& a, const entry& b) const {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    std::priority_queue<entry, std::vector<entry>, later> queue_;
    std::set<std::string> frozen_;
    time_point now_{std::chrono::seconds(100)};
    std::uint64_t last_order_ = 0;
};

/// In-memory metadata store with conditional writes, lists, watches, outages and lost answers.
class simulated_store {
public:
    explicit simulated_store(simulated_clock& clock) : clock_(clock) {}

    /// Returns the store operations as used from one host.
    [[nodiscard]] metadata_store make_port(const std::string& host);
    /// Writes an object unconditionally, as the operator or an instance does.
    void write(store_collection which, const std::string& name, const nlohmann::json& content);
    void erase(store_collection which, const std::string& name);
    [[nodiscard]] std::optional<stored_object> find(store_collection which, const std::string& name) const;

    bool is_down = false;
    /// Hosts that are partitioned from the store.
    std::set<std::string> cut_hosts;
    /// Number of next puts that are applied but whose answers are lost.
    int lost_answers = 0;
    /// Number of calls so far.
    std::uint64_t calls = 0;

private:
    struct change {
        std::uint64_t revision = 0;
        store_collection which = store_collection::instances;
        store_event event;
    };

    void answer(const std::string& host, const metadata_store::handler& done, store_answer result);
    void unanswered(const std::string& host, const metadata_store::handler& done);
    [[nodiscard]] bool is_cut(const std::string& host) const { return is_down || cut_hosts.count(host) > 0; }
    store_answer put(store_collection which, const stored_object& object);
    void watch(const std::string& host, store_collection which, std::uint64_t revision, time_point until,
               const metadata_store::handler& done);
    [[nodiscard]] std::vector<store_event> events_after(store_collection which, std::uint64_t revision) const;

    simulated_clock& clock_;
    std::map<store_collection, std::map<std::string, stored_object>> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
};

/// A client with one session, which records its results.
class simulated_client {
public:
    simulated_client(std::unique_ptr<client_session> session, simulated_clock& clock);

    /// Called when a statement has succeeded.
    std::function<void(const std::string& id)> on_done;

    /// Sends a statement under a generated id, which it returns.
    std::string send(const std::string& text);
    std::string execute(const std::string& name, const std::string& argument);
    void prepare(const std::string& name, const std::string& shape, bool writes);
    void set(const std::string& name, const std::string& value);
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
    explicit simulated_deployment(std::size_t proxies = 2);
    ~simulated_deployment();

    /// Connects a client to a proxy with the database "latest", "bounded" or "own", named after its
    /// consistency level.
    [[nodiscard]] std::unique_ptr<simulated_client> connect(std::size_t proxy, const std::string& database);
    void run_for(duration length);
    /// Destroys a proxy without a graceful shutdown.
    void kill(std::size_t proxy);
    /// Starts a proxy under its host name and a new incarnation.
    void start(std::size_t proxy);
    [[nodiscard]] bool runs(std::size_t proxy) const { return hosts_[proxy].served != nullptr; }
    [[nodiscard]] proxy& at(std::size_t proxy) { return *hosts_[proxy].served; }
    [[nodiscard]] static std::string host_name(std::size_t proxy) { return "proxy-" + std::to_string(proxy); }
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
    /// Number of next answers of the promotion service that are lost.
    int lost_promote_answers = 0;
    std::size_t opened_connections = 0;
    std::vector<std::string> log_lines;

private:
    friend class simulated_link;
    struct host {
        std::unique_ptr<logger> log;
        std::unique_ptr<metrics> registry;
        std::unique_ptr<proxy> served;
        std::uint64_t incarnation = 0;
    };

    [[nodiscard]] proxy_ports make_ports(std::size_t proxy);
    [[nodiscard]] bool is_cut(std::size_t proxy, const std::string& instance) const;

    std::vector<host> hosts_;
    std::set<std::pair<std::size_t, std::string>> cuts_;
    std::map<std::string, std::int64_t> started_at_ms_;
};

} // namespace gentianhill
