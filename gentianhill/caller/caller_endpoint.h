#pragma once

#include "gentianhill/caller/caller_message.h"
#include "gentianhill/http2/server.h"

#include <functional>

namespace gentianhill {

/// Takes the answer to one request of a caller; to be called once.
using caller_responder = std::function<void(const caller_answer&)>;

/// What the daemon does with the requests of callers.
struct caller_handlers {
    std::function<void(http2::connection_id, const statement_request&, caller_responder)> on_statement;
    std::function<void(http2::connection_id, transaction_operation, const transaction_request&,
                       caller_responder)>
        on_transaction;
    std::function<void(const outcome_request&, caller_responder)> on_outcome;
    /// The caller's connection has gone; its transactions must be rolled back.
    std::function<void(http2::connection_id)> on_close;
};

/// Endpoint for callers: HTTP/2 with JSON bodies. Checks each request before a handler sees it.
class caller_endpoint {
public:
    /// The loop must outlive the endpoint.
    caller_endpoint(event_loop& loop, const http2::server_settings& settings, const caller_limits& limits,
                    caller_handlers handlers);

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason) { return server_.listen(reason); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Changes the bounds of further requests.
    void set_limits(const caller_limits& limits) { limits_ = limits; }
    /// Takes no further connections; requests on existing ones go on.
    void stop_accepting() { server_.stop_accepting(); }
    /// Takes no further connections and requests, and lets open requests finish.
    void shut_down() { server_.shut_down(); }
    [[nodiscard]] std::size_t open_requests() const { return server_.open_requests(); }
    [[nodiscard]] std::size_t connection_count() const { return server_.connection_count(); }

private:
    void handle(http2::connection_id connection, const http2::request& request,
                const http2::server::responder& respond);
    [[nodiscard]] bool dispatch(http2::connection_id connection, const std::string& path,
                                const nlohmann::json& body, const caller_responder& answer, error& reason);
    [[nodiscard]] bool dispatch_transaction(http2::connection_id connection, transaction_operation step,
                                            const nlohmann::json& body, const caller_responder& answer,
                                            error& reason);

    http2::server server_;
    caller_limits limits_;
    caller_handlers handlers_;
};

} // namespace gentianhill
