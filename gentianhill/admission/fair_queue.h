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

/// Limits and rate estimation parameters of a fair queue.
struct fair_queue_settings {
    /// Maximum number of queued requests in total; memory for them is allocated up front.
    std::size_t max_length = 4096;
    /// Maximum number of queued requests per team.
    std::size_t max_team_length = 1024;
    /// Time before the deadline that is reserved for execution, at most half of the time left at push.
    /// Without it an overloaded queue would dequeue requests just before their deadline, and the responses
    /// would be too late.
    duration execution_reserve = std::chrono::milliseconds{20};
    /// Service rate assumed until one has been observed, in cost per second.
    double initial_service_rate = 1000.0;
    /// Lower bound of the estimated service rate, in cost per second. Without it a stalled resource would
    /// leave an estimate near 0, and requests would still be refused after it has recovered.
    double min_service_rate = 20.0;
    /// Length of the window over which one sample of the service rate is measured.
    duration rate_window = std::chrono::milliseconds{20};
    /// Exponential smoothing factor of the service rate, above 0 and at most 1.
    double rate_smoothing = 0.2;
};

/// Statistics of one team, for operators.
struct team_queue_stats {
    /// Name of the team.
    std::string team;
    /// Weight that determines its share of the resource.
    double weight = 1.0;
    /// Requests queued now.
    std::size_t queued = 0;
    /// Requests dequeued by pop().
    std::uint64_t served = 0;
    /// Total cost of the requests dequeued by pop().
    double served_cost = 0.0;
    /// Requests refused by push().
    std::uint64_t refused = 0;
    /// Requests dropped because too little time was left before their deadline.
    std::uint64_t expired = 0;
};

/// Request queue for a resource that several teams share. Weighted max-min fair by start-time fair queueing
/// (SFQ), work-conserving, bounded in length, and refuses requests that can't meet their deadline. Calls take
/// O(log teams) unless stated otherwise.
class fair_queue {
public:
    /// Identifier of a queued request; never reused.
    using entry_id = std::uint64_t;

    explicit fair_queue(const fair_queue_settings& settings);

    /// Adds a team or changes its weight (> 0). A new weight applies from its next request on.
    void set_team(std::string_view team, double weight);
    /// Removes a team. Returns false if it has queued requests or is unknown.
    bool remove_team(std::string_view team);

    /// Appends a request of `cost` (> 0) to the team's queue.
    /// Errors: unknown_team, queue_full, deadline_exceeded (the expected wait leaves too little time before
    /// the deadline).
    [[nodiscard]] std::optional<entry_id> push(std::string_view team, time_point deadline, double cost,
                                               time_point now, error& reason);
    /// Dequeues the next request. Requests found on the way with too little time left before their deadline
    /// are dropped and appended to `expired`.
    [[nodiscard]] std::optional<entry_id> pop(time_point now, std::vector<entry_id>& expired);
    /// Removes a queued request, for example when its caller has disconnected. Returns false if it is not
    /// queued.
    bool remove(entry_id id);
    /// Drops all requests with too little time left before their deadline and appends them to `expired`.
    /// Takes O(max_length); meant to be called periodically.
    void expire(time_point now, std::vector<entry_id>& expired);

    /// Returns the expected wait of a new request of the team.
    [[nodiscard]] duration expected_wait(std::string_view team) const;
    /// Returns the number of queued requests.
    [[nodiscard]] std::size_t size() const { return size_; }
    /// Returns the estimated service rate, in cost per second; updated only while requests are queued.
    [[nodiscard]] double service_rate() const { return service_rate_; }
    /// Returns the statistics of all teams, ordered by name.
    [[nodiscard]] std::vector<team_queue_stats> team_stats() const;

private:
    static constexpr std::uint32_t null_index = UINT32_MAX;

    struct entry {
        entry_id id = 0;
        /// Latest time at which the request may be dequeued.
        time_point start_by;
        double cost = 0.0;
        std::uint32_t team = null_index;
        std::uint32_t previous = null_index;
        std::uint32_t next = null_index;
    };

    struct team_state {
        team_queue_stats stats;
        double queued_cost = 0.0;
        /// Virtual start time of the next request of the team.
        double next_start = 0.0;
        std::uint32_t head = null_index;
        std::uint32_t tail = null_index;
        bool in_heap = false;
        bool in_use = true;
    };

    struct heap_entry {
        double start = 0.0;
        std::uint32_t team = null_index;
    };

    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    [[nodiscard]] duration expected_wait(const team_state& team) const;
    [[nodiscard]] std::uint32_t find_team(std::string_view team) const;
    void activate(std::uint32_t team);
    void unlink(std::uint32_t slot);
    void update_service_rate(double cost, time_point now);
    static bool has_later_start(const heap_entry& left, const heap_entry& right);

    fair_queue_settings settings_;
    std::vector<entry> entries_;
    std::vector<std::uint32_t> free_entries_;
    std::vector<team_state> teams_;
    std::unordered_map<std::string, std::uint32_t, string_hash, std::equal_to<>> team_index_;
    std::vector<heap_entry> heap_;
    std::size_t size_ = 0;
    double queued_cost_ = 0.0;
    /// Sum of the weights of the teams with queued requests.
    double active_weight_ = 0.0;
    double virtual_time_ = 0.0;
    std::uint32_t next_sequence_ = 1;
    double service_rate_;
    bool rate_window_open_ = false;
    time_point rate_window_start_;
    double rate_window_cost_ = 0.0;
};

} // namespace gentianhill
