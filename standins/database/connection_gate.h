#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/server.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace gentianhill::standins {

/// Whether a request came on a connection within the limit.
enum class gate_verdict : std::uint8_t { admitted, over_limit };

/// Enforces the connection limit of an instance and the cost of a new connection. A connection counts from
/// its first request until it closes; exempt requests (replication, control) do not make it count.
class connection_gate {
public:
    using handler = std::function<void(gate_verdict)>;

    /// At most `limit` connections; the first request of each waits for `connect_cost`.
    connection_gate(event_loop& loop, std::size_t limit, duration connect_cost)
        : loop_(loop), limit_(limit), connect_cost_(connect_cost) {}

    /// Passes a request on, in order of arrival within the connection.
    void enter(http2::connection_id id, handler proceed);
    /// The connection has gone.
    void leave(http2::connection_id id);

    [[nodiscard]] std::size_t limit() const { return limit_; }
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// Connections that count now.
    [[nodiscard]] std::size_t count() const { return counted_; }
    /// Largest count so far.
    [[nodiscard]] std::size_t max_seen() const { return max_seen_; }
    /// Connections that were over the limit.
    [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

private:
    struct entered_connection {
        gate_verdict verdict = gate_verdict::admitted;
        bool ready = false;
        std::deque<handler> waiting;
        timer ready_timer;
    };

    void open(http2::connection_id id);

    event_loop& loop_;
    std::size_t limit_;
    duration connect_cost_;
    std::map<http2::connection_id, entered_connection> connections_;
    std::size_t counted_ = 0;
    std::size_t max_seen_ = 0;
    std::uint64_t refusals_ = 0;
};

} // namespace gentianhill::standins
