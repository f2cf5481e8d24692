#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Limits on the connections from this daemon to one instance.
struct connection_pool_settings {
    /// Maximum number of connections to the instance, excluding the control connection.
    std::size_t limit = 8;
    /// Maximum number of connections being opened concurrently.
    std::size_t max_opening = 2;
    /// Number of idle connections that are opened ahead of demand and kept open.
    std::size_t min_idle = 1;
    /// Idle time after which connections above `min_idle` are closed.
    duration idle_limit = std::chrono::seconds{60};
    /// Time for which a closed connection still counts towards `limit`, because the instance notices the
    /// close later. Also applies to a failed connection attempt, because the instance may have accepted it.
    duration close_grace = std::chrono::milliseconds{50};
    /// Pause after the first failed connection attempt; doubles with each consecutive failure.
    duration backoff_initial = std::chrono::milliseconds{50};
    /// Upper bound of the pause between failed connection attempts.
    duration backoff_max = std::chrono::seconds{2};
};

/// Lifecycle state of a connection.
enum class connection_state : std::uint8_t { opening, idle, busy, pinned, closing };

/// Returns the name of a connection state as used in logs and metrics.
[[nodiscard]] std::string_view to_string(connection_state state);

/// Number of connections in each state.
struct connection_counts {
    std::size_t opening = 0;
    std::size_t idle = 0;
    std::size_t busy = 0;
    std::size_t pinned = 0;
    std::size_t closing = 0;
    /// Closed connections and failed attempts that still count towards the limit; see
    /// connection_pool_settings::close_grace.
    std::size_t in_grace_period = 0;

    /// Returns the number of connections that count towards the limit.
    [[nodiscard]] std::size_t total() const {
        return opening + idle + busy + pinned + closing + in_grace_period;
    }
};

/// Tracks the states of the connections from one daemon to one instance. Performs no I/O: the caller opens
/// and closes the connections and reports the results. A call for a connection that is unknown or not in the
/// required state returns false and changes nothing.
class connection_pool {
public:
    /// Identifier of a connection; never reused.
    using connection_id = std::uint64_t;

    explicit connection_pool(const connection_pool_settings& settings);

    /// Returns the most recently used idle connection, for one request/response exchange or transaction.
    /// Errors: leaving (the pool is draining), no_free_slot (none is idle, but more may be opened),
    /// connection_limit.
    [[nodiscard]] std::optional<connection_id> acquire(error& reason);
    /// Records that a request was sent on the connection.
    bool begin_exchange(connection_id id);
    /// Records that the complete response arrived; `matched` is true when it carried the id of the request.
    bool end_exchange(connection_id id, bool matched);
    /// Pins the connection to a transaction.
    bool pin(connection_id id);
    /// Unpins the connection after the instance has committed or rolled back the transaction.
    bool unpin(connection_id id);
    /// Returns a connection to the pool. True when it is idle again. False when the caller must close it: it
    /// is not usable, its exchange is unfinished or mismatched, a transaction is open, the pool is draining,
    /// or the limit is exceeded.
    bool release(connection_id id, bool usable, time_point now);

    /// Registers a connection that the caller must open, if the number of waiting requests calls for one.
    /// Returns nullopt when none is needed or when the limit, `max_opening`, the backoff or draining prevents
    /// it.
    [[nodiscard]] std::optional<connection_id> try_begin_open(std::size_t waiting, time_point now);
    /// Earliest time of the next connection attempt after failures.
    [[nodiscard]] time_point open_not_before() const { return open_not_before_; }
    /// Records that the connection was opened; it becomes idle. Returns false when the caller must close it,
    /// because the pool is draining or the limit is exceeded.
    bool mark_opened(connection_id id, time_point now);
    /// Records that the connection attempt failed. `jitter` in [0, 1) spreads the retries of several daemons
    /// over time.
    bool mark_open_failed(connection_id id, time_point now, double jitter);
    /// Returns an idle connection that the caller must close, because the pool is draining, the limit is
    /// exceeded, or the connection has been idle too long; nullopt when there is none.
    [[nodiscard]] std::optional<connection_id> try_begin_close(time_point now);
    /// Records that either side closed the connection; allowed in every state.
    bool mark_closed(connection_id id, time_point now);

    /// Changes the limit; try_begin_close() then returns idle connections above it.
    void set_limit(std::size_t limit);
    /// Starts draining: no connection is acquired or opened any more, and try_begin_close() returns all idle
    /// ones.
    void drain();
    /// Ends draining.
    void resume();
    [[nodiscard]] bool is_draining() const { return draining_; }
    /// Returns the state of a connection; nullopt after it was closed.
    [[nodiscard]] std::optional<connection_state> state_of(connection_id id) const;
    /// Returns the number of connections in each state at `now`.
    [[nodiscard]] connection_counts counts(time_point now);

private:
    struct slot {
        connection_id id = 0;
        connection_state state = connection_state::closing;
        bool in_use = false;
        bool exchange_in_progress = false;
        /// A response did not match its request, so later responses can't be trusted either.
        bool desynchronized = false;
        time_point idle_since;
    };

    [[nodiscard]] slot* find(connection_id id);
    [[nodiscard]] std::size_t& count_of(connection_state state);
    void change_state(slot& changed, connection_state state);
    /// Stops counting closed connections whose grace period has ended.
    void remove_expired_grace_periods(time_point now);
    void start_grace_period(time_point now);
    void free_slot(slot& freed);
    void make_idle(slot& target, time_point now);

    connection_pool_settings settings_;
    std::vector<slot> slots_;
    std::vector<std::uint32_t> free_slots_;
    /// Slot indices of idle connections, the most recently used last.
    std::vector<std::uint32_t> idle_;
    /// Times at which closed connections stop counting towards the limit, ascending.
    std::vector<time_point> grace_period_ends_;
    connection_counts counts_;
    std::uint32_t next_sequence_ = 1;
    std::uint32_t consecutive_open_failures_ = 0;
    time_point open_not_before_;
    bool draining_ = false;
};

} // namespace gentianhill
