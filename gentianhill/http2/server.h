#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct evconnlistener;

namespace gentianhill::http2 {

/// Identifies one accepted connection for the lifetime of the server.
using connection_id = std::uint64_t;

/// Limits of a server.
struct server_settings {
    /// Address to listen on; port 0 lets the system choose one.
    endpoint listen;
    /// Largest request body, in bytes; a larger one is answered with status 413.
    std::size_t max_body_bytes = 1U << 20U;
    /// Requests that one connection may have open at once.
    std::uint32_t max_streams = 1024;
    /// Connections open at once. A further one takes the place of one that has no request in work: the one
    /// that has been quiet the longest, those that never sent a request first. It is closed if there is none.
    std::size_t max_connections = 2048;
    /// Bytes of all requests that are incomplete or not answered and of all answers that are not sent. When
    /// there are more, the connection with the most has its incomplete requests refused as not processed, or
    /// is closed if its client does not read.
    std::size_t max_held_bytes = 64U << 20U;
    /// Time without any byte sent or received after which a client is taken for one that does not read, or
    /// that does not complete its requests.
    duration stall_limit = std::chrono::seconds{2};
    /// Time between the shutdown notice and the final GOAWAY.
    duration goaway_delay = std::chrono::milliseconds{100};
};

/// HTTP/2 server without TLS (prior knowledge) over nghttp2 and libevent.
class server {
public:
    /// Answers one request; to be called once. A call after the connection has gone does nothing.
    using responder = std::function<void(response)>;
    using request_handler = std::function<void(connection_id, const request&, responder)>;
    using connection_handler = std::function<void(connection_id)>;

    /// The loop must outlive the server.
    server(event_loop& loop, const server_settings& settings);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Called for each complete request.
    request_handler on_request;
    /// Called when a connection was accepted; may be empty.
    connection_handler on_open;
    /// Called when a connection has gone, for whatever reason; may be empty.
    connection_handler on_close;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason);
    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Stops accepting connections; those that exist go on.
    void stop_accepting();
    /// Stops accepting, sends GOAWAY on all connections and lets open requests finish.
    void shut_down();
    /// Resets the streams of requests that have arrived only in part, with REFUSED_STREAM: not processed.
    void refuse_incomplete();
    /// True when the final GOAWAY has left on all connections and all requests received before it are
    /// answered: a request that arrives now is refused by the GOAWAY and certainly not run.
    [[nodiscard]] bool is_shut_down() const;
    /// Closes one connection at once.
    void close(connection_id id);
    /// Connections open now.
    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
    /// Requests received and not answered yet.
    [[nodiscard]] std::size_t open_requests() const;
    /// Bytes of requests that are incomplete or not answered and of answers that are not sent.
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
    /// Connections that were closed to stay within the limits, and requests refused for it.
    [[nodiscard]] std::uint64_t limited_connections() const { return limited_connections_; }
    [[nodiscard]] std::uint64_t limited_requests() const { return limited_requests_; }
    /// Bytes received and sent since the start.
    [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    class connection;
    friend class connection;

    void accept(int socket);
    void remove(connection_id id);
    /// Closes a connection that has no request in work; false if there is none.
    [[nodiscard]] bool remove_quietest();
    /// Refuses requests or closes connections until the held bytes are within their limit, if that is
    /// possible.
    void release_excess();

    event_loop& loop_;
    server_settings settings_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
    connection_id next_id_ = 1;
    bool shutting_down_ = false;
    bool final_goaway_sent_ = false;
    std::map<connection_id, std::shared_ptr<connection>> connections_;
    timer goaway_timer_;
    std::size_t held_bytes_ = 0;
    std::uint64_t limited_connections_ = 0;
    std::uint64_t limited_requests_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace gentianhill::http2
