#pragma once

#include "gentianhill/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentianhill {

/// Instances that can run a statement. Statements of one lane wait for the same connections.
enum class statement_lane : std::uint8_t {
    /// Only the primary.
    primary,
    /// Any instance with a log that is long enough.
    any_instance,
};

constexpr std::size_t statement_lanes = 2;

/// A statement that waits for a connection.
struct queued_statement {
    /// Priority of its route; lower values are served first.
    std::int64_t priority = 0;
    /// Team of its client.
    std::string team;
    statement_lane lane = statement_lane::primary;
    /// Latest start with which it meets the target latency of its route.
    time_point target_start;
    /// Latest start with which it can be answered before its timeout.
    time_point last_start;
    /// Expected use of a connection, in ms.
    double cost_ms = 1.0;
};

/// What has become of a statement that was offered a connection.
enum class offer_result : std::uint8_t {
    /// It runs or has ended, and leaves the queue.
    left_queue,
    /// It waits for something else than a connection.
    waits,
    /// No connection is free for its lane.
    lane_is_full,
};

/// Limits of a statement queue.
struct statement_queue_settings {
    /// Statements that may wait. A few kilobytes each, so that the smallest host bears a full queue.
    std::size_t max_length = 2048;
    /// Late statements of a level are not expected to be served while others have been served before them for
    /// this time, and in this number, with nothing to spare. Longer than the gaps between two bursts of
    /// arrivals, and well below a timeout; a stall in which nothing is served does not count.
    duration spare_memory = std::chrono::milliseconds{300};
    std::size_t served_without_spare = 8;
};

/// Decides which waiting statement gets the next connection: by priority of the route, then those that can
/// still meet their target latency before those that can only meet their timeout, then weighted max-min fair
/// by team (start-time fair queueing), then by the time that is left. Work-conserving. A call takes
/// O(log length + teams) for each statement that it moves.
class statement_queue {
public:
    /// Identifier of a waiting statement; never reused.
    using entry_id = std::uint64_t;

    /// Outcome of push().
    struct push_result {
        /// The added statement; nothing when the queue is full of statements that are served before it.
        std::optional<entry_id> added;
        /// Statement that was removed to make room.
        std::optional<entry_id> displaced;
    };

    explicit statement_queue(const statement_queue_settings& settings = {}) : settings_(settings) {}

    /// Sets the weight (> 0) of a team; 1 for a team without one.
    void set_weight(const std::string& team, double weight) { weights_[team] = weight; }

    /// Adds a statement. A full queue drops its last statement if the new one is served before it.
    [[nodiscard]] push_result push(const queued_statement& statement, time_point now);
    /// Removes a statement; false if it does not wait.
    bool remove(entry_id id);
    /// Offers connections in the order of service until every lane is full. `offer_one` may call push() and
    /// remove().
    void offer(time_point now, const std::function<offer_result(entry_id id)>& offer_one);

    /// Number of waiting statements of its lane that are served before a new one.
    [[nodiscard]] std::size_t ahead_of(const queued_statement& statement, time_point now);
    /// Latest start with which a statement can be expected to be served: as long as those in time leave no
    /// connection to spare, it has to meet its target latency.
    [[nodiscard]] time_point servable_until(const queued_statement& statement, time_point now) const;
    /// Statements that `expected_wait` (lane, number of statements ahead) shows to start later than they can
    /// be served. The first of its lane is never among them, as it gets the next connection.
    [[nodiscard]] std::vector<entry_id>
    find_unservable(time_point now,
                    const std::function<duration(statement_lane lane, std::size_t ahead)>& expected_wait);

    /// Number of waiting statements.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// Number of waiting statements of a lane.
    [[nodiscard]] std::size_t size(statement_lane lane) const {
        return lane_sizes_.at(static_cast<std::size_t>(lane));
    }
    /// All waiting statements, in the order in which they were added.
    [[nodiscard]] std::vector<entry_id> ids() const;

private:
    enum class outlook : std::uint8_t { meets_target, late };
    static constexpr std::size_t outlooks = 2;

    struct entry {
        queued_statement statement;
        outlook expected = outlook::meets_target;
    };

    /// Ordered by the latest start that matters, then by arrival.
    using line = std::set<std::pair<time_point, entry_id>>;

    struct team_lines {
        /// By outlook and lane.
        std::array<std::array<line, statement_lanes>, outlooks> lines;
        /// Virtual start time of its next statement.
        double next_start = 0.0;

        [[nodiscard]] bool is_empty() const;
        [[nodiscard]] std::size_t length() const;
        [[nodiscard]] std::size_t length(outlook expected, statement_lane lane) const;
    };

    struct priority_level {
        std::map<std::string, team_lines> teams;
        double virtual_time = 0.0;
        /// By lane, time at which it last had a connection for a late statement or for one more.
        std::array<time_point, statement_lanes> spare_at{};
        /// By lane, statements that were served before its late ones since then.
        std::array<std::size_t, statement_lanes> served_before{};

        [[nodiscard]] bool is_empty(statement_lane lane) const;
    };

    using lane_flags = std::array<bool, statement_lanes>;

    void insert(entry_id id, const entry& added);
    void erase(entry_id id, const entry& removed);
    /// Moves the statements that can no longer meet their target latency behind those that can.
    void update_outlooks(time_point now);
    [[nodiscard]] std::optional<entry_id> next(const lane_flags& is_full) const;
    /// The one that is served last, of the team with the longest line.
    [[nodiscard]] std::optional<entry_id> last() const;
    /// True if a new statement is served before the last one, by priority or as its team waits with fewer.
    [[nodiscard]] bool is_served_before(const queued_statement& added, const queued_statement& last) const;
    void charge(const queued_statement& served);
    /// Records that a statement has got a connection.
    void record_service(const entry& served, time_point now);
    /// Records that all levels have connections to spare in the lanes that are not full.
    void record_spare(const lane_flags& is_full, time_point now);
    [[nodiscard]] double weight_of(const std::string& team) const;
    /// Statements of one level and outlook that are served before number `index` of a team.
    [[nodiscard]] std::size_t ahead_within(const priority_level& level, const std::string& team,
                                           outlook expected, statement_lane lane, std::size_t index) const;

    statement_queue_settings settings_;
    std::map<std::int64_t, priority_level> levels_;
    std::unordered_map<entry_id, entry> entries_;
    std::array<std::size_t, statement_lanes> lane_sizes_{};
    std::map<std::string, double> weights_;
    entry_id next_id_ = 1;
};

} // namespace gentianhill
