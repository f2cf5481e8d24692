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

/// Time and order of everything in a simulated deployment.
class simulated_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    /// Calls an action later. A frozen host's actions wait until it wakes.
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

/// Metadata store in memory: conditional writes, lists, watches, outages and lost answers.
class simulated_store {
public:
    explicit simulated_store(simulated_clock& clock) : clock_(clock) {}

    /// Port of one host.
    [[nodiscard]] metadata_store make_port(const std::string& host);
    /// Writes an object as the operator or an instance does.
    void write(store_collection which, const std::string& name, const nlohmann::json& content);
    void erase(store_collection which, const std::string& name);
    [[nodiscard]] std::optional<stored_object> find(store_collection which, const std::string& name) const;

    bool is_down = false;
    /// Hosts that get no answer.
    std::set<std::string> cut_hosts;
    /// The next puts are done, but their answers are lost.
    int lost_answers = 0;
    /// Calls so far.
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

/// A client with one session; keeps its answers.
class simulated_client {
public:
    simulated_client(std::unique_ptr<client_session> session, simulated_clock& clock);

    /// A statement was answered as done.
    std::function<void(const std::string& id)> on_done;

    /// Sends a statement; the id is made up and returned.
    std::string send(const std::string& text);
    std::string execute(const std::string& name, const std::string& argument);
    void prepare(const std::string& name, const std::string& shape, bool writes);
    void set(const std::string& name, const std::string& value);
    /// Result of a statement; null while there is none.
    [[nodiscard]] const statement_result* result(const std::string& id) const;
    /// Outcome of a statement; asserts that there is a result.
    [[nodiscard]] statement_outcome outcome(const std::string& id) const;
    [[nodiscard]] client_session& session() { return *session_; }
    /// The client leaves.
    void leave() { session_.reset(); }
    [[nodiscard]] bool has_left() const { return session_ == nullptr; }
    /// Statements without an answer.
    [[nodiscard]] std::size_t unanswered() const { return sent_.size() - results_.size(); }

private:
    std::string submit(statement next);

    std::unique_ptr<client_session> session_;
    simulated_clock& clock_;
    std::vector<std::string> sent_;
    std::vector<std::string> order_;
    std::map<std::string, statement_result> results_;
};

/// Proxies, one database group of three instances, a store and the promotion service, all in simulated time.
class simulated_deployment {
public:
    explicit simulated_deployment(std::size_t proxies = 2);
    ~simulated_deployment();

    /// A client of a proxy on a database: "latest", "bounded" or "own".
    [[nodiscard]] std::unique_ptr<simulated_client> connect(std::size_t proxy, const std::string& database);
    void run_for(duration length);
    /// Ends a proxy at once, as a kill does.
    void kill(std::size_t proxy);
    /// Starts a proxy again under its name.
    void start(std::size_t proxy);
    [[nodiscard]] bool runs(std::size_t proxy) const { return hosts_[proxy].served != nullptr; }
    [[nodiscard]] proxy& at(std::size_t proxy) { return *hosts_[proxy].served; }
    [[nodiscard]] static std::string host_name(std::size_t proxy) { return "proxy-" + std::to_string(proxy); }
    /// Cuts or heals the way between a proxy and an instance.
    void cut(std::size_t proxy, const std::string& instance, bool is_cut);
    /// Writes an instance's entry as the instance would.
    void list(const std::string& id, bool draining);
    /// Starts an instance again under its id, without its log, and lists it.
    void rebirth(const std::string& id);
    void unlist(const std::string& id) { store.erase(store_collection::instances, id); }
    /// Writes the configuration with a version.
    void configure(std::uint64_t version, bool with_bounded = true);

    simulated_clock clock;
    simulated_store store;
    standins::service_model service;
    std::mt19937_64 random{1};
    /// Times at which the promotion service was called, with the tokens.
    std::vector<std::pair<std::string, std::uint64_t>> promote_calls;
    /// Answers of the promotion service that are lost.
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
