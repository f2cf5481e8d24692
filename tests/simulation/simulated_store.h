#pragma once

#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
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
    struct change {
        std::uint64_t revision = 0;
        store_collection which = store_collection::instances;
        store_event event;
    };

public:
    explicit simulated_store(simulated_clock& clock) : clock_(clock) {}

    /// Returns the store operations as used from one host.
    [[nodiscard]] metadata_store make_port(const std::string& host);
    /// Writes an object unconditionally, as the operator or an instance does.
    void write(store_collection which, const std::string& name, const nlohmann::json& content);
    void erase(store_collection which, const std::string& name);
    /// Content of the store at one moment.
    struct copy;
    [[nodiscard]] std::shared_ptr<const copy> take_copy() const;
    /// Replaces the content by an earlier copy, whose revisions are given out again, and begins a new era.
    void restore(const copy& earlier);
    [[nodiscard]] std::optional<stored_object> find(store_collection which, const std::string& name) const;

    [[nodiscard]] std::uint64_t era() const { return era_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Leaves out the next `count` revisions.
    void skip_revisions(std::uint64_t count) { revision_ += count; }

    bool is_down = false;
    /// Hosts that are partitioned from the store.
    std::set<std::string> cut_hosts;
    /// Number of next puts that are applied but whose answers are lost.
    int lost_answers = 0;
    /// What lists that may be old are made from; the present state when there is none.
    std::shared_ptr<const copy> old_lists;
    /// Number of calls so far.
    std::uint64_t calls = 0;

private:
    void answer(const std::string& host, const metadata_store::handler& done, store_answer result);
    void unanswered(const std::string& host, const metadata_store::handler& done);
    [[nodiscard]] bool is_cut(const std::string& host) const { return is_down || cut_hosts.count(host) > 0; }
    /// Answers with the objects of a collection in the present state, or in an earlier one.
    void list(const std::string& host, store_collection which, const copy* earlier,
              const metadata_store::handler& done);
    store_answer put(store_collection which, const stored_object& object);
    void watch(const std::string& host, store_collection which, std::uint64_t revision, time_point until,
               const metadata_store::handler& done);
    [[nodiscard]] std::vector<store_event> events_after(store_collection which, std::uint64_t revision) const;

    simulated_clock& clock_;
    std::map<store_collection, std::map<std::string, stored_object>> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 0;
};

} // namespace gentianhill
