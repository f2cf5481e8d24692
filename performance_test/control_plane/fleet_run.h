#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/peer/peer_network.h"
#include "performance_test/control_plane/bench_settings.h"

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace gentianhill::control_bench {

/// Result of one run, per daemon.
struct run_result {
    std::size_t daemons = 0;
    /// Bytes sent plus received, and the greatest of all daemons, per second.
    double bytes_per_second = 0;
    double max_bytes_per_second = 0;
    /// Requests sent per second.
    double messages_per_second = 0;
    /// Share of one core, in percent.
    double cpu_percent = 0;
    /// Neighbours, on average.
    double neighbours = 0;
    /// Resident memory added by each daemon, in KiB.
    double memory_kib = 0;
    /// Daemons that watch the platform, in all zones.
    std::size_t watchers = 0;
    /// Tickets that did not reach every daemon by the end of the run.
    std::size_t tickets_missing = 0;
    /// Longest time from the creation of a ticket to its arrival at a daemon, in milliseconds.
    double ticket_ms_max = 0;
};

/// A fleet of real peer networks on loopback in one process and on one event loop.
class fleet_run {
public:
    fleet_run(const bench_settings& settings, std::size_t daemons);
    fleet_run(const fleet_run&) = delete;
    fleet_run& operator=(const fleet_run&) = delete;

    /// Warms up, measures and returns the result. Errors: bind_failed.
    [[nodiscard]] std::optional<run_result> measure(error& reason);

private:
    struct daemon {
        std::set<std::uint64_t> tickets;
        std::uint64_t highest_ticket = 0;
        std::uint64_t groups_digest = 0;
        bool pulling = false;
        std::unique_ptr<peer_network> network;
    };

    [[nodiscard]] bool start(error& reason);
    [[nodiscard]] peer_handlers handlers_of(daemon& owner);
    void take(daemon& owner, const nlohmann::json& ticket);
    void catch_up(daemon& owner, const std::string& source);
    void create_ticket();
    void change_primary();
    void repeat(double per_second, const std::function<void()>& action);

    bench_settings settings_;
    event_loop loop_;
    std::mt19937_64 engine_{1};
    std::vector<daemon> daemons_;
    std::vector<time_point> created_at_;
    std::string padding_;
    std::uint64_t next_change_ = 1;
    double ticket_ms_max_ = 0;
    bool creating_ = true;
};

} // namespace gentianhill::control_bench
