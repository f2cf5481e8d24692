#include "gentianhill/peer/peer_endpoint.h"

#include "gentianhill/core/object_reader.h"

#include <utility>

namespace gentianhill {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;

http2::server_settings server_settings(const peer_endpoint_settings& settings) {
    http2::server_settings result;
    result.listen = settings.listen;
    result.max_body_bytes = settings.max_message_bytes;
    return result;
}

int status_of(error_code code) {
    switch (code) {
    case error_code::unknown_daemon:
        return status_forbidden;
    case error_code::unknown_path:
        return status_not_found;
    case error_code::too_large:
        return status_too_large;
    default:
        return status_bad_request;
    }
}

http2::response refusal(const error& reason) {
    const nlohmann::json body{{"error", to_json(reason)}};
    return http2::response{status_of(reason.code),
                           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

using sender_check = std::function<bool(const peer_envelope&, error&)>;

/// Reads a message, hands it to a handler and returns the JSON form of its answer. The sender is noted only
/// once the whole message has been found well-formed.
template <typename message, typename handler>
std::optional<nlohmann::json> answer_with(const sender_check& accept, const handler& answer,
                                          const peer_envelope& sender, const nlohmann::json& value,
                                          error& reason) {
    const std::optional<message> read = message::from_json(value, reason);
    if (!read || !accept(sender, reason)) {
        return std::nullopt;
    }
    return answer(sender, *read).to_json();
}

/// Hands news to a handler and passes on what was applied.
template <typename message, typename handler, typename forwarder>
std::optional<nlohmann::json> take_news(const sender_check& accept, const handler& take,
                                        const forwarder& forward, const peer_envelope& sender,
                                        const nlohmann::json& value, error& reason) {
    const std::optional<message> read = message::from_json(value, reason);
    if (!read || !accept(sender, reason)) {
        return std::nullopt;
    }
    const peer_news news = take(sender, *read, reason);
    if (news == peer_news::rejected) {
        if (!reason.failed()) {
            reason = error{error_code::bad_value, "message", "", "valid content"};
        }
        return std::nullopt;
    }
    if (news == peer_news::applied && forward) {
        forward(sender, *read);
    }
    return nlohmann::json::object();
}

} // namespace

peer_endpoint::peer_endpoint(event_loop& loop, const peer_endpoint_settings& settings,
                             const peer_handlers& handlers, std::function<peer_envelope()> envelope)
    : settings_(settings),
      handlers_(handlers),
      envelope_(std::move(envelope)),
      server_(loop, server_settings(settings)) {
    server_.on_request = [this](http2::connection_id id, const http2::request& message,
                                const http2::server::responder& respond) { respond(handle(id, message)); };
    server_.on_close = [this](http2::connection_id id) { connections_.erase(id); };
}

peer_endpoint_counters peer_endpoint::counters() const {
    return peer_endpoint_counters{messages_, refused_, server_.bytes_received(), server_.bytes_sent()};
}

http2::response peer_endpoint::handle(http2::connection_id id, const http2::request& message) {
    ++messages_;
    error reason;
    const std::optional<nlohmann::json> answer = handle_checked(id, message, reason);
    if (!answer) {
        ++refused_;
        return refusal(reason);
    }
    return http2::response{status_ok, answer->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

std::optional<nlohmann::json> peer_endpoint::handle_checked(http2::connection_id id,
                                                            const http2::request& message, error& reason) {
    const std::optional<peer_message_kind> kind = peer_message_kind_from_path(message.path);
    if (!kind || message.method != "POST") {
        reason = error{error_code::unknown_path, "path", message.method + " " + message.path,
                       "POST with one of the paths below /peer/v1/"};
        return std::nullopt;
    }
    const std::optional<nlohmann::json> body = parse_json(message.body, settings_.max_message_bytes, reason);
    if (!body) {
        return std::nullopt;
    }
    object_reader reader{*body, "", reason};
    const nlohmann::json& from = reader.object("from");
    const bool has_content = reader.ok() && body->contains("message");
    const nlohmann::json& content = has_content ? reader.object("message") : nlohmann::json::object();
    if (!reader.finish()) {
        return std::nullopt;
    }
    const std::optional<peer_envelope> sender =
        peer_envelope::from_json(from, "from", connections_[id].peer, reason);
    if (!sender || !is_known(*sender, reason)) {
        return std::nullopt;
    }
    const bool is_introduction = from.contains("daemon");
    const std::optional<nlohmann::json> answer = dispatch(*kind, id, *sender, content, reason);
    if (!answer) {
        return std::nullopt;
    }
    const std::map<http2::connection_id, connection_state>::iterator connection = connections_.find(id);
    if (connection != connections_.end()) {
        connection->second.peer = sender;
    }
    const peer_envelope self = envelope_();
    nlohmann::json reply{{"from", is_introduction ? self.to_json() : self.to_short_json()}};
    if (!answer->empty()) {
        reply["answer"] = *answer;
    }
    return reply;
}

bool peer_endpoint::is_known(const peer_envelope& sender, error& reason) const {
    if (!handlers_.is_known(sender.daemon)) {
        reason = error{error_code::unknown_daemon, "from.daemon", sender.daemon,
                       "a daemon of the platform's list or of the settings"};
        return false;
    }
    return true;
}

std::optional<nlohmann::json> peer_endpoint::dispatch(peer_message_kind kind, http2::connection_id id,
                                                      const peer_envelope& sender,
                                                      const nlohmann::json& message, error& reason) {
    switch (kind) {
    case peer_message_kind::heartbeat:
        return heartbeat(id, sender, message, reason);
    case peer_message_kind::group_view:
        return take_news<group_view_push>(handlers_.on_sender, handlers_.on_group_views, forward_views,
                                          sender, message, reason);
    case peer_message_kind::tickets_push:
        return take_news<ticket_batch>(handlers_.on_sender, handlers_.on_tickets, forward_tickets, sender,
                                       message, reason);
    case peer_message_kind::opinion:
        return answer_with<opinion_request>(handlers_.on_sender, handlers_.opinion, sender, message, reason);
    case peer_message_kind::tickets_pull:
        return answer_with<tickets_pull>(handlers_.on_sender, handlers_.tickets_after, sender, message,
                                         reason);
    case peer_message_kind::timeline:
        return answer_with<timeline_request>(handlers_.on_sender, handlers_.timeline, sender, message,
                                             reason);
    }
    return std::nullopt;
}

std::optional<nlohmann::json> peer_endpoint::heartbeat(http2::connection_id id, const peer_envelope& sender,
                                                       const nlohmann::json& message, error& reason) {
    const std::optional<peer_heartbeat> read = peer_heartbeat::from_json(message, reason);
    if (!read || !handlers_.on_sender(sender, reason)) {
        return std::nullopt;
    }
    if (on_heartbeat) {
        on_heartbeat(sender);
    }
    if (!read->summary.is_null()) {
        handlers_.on_summary(sender, read->summary);
    }
    peer_heartbeat answer;
    const nlohmann::json summary = handlers_.summary();
    connection_state& connection = connections_[id];
    if (read->wants_summary || summary != connection.summary_sent) {
        connection.summary_sent = summary;
        answer.summary = summary;
    }
    return answer.to_json();
}

} // namespace gentianhill
