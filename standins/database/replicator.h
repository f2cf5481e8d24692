#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/client.h"
#include "standins/database/replicated_log.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace gentianhill::standins {

/// Pulls the log of a primary by /v1/replicate and hands over its entries after a lag. Entries that were
/// received but not yet handed over are dropped when it stops: they were never reported.
class replicator {
public:
    /// The loop must outlive the replicator; `instance` is the source named in requests.
    replicator(event_loop& loop, std::string instance) : loop_(loop), instance_(std::move(instance)) {}
    ~replicator() { stop(); }
    replicator(const replicator&) = delete;
    replicator& operator=(const replicator&) = delete;

    /// Returns the log of this instance.
    std::function<const replicated_log&()> log;
    /// Removes the entries after a position, which the primary does not have.
    std::function<void(std::uint64_t)> truncate;
    /// Applies the entry that follows the log.
    std::function<void(log_entry)> apply;
    /// Called when all entries up to the primary's last one at the first answer have been applied.
    std::function<void()> on_caught_up;

    /// Starts to pull under the term, after stopping what runs.
    void start(term_number term, const endpoint& primary);
    /// Stops pulling and drops entries that wait for the lag.
    void stop();
    /// Time between the arrival of an entry and its application; entries already received keep theirs.
    void set_lag(duration lag) { lag_ = lag; }
    /// While blocked nothing is sent and answers are ignored.
    void set_blocked(bool blocked) { blocked_ = blocked; }

private:
    struct pending_entry {
        log_entry entry;
        time_point due;
    };

    void pull();
    void pull_later();
    void receive(const http2::response& reply);
    [[nodiscard]] bool align(const log_position& at, bool is_match);
    void accept_entries(const nlohmann::json& entries);
    void apply_due();
    void check_caught_up();
    [[nodiscard]] log_position received() const;

    event_loop& loop_;
    std::string instance_;
    duration lag_{0};
    bool blocked_ = false;
    bool running_ = false;
    term_number term_ = 0;
    endpoint primary_;
    std::unique_ptr<http2::client> client_;
    timer retry_;
    timer apply_timer_;
    std::uint64_t next_request_ = 1;
    /// Increases with each start and stop; answers of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    /// Entry from which the next request asks.
    log_position asked_;
    bool aligned_ = false;
    bool target_known_ = false;
    log_position target_;
    std::deque<pending_entry> pending_;
};

} // namespace gentianhill::standins
