#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace gentianhill::http2 {

/// Limits of a client connection.
struct client_settings {
    /// Server to connect to.
    endpoint server;
    /// Longest time for the TCP connection to be established.
    duration connect_timeout = std::chrono::seconds{1};
    /// Largest answer, in bytes; a larger one fails the request with too_large.
    std::size_t max_body_bytes = 4U << 20U;
    /// Longest time beyond the timeout of a request while its answer is arriving; it ends when nothing has
    /// arrived for as long as the timeout. An answer whose size grows with the deployment needs it, since it
    /// would otherwise be given up and asked for again without end.
    duration arrival_limit{0};
};

/// One HTTP/2 connection to a server; requests share it as streams.
/// It connects on the first request and does not reconnect: a closed client stays closed.
class client {
public:
    /// Receives the answer, or nothing and the reason.
    using result_handler = std::function<void(std::optional<response>, const error&)>;

    /// The loop must outlive the client.
    client(event_loop& loop, const client_settings& settings);
    /// Fails all open requests with connection_lost, or connect_failed if none was sent.
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Called once when the connection has gone; may be empty.
    std::function<void()> on_close;

    /// Starts to connect without sending a request.
    void connect();
    /// Sends a request. The handler is called once, never from within send().
    /// Errors: connect_failed and request_refused (not processed), connection_lost and timed_out (unknown),
    /// too_large. A request that timed out is cancelled on its stream.
    void send(request message, duration timeout, result_handler on_result);
    /// Closes the connection; open requests fail.
    void close();
    /// True once the TCP connection is established and while it lasts.
    [[nodiscard]] bool is_connected() const;
    /// True when the connection has failed, was closed or takes no further requests.
    [[nodiscard]] bool is_closed() const;
    /// Requests without an answer yet.
    [[nodiscard]] std::size_t open_requests() const;
    /// Bytes received and sent on this connection.
    [[nodiscard]] std::uint64_t bytes_received() const;
    [[nodiscard]] std::uint64_t bytes_sent() const;

private:
    class connection;
    std::shared_ptr<connection> connection_;
};

} // namespace gentianhill::http2
