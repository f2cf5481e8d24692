#pragma once

#include "gentianhill/caller/caller_message.h"
#include "gentianhill/http2/server.h"

#include <functional>

namespace gentianhill {

/// Sends the response to one request of a caller. Must be called exactly once.
using caller_responder = std::function<void(const caller_answer&)>;

/// Callbacks that process the requests of callers.
struct caller_handlers {
    std::function<void(http2::connection_id, const statement_request&, caller_responder)> on_statement;
    std::function<void(http2::connection_id, transaction_operation, const transaction_request&,
                       caller_responder)>
        on_transaction;
    std::function<void(const outcome_request&, caller_responder)> on_outcome;
    /// Called when a caller's connection has closed. Must roll back the open transactions of the connection.
    std::function<void(http2::connection_id)> on_close;
};

/// HTTP/2 server for callers, with JSON bodies. Validates each request before passing it to a handler.
class caller_endpoint {
public:
    /// The loop must outlive the endpoint.
    caller_endpoint(event_loop& loop, const http2::server_settings& settings, const caller_limits& limits,
                    caller_handlers handlers);

    /// Starts listening. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason) { return server_.listen(reason); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Sets the limits for requests that arrive from now on.
    void set_limits(const caller_limits& limits) { limits_ = limits; }
    /// Stops accepting connections. Existing connections are still served.
    void stop_accepting() { server_.stop_accepting(); }
    /// Stops accepting connections and requests, and lets the open requests finish.
    void shut_down() { server_.shut_down(); }
    /// Refuses the requests that have arrived only in part, as not processed.
    void refuse_incomplete() { server_.refuse_incomplete(); }
    /// True when callers have been told to send nothing more and have all answers.
    [[nodiscard]] bool is_shut_down() const { return server_.is_shut_down(); }
    [[nodiscard]] std::size_t open_requests() const { return server_.open_requests(); }
    [[nodiscard]] std::size_t connection_count() const { return server_.connection_count(); }

private:
    void handle(http2::connection_id connection, const http2::request& request,
                const http2::server::responder& respond);
    [[nodiscard]] bool dispatch(http2::connection_id connection, const std::string& path,
                                const nlohmann::json& body, const caller_responder& send_answer,
                                error& reason);
    [[nodiscard]] bool dispatch_transaction(http2::connection_id connection, transaction_operation operation,
                                            const nlohmann::json& body, const caller_responder& send_answer,
                                            error& reason);

    http2::server server_;
    caller_limits limits_;
    caller_handlers handlers_;
};

} // namespace gentianhill
