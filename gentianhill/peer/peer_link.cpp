#include "gentianhill/peer/peer_link.h"

#include "gentianhill/core/object_reader.h"

#include <utility>

namespace gentianhill {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_large = 413;

http2::reconnecting_client_settings client_settings(const peer_link_settings& settings) {
    http2::reconnecting_client_settings result;
    result.connection.server = settings.server;
    result.connection.max_body_bytes = settings.max_answer_bytes;
    result.connection.arrival_limit = settings.arrival_limit;
    result.reconnect = settings.reconnect;
    result.max_open_requests = settings.max_open_requests;
    return result;
}

/// Reason of an answer that is not a success.
error refusal(const http2::response& reply) {
    error ignored;
    const std::optional<nlohmann::json> body = parse_json(reply.body, reply.body.size(), ignored);
    if (body && body->is_object() && body->contains("error")) {
        return error_from_json((*body)["error"]);
    }
    const error_code code = reply.status == status_too_large ? error_code::too_large : error_code::bad_answer;
    return error{code, "status", std::to_string(reply.status), "200"};
}

} // namespace

peer_link::peer_link(event_loop& loop, const peer_link_settings& settings, envelope_source envelope,
                     sender_check on_sender, std::function<double()> random)
    : settings_(settings),
      envelope_(std::move(envelope)),
      on_sender_(std::move(on_sender)),
      client_(loop, client_settings(settings), std::move(random)) {}

void peer_link::ask(peer_message_kind kind, const nlohmann::json& message, duration timeout,
                    answer_handler on_answer) {
    // The identity is sent once per connection; it is the greater part of a heartbeat.
    const bool is_introduced = client_.is_connected() && introduced_on_ == connection_number();
    const peer_envelope self = envelope_();
    nlohmann::json body{{"from", is_introduced ? self.to_short_json() : self.to_json()}};
    if (!message.empty()) {
        body["message"] = message;
    }
    // The number is read after sending, which may have started a new connection.
    const std::shared_ptr<std::uint64_t> connection = std::make_shared<std::uint64_t>(0);
    const std::optional<peer_envelope> known = is_introduced ? peer_ : std::nullopt;
    client_.send(http2::request{"POST", std::string{path_of(kind)}, body.dump()}, timeout,
                 [this, connection, known, on_answer = std::move(on_answer)](
                     const std::optional<http2::response>& reply, const error& reason) {
                     answered(reply, reason, *connection, known, on_answer);
                 });
    *connection = connection_number();
}

void peer_link::answered(const std::optional<http2::response>& reply, const error& reason,
                         std::uint64_t connection, const std::optional<peer_envelope>& known,
                         const answer_handler& on_answer) {
    const nlohmann::json nothing;
    if (!reply) {
        on_answer(nullptr, nothing, reason);
        return;
    }
    if (reply->status != status_ok) {
        // The peer may have lost what it knew of this connection; the next request introduces this daemon
        // again.
        introduced_on_ = 0;
        on_answer(nullptr, nothing, refusal(*reply));
        return;
    }
    error failure;
    const std::optional<nlohmann::json> body = parse_json(reply->body, settings_.max_answer_bytes, failure);
    std::optional<peer_envelope> sender;
    if (body) {
        sender = read_sender(*body, connection, known, failure);
    }
    if (!sender) {
        on_answer(nullptr, nothing, failure);
        return;
    }
    const nlohmann::json::const_iterator answer = body->find("answer");
    on_answer(&*sender, answer == body->end() ? nlohmann::json::object() : *answer, error{});
}

std::optional<peer_envelope> peer_link::read_sender(const nlohmann::json& body, std::uint64_t connection,
                                                    const std::optional<peer_envelope>& known,
                                                    error& reason) {
    object_reader reader{body, "", reason};
    const nlohmann::json& from = reader.object("from");
    if (!reader.ok()) {
        return std::nullopt;
    }
    std::optional<peer_envelope> sender = peer_envelope::from_json(from, "from", known, reason);
    if (!sender) {
        return std::nullopt;
    }
    if (sender->daemon != settings_.daemon) {
        reason = error{error_code::mismatched_answer, "from.daemon", sender->daemon, settings_.daemon};
        return std::nullopt;
    }
    if (!on_sender_(*sender, reason)) {
        return std::nullopt;
    }
    if (!known && connection == connection_number()) {
        peer_ = sender;
        introduced_on_ = connection;
    }
    return sender;
}

void peer_link::disconnect() {
    client_.disconnect();
}

} // namespace gentianhill
