#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentianhill {

/// Bounds of a fair queue.
struct fair_queue_settings {
    /// Most requests that wait in total; memory for them is taken once.
    std::size_t max_length = 4096;
    /// Most requests of one team that wait.
    std::size_t max_team_length = 1024;
    /// Part of the deadline that is kept for the execution, at most half of the time left at push. Without it
    /// an overloaded queue hands out requests just before their deadline, and their answers come too late.
    duration execution_reserve = std::chrono::milliseconds{20};
    /// Assumed service rate, in cost per second, until one has been observed.
    double initial_service_rate = 1000.0;
    /// Lowest estimate of the service rate. A resource that stood still for a while would otherwise leave an
    /// estimate near 0, and requests would be refused after it has recovered.
    double min_service_rate = 20.0;
    /// Time over which served cost is counted before it becomes one observation of the service rate.
    duration rate_window = std::chrono::milliseconds{20};
    /// Weight of a new observation of the service rate, above 0 and at most 1.
    double rate_smoothing = 0.2;
};

/// Share of one team, for the operators' view.
struct team_queue_stats {
    /// Name of the team.
    std::string team;
    /// Weight; shares are in proportion to it.
    double weight = 1.0;
    /// Requests that wait now.
    std::size_t queued = 0;
    /// Requests handed out.
    std::uint64_t served = 0;
    /// Cost handed out.
    double served_cost = 0.0;
    /// Requests refused at push.
    std::uint64_t refused = 0;
    /// Requests that waited until too little time was left for them.
    std::uint64_t expired = 0;
};

/// Queue in front of one scarce resource, shared by teams: weighted max-min fair by start-time fair queueing,
/// work-conserving, bounded in length and by the deadlines. Each call takes O(log teams) unless stated.
class fair_queue {
public:
    /// Identity of a waiting request; never used twice.
    using entry_id = std::uint64_t;

    explicit fair_queue(const fair_queue_settings& settings);

    /// Adds a team or changes its weight (> 0); takes effect for its next request.
    void set_team(std::string_view team, double weight);
    /// Removes a team once it has no waiting requests. Returns false while it has some, or is not known.
    bool remove_team(std::string_view team);

    /// Puts a request of `cost` (> 0) into the team's queue.
    /// Errors: unknown_team, queue_full, deadline_exceeded when the expected wait ends too late for the
    /// deadline.
    [[nodiscard]] std::optional<entry_id> push(std::string_view team, time_point deadline, double cost,
                                               time_point now, error& reason);
    /// Hands out the next request. Requests met on the way whose deadline has passed are appended to
    /// `expired`.
    [[nodiscard]] std::optional<entry_id> pop(time_point now, std::vector<entry_id>& expired);
    /// Takes out a waiting request, such as one whose caller has gone. Returns false if it does not wait.
    bool remove(entry_id id);
    /// Takes out all requests that can't meet their deadline; O(waiting requests), for a periodic call.
    void expire(time_point now, std::vector<entry_id>& expired);

    /// Expected wait of a new request of the team.
    [[nodiscard]] duration expected_wait(std::string_view team) const;
    /// Requests that wait.
    [[nodiscard]] std::size_t size() const { return size_; }
    /// Observed service rate while requests wait, in cost per second.
    [[nodiscard]] double service_rate() const { return service_rate_; }
    /// Shares of all teams, ordered by name.
    [[nodiscard]] std::vector<team_queue_stats> team_stats() const;

private:
    static constexpr std::uint32_t none = UINT32_MAX;

    struct entry {
        entry_id id = 0;
        /// Latest time at which it may be handed out.
        time_point start_by;
        double cost = 0.0;
        std::uint32_t team = none;
        std::uint32_t previous = none;
        std::uint32_t next = none;
    };

    struct team_state {
        team_queue_stats share;
        double queued_cost = 0.0;
        /// Virtual time at which the next request of the team starts.
        double next_start = 0.0;
        std::uint32_t head = none;
        std::uint32_t tail = none;
        bool in_heap = false;
        bool in_use = true;
    };

    struct heap_entry {
        double start = 0.0;
        std::uint32_t team = none;
    };

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    [[nodiscard]] duration expected_wait(const team_state& team) const;
    [[nodiscard]] std::uint32_t find_team(std::string_view team) const;
    void activate(std::uint32_t team);
    void unlink(std::uint32_t slot);
    void count_served(double cost, time_point now);
    static bool starts_later(const heap_entry& left, const heap_entry& right);

    fair_queue_settings settings_;
    std::vector<entry> entries_;
    std::vector<std::uint32_t> free_entries_;
    std::vector<team_state> teams_;
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>> team_index_;
    std::vector<heap_entry> heap_;
    std::size_t size_ = 0;
    double queued_cost_ = 0.0;
    /// Sum of the weights of the teams that wait.
    double active_weight_ = 0.0;
    double virtual_time_ = 0.0;
    std::uint32_t next_sequence_ = 1;
    double service_rate_;
    bool window_open_ = false;
    time_point window_start_;
    double window_cost_ = 0.0;
};

} // namespace gentianhill
