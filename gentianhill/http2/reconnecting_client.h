#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/http2/client.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace gentianhill::http2 {

/// Limits of a client that reconnects.
struct reconnecting_client_settings {
    /// Server and limits of each connection.
    client_settings connection;
    /// Delays between failed connections.
    backoff_settings reconnect;
    /// Requests that may be open at once; further ones fail with request_refused.
    std::size_t max_open_requests = 64;
    /// Requests in a row that time out, without a byte received in between, before the connection is
    /// replaced. A connection through a partition stays established for minutes, so that silence is the only
    /// sign.
    unsigned silent_timeouts = 2;
};

/// Counters of a client since its start.
struct client_counters {
    /// Requests handed to a connection.
    std::uint64_t calls = 0;
    /// Requests that got no answer.
    std::uint64_t failures = 0;
    /// Connections started.
    std::uint64_t connections = 0;
    /// Bytes received and sent, without TCP and IP headers.
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_sent = 0;
};

/// HTTP/2 client that replaces a lost connection on the next request, at most once per backoff delay.
class reconnecting_client {
public:
    using result_handler = client::result_handler;

    /// The loop must outlive the client; `random` returns uniform values in [0, 1).
    reconnecting_client(event_loop& loop, const reconnecting_client_settings& settings,
                        std::function<double()> random);
    /// Open requests get no result.
    ~reconnecting_client();
    reconnecting_client(const reconnecting_client&) = delete;
    reconnecting_client& operator=(const reconnecting_client&) = delete;

    /// Sends a request. The handler is called at most once, never from within send(); never after
    /// destruction. Errors: those of client::send; connect_failed during a backoff delay and queue_full (both
    /// not processed).
    void send(request message, duration timeout, result_handler on_result);
    /// Replaces the connection on the next request; open requests fail.
    void disconnect();
    /// True while a connection is established.
    [[nodiscard]] bool is_connected() const;
    /// True during a backoff delay: a request would fail without being sent.
    [[nodiscard]] bool is_backing_off(time_point now) const;
    /// Requests without an answer yet.
    [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
    /// Counters since the start.
    [[nodiscard]] client_counters counters() const;

private:
    void ensure_connection();
    void retire_connection();
    void release_retired();
    void connection_failed();
    void finished(std::uint64_t bytes_before, const std::weak_ptr<client>& used, const error& reason);
    void fail_later(const error& reason, result_handler on_result);

    event_loop& loop_;
    reconnecting_client_settings settings_;
    backoff backoff_;
    time_point earliest_connect_{};
    std::shared_ptr<client> client_;
    std::vector<std::shared_ptr<client>> retired_;
    std::size_t open_requests_ = 0;
    unsigned timeouts_in_a_row_ = 0;
    client_counters counters_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill::http2
