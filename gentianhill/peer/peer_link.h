#pragma once

#include "gentianhill/http2/reconnecting_client.h"
#include "gentianhill/peer/peer_envelope.h"
#include "gentianhill/peer/peer_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Limits of a link to one daemon.
struct peer_link_settings {
    /// Peer endpoint of the daemon.
    endpoint server;
    /// Name of the daemon; an answer of any other daemon is refused.
    std::string daemon;
    /// Delays between failed connections.
    http2::backoff_settings reconnect{std::chrono::milliseconds{100}, std::chrono::seconds{2}, 0.5};
    /// Requests open at once; a peer that does not answer can hold no more than these.
    std::size_t max_open_requests = 16;
    /// Largest answer, in bytes.
    std::size_t max_answer_bytes = 2U << 20U;
    /// Longest time beyond its timeout for which an answer may go on arriving: a batch of tickets takes
    /// longer than a heartbeat on a link that others use too.
    duration arrival_limit = std::chrono::seconds{10};
};

/// Sends requests to one daemon and checks its answers.
class peer_link {
public:
    /// Receives sender and content of the answer, or nothing and the reason.
    using answer_handler =
        std::function<void(const peer_envelope* sender, const nlohmann::json& answer, const error& reason)>;
    /// Envelope for an outgoing message.
    using envelope_source = std::function<peer_envelope()>;
    /// Checks the sender of an answer before it is handled.
    using sender_check = std::function<bool(const peer_envelope&, error& reason)>;

    peer_link(event_loop& loop, const peer_link_settings& settings, envelope_source envelope,
              sender_check on_sender, std::function<double()> random);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends a message. The handler is called once unless the link is destroyed, never from within ask().
    /// Errors: transport errors, bad_answer, mismatched_answer, or the error that the peer answered with.
    void ask(peer_message_kind kind, const nlohmann::json& message, duration timeout,
             answer_handler on_answer);
    /// Drops the connection, for a peer that has restarted.
    void disconnect();
    [[nodiscard]] bool is_connected() const { return client_.is_connected(); }
    [[nodiscard]] bool is_backing_off(time_point now) const { return client_.is_backing_off(now); }
    /// Number of the connection that is or was last used; rises with each new one.
    [[nodiscard]] std::uint64_t connection_number() const { return client_.counters().connections; }
    [[nodiscard]] std::size_t open_requests() const { return client_.open_requests(); }
    [[nodiscard]] http2::client_counters counters() const { return client_.counters(); }
    [[nodiscard]] const peer_link_settings& settings() const { return settings_; }

private:
    void answered(const std::optional<http2::response>& reply, const error& reason, std::uint64_t connection,
                  const std::optional<peer_envelope>& known, const answer_handler& on_answer);
    [[nodiscard]] std::optional<peer_envelope> read_sender(const nlohmann::json& body,
                                                           std::uint64_t connection,
                                                           const std::optional<peer_envelope>& known,
                                                           error& reason);

    peer_link_settings settings_;
    envelope_source envelope_;
    sender_check on_sender_;
    /// Connection on which the peer knows this daemon's identity, and it that of the peer; 0 for none.
    std::uint64_t introduced_on_ = 0;
    std::optional<peer_envelope> peer_;
    http2::reconnecting_client client_;
};

} // namespace gentianhill
