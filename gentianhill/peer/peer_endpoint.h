#pragma once

#include "gentianhill/http2/server.h"
#include "gentianhill/peer/peer_handlers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gentianhill {

/// Limits of the endpoint for other daemons.
struct peer_endpoint_settings {
    /// Address to listen on; port 0 lets the system choose one.
    endpoint listen;
    /// Largest message, in bytes; a ticket has up to 1 MB.
    std::size_t max_message_bytes = (1U << 20U) + (64U << 10U);
};

/// Counters of the endpoint since its start.
struct peer_endpoint_counters {
    /// Messages handled, refused ones included.
    std::uint64_t messages = 0;
    /// Messages answered with an error.
    std::uint64_t refused = 0;
    /// Bytes received and sent, without TCP and IP headers.
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_sent = 0;
};

/// Answers the requests of other daemons. A message that is malformed, too large or of an unknown daemon is
/// answered with a typed error and changes nothing.
class peer_endpoint {
public:
    /// Called after news was applied, to pass it on; may be empty.
    using views_forwarder = std::function<void(const peer_envelope& from, const group_view_push&)>;
    using tickets_forwarder = std::function<void(const peer_envelope& from, const ticket_batch&)>;

    /// `envelope` supplies the sender of answers; the handlers must stay valid during the endpoint's
    /// lifetime.
    peer_endpoint(event_loop& loop, const peer_endpoint_settings& settings, const peer_handlers& handlers,
                  std::function<peer_envelope()> envelope);
    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    views_forwarder forward_views;
    tickets_forwarder forward_tickets;
    /// Called for the sender of each accepted heartbeat; may be empty.
    std::function<void(const peer_envelope&)> on_heartbeat;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason) { return server_.listen(reason); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Stops accepting connections and lets open requests finish.
    void shut_down() { server_.shut_down(); }
    [[nodiscard]] peer_endpoint_counters counters() const;

private:
    struct connection_state {
        /// Sender as introduced on this connection.
        std::optional<peer_envelope> peer;
        /// Summary last sent on this connection.
        nlohmann::json summary_sent;
    };

    [[nodiscard]] http2::response handle(http2::connection_id id, const http2::request& message);
    [[nodiscard]] std::optional<nlohmann::json> handle_checked(http2::connection_id id,
                                                               const http2::request& message, error& reason);
    [[nodiscard]] std::optional<nlohmann::json> dispatch(peer_message_kind kind, http2::connection_id id,
                                                         const peer_envelope& sender,
                                                         const nlohmann::json& message, error& reason);
    [[nodiscard]] std::optional<nlohmann::json> heartbeat(http2::connection_id id,
                                                          const peer_envelope& sender,
                                                          const nlohmann::json& message, error& reason);
    [[nodiscard]] bool is_known(const peer_envelope& sender, error& reason) const;

    peer_endpoint_settings settings_;
    const peer_handlers& handlers_;
    std::function<peer_envelope()> envelope_;
    std::map<http2::connection_id, connection_state> connections_;
    std::uint64_t messages_ = 0;
    std::uint64_t refused_ = 0;
    http2::server server_;
};

} // namespace gentianhill
