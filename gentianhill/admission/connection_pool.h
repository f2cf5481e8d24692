#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Limits of the connections of this daemon to one instance.
struct connection_pool_settings {
    /// Most connections of this daemon to the instance, its control connection not included.
    std::size_t limit = 8;
    /// Most connections that are being opened at once.
    std::size_t max_opening = 2;
    /// Idle connections that are kept open, and opened without demand.
    std::size_t min_idle = 1;
    /// Idle connections above `min_idle` are closed after this time.
    duration idle_limit = std::chrono::seconds{60};
    /// A closed connection still counts for this time, because the instance notices the close later; so does
    /// one whose opening failed, because the instance may have accepted it.
    duration close_grace = std::chrono::milliseconds{50};
    /// Pause after the first failed opening; doubles with each further one.
    duration backoff_initial = std::chrono::milliseconds{50};
    /// Longest pause after failed openings.
    duration backoff_max = std::chrono::seconds{2};
};

/// Where a connection is in its life.
enum class connection_state : std::uint8_t { opening, idle, busy, pinned, closing };

/// Name of a connection state as it appears in logs and metrics.
[[nodiscard]] std::string_view to_string(connection_state state);

/// Numbers of connections by state.
struct connection_counts {
    std::size_t opening = 0;
    std::size_t idle = 0;
    std::size_t busy = 0;
    std::size_t pinned = 0;
    std::size_t closing = 0;
    /// Closed connections that the instance may not have noticed yet.
    std::size_t in_grace = 0;

    /// Connections that count towards the limit.
    [[nodiscard]] std::size_t total() const { return opening + idle + busy + pinned + closing + in_grace; }
};

/// Bookkeeping of the connections of one daemon to one instance; opens and closes nothing itself.
/// Calls with an id that is not in the required state are refused with false and change nothing.
class connection_pool {
public:
    /// Identity of a connection; never used twice.
    using connection_id = std::uint64_t;

    explicit connection_pool(const connection_pool_settings& settings);

    /// Hands out the most recently used idle connection for one exchange or transaction.
    /// Errors: leaving (drained), no_free_slot (none idle, more may be opened), connection_limit.
    [[nodiscard]] std::optional<connection_id> acquire(error& reason);
    /// A request was sent on the connection.
    bool begin_exchange(connection_id id);
    /// Its complete answer arrived; `matched` tells whether the answer carried the id of the request.
    bool end_exchange(connection_id id, bool matched);
    /// Keeps the connection for a transaction.
    bool pin(connection_id id);
    /// The transaction was committed or rolled back by the instance.
    bool unpin(connection_id id);
    /// Gives a connection back. True when it is idle again. False when it must be closed by the caller: it is
    /// not usable, its exchange is unfinished or mismatched, a transaction is open, or the pool is drained.
    bool release(connection_id id, bool usable, time_point now);

    /// Asks for a connection to open, given the number of requests that wait for one.
    /// Nothing when none is needed, or the limit, `max_opening` or the backoff forbids it.
    [[nodiscard]] std::optional<connection_id> try_begin_open(std::size_t waiting, time_point now);
    /// Moment before which no opening starts after failures.
    [[nodiscard]] time_point open_not_before() const { return open_not_before_; }
    /// The opening succeeded; the connection is idle. False when it must be closed: the pool is drained.
    bool mark_opened(connection_id id, time_point now);
    /// The opening failed. `jitter` in [0, 1) spreads the next attempts of several daemons.
    bool mark_open_failed(connection_id id, time_point now, double jitter);
    /// Asks for an idle connection to close: drained, above a lowered limit, or idle for too long.
    [[nodiscard]] std::optional<connection_id> try_begin_close(time_point now);
    /// The connection has been closed, by either side, in whatever state it was.
    bool mark_closed(connection_id id, time_point now);

    /// Changes the limit; idle connections above it are returned by try_begin_close().
    void set_limit(std::size_t limit);
    /// Stops new work: nothing is handed out or opened, and idle connections are offered for closing.
    void drain();
    /// Ends the drain mode.
    void resume();
    [[nodiscard]] bool is_draining() const { return draining_; }
    /// State of a connection; nothing when it is gone.
    [[nodiscard]] std::optional<connection_state> state_of(connection_id id) const;
    /// Numbers of connections by state at `now`.
    [[nodiscard]] connection_counts counts(time_point now);

private:
    struct slot {
        connection_id id = 0;
        connection_state state = connection_state::closing;
        bool in_use = false;
        bool exchange_open = false;
        bool spoiled = false;
        time_point idle_since;
    };

    [[nodiscard]] slot* find(connection_id id);
    [[nodiscard]] std::size_t& count_of(connection_state state);
    void change_state(slot& changed, connection_state state);
    void forget_grace(time_point now);
    void start_grace(time_point now);
    void free_slot(slot& freed);
    void become_idle(slot& target, time_point now);

    connection_pool_settings settings_;
    std::vector<slot> slots_;
    std::vector<std::uint32_t> free_slots_;
    /// Slots of idle connections, the most recently used last.
    std::vector<std::uint32_t> idle_;
    /// Ends of the grace times of closed connections, ascending.
    std::vector<time_point> grace_ends_;
    connection_counts counts_;
    std::uint32_t next_sequence_ = 1;
    std::uint32_t failures_ = 0;
    time_point open_not_before_;
    bool draining_ = false;
};

} // namespace gentianhill
