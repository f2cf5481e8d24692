#include "gentianhill/relay/relay_transport.h"

#include "gentianhill/core/object_reader.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr std::string_view path_prefix = "/relay/v1/";
const std::string hand_on_path = "/relay/v1/statement";
const std::string content_path = "/relay/v1/content";
constexpr std::array<relay_request_kind, 5> all_kinds{
    relay_request_kind::state, relay_request_kind::evidence, relay_request_kind::quota_tokens,
    relay_request_kind::quota_shares, relay_request_kind::quota_holdings};
constexpr duration idle_check_interval = 10s;
/// Answers to all but requests for state are awaited for milliseconds only, so a few missing ones in a row do
/// not show that the connection is dead.
constexpr unsigned silent_short_timeouts = 3;
/// Answers of this size, in bytes, are logged with the time that they took.
constexpr std::size_t logged_answer_bytes = 64U << 10U;

http2::server_settings server_settings(const relay_transport_settings& settings) {
    http2::server_settings result;
    result.listen = settings.listen;
    result.max_body_bytes = std::max(settings.max_request_bytes, settings.max_hand_on_bytes);
    result.max_connections = settings.max_connections;
    result.max_held_bytes = settings.max_held_bytes;
    result.max_streams = static_cast<std::uint32_t>(settings.max_open_requests);
    return result;
}

std::string path_of(relay_request_kind kind) {
    return std::string(path_prefix) + std::string(to_string(kind));
}

std::optional<relay_request_kind> kind_of(std::string_view path) {
    for (const relay_request_kind kind : all_kinds) {
        if (path == path_of(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string dump(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http2::response refusal(int status, const error& reason) {
    return {status, dump({{"error", to_json(reason)}})};
}

error read_refusal(const http2::response& reply) {
    error ignored;
    const std::optional<nlohmann::json> body = parse_json(reply.body, reply.body.size(), ignored);
    if (body && body->is_object() && body->contains("error")) {
        return error_from_json((*body)["error"]);
    }
    const error_code code = reply.status == status_too_large ? error_code::too_large : error_code::bad_answer;
    return {code, "status", std::to_string(reply.status), "200"};
}

} // namespace

relay_transport::relay_transport(event_loop& loop, const relay_transport_settings& settings, logger& log,
                                 std::function<double()> random)
    : loop_(loop),
      settings_(settings),
      log_(log),
      random_(std::move(random)),
      server_(loop, server_settings(settings)) {
    server_.on_request = [this](http2::connection_id, const http2::request& received,
                                const http2::server::responder& respond) { answer(received, respond); };
}

bool relay_transport::listen(error& reason) {
    if (!server_.listen(reason)) {
        return false;
    }
    close_idle_links();
    return true;
}

relay_port relay_transport::make_port() {
    relay_port port;
    port.ask = [this](const endpoint& server, relay_request_kind kind, const nlohmann::json& message,
                      duration timeout,
                      relay_answer_handler done) { ask(server, kind, message, timeout, std::move(done)); };
    port.hand_on = [this](const endpoint& server, std::string message, duration timeout,
                          hand_on_handler done) {
        send_bytes(server, hand_on_path, std::move(message), timeout, std::move(done));
    };
    port.fetch_content = [this](const endpoint& server, std::string message, duration timeout,
                                content_answer_handler done) {
        send_bytes(server, content_path, std::move(message), timeout, std::move(done));
    };
    return port;
}

void relay_transport::answer_bytes(
    const std::function<void(std::string_view message, hand_on_handler respond)>& handler,
    const http2::request& received, const http2::server::responder& respond) {
    if (!handler) {
        respond(refusal(status_not_found, {error_code::unknown_path, "path", received.path, ""}));
        return;
    }
    handler(received.body, [respond](const std::optional<std::string>& answered, const error& refused) {
        respond(answered ? http2::response{status_ok, *answered} : refusal(status_bad_request, refused));
    });
}

void relay_transport::send_bytes(const endpoint& server, const std::string& path, std::string message,
                                 duration timeout, hand_on_handler done) {
    link_to(server, path)
        .send({"POST", path, std::move(message)}, timeout,
              [done = std::move(done)](const std::optional<http2::response>& reply, const error& reason) {
                  if (reply && reply->status == status_ok) {
                      done(reply->body, {});
                  } else {
                      done(std::nullopt, reply ? read_refusal(*reply) : reason);
                  }
              });
}

void relay_transport::answer(const http2::request& received, const http2::server::responder& respond) {
    if (received.method == "POST" && (received.path == hand_on_path || received.path == content_path)) {
        answer_bytes(received.path == hand_on_path ? on_hand_on : on_content, received, respond);
        return;
    }
    const std::optional<relay_request_kind> kind = kind_of(received.path);
    if (!kind || received.method != "POST") {
        respond(refusal(status_not_found,
                        {error_code::unknown_path, "path", received.path, path_of(all_kinds[0])}));
        return;
    }
    error reason;
    if (received.body.size() > settings_.max_request_bytes) {
        reason = {error_code::too_large, "body", std::to_string(received.body.size()),
                  std::to_string(settings_.max_request_bytes)};
        respond(refusal(status_too_large, reason));
        return;
    }
    const std::optional<nlohmann::json> message =
        parse_json(received.body, settings_.max_request_bytes, reason);
    if (!message) {
        log_.write(log_level::warning, "relay", "request_refused",
                   {{"kind", to_string(*kind)}, {"reason", reason.describe()}});
        respond(refusal(status_bad_request, reason));
        return;
    }
    on_request(*kind, *message,
               [this, kind, respond](const std::optional<nlohmann::json>& answered, const error& refused) {
                   respond(answered ? http2::response{status_ok, serialize(*kind, *answered)}
                                    : refusal(status_bad_request, refused));
               });
}

std::string relay_transport::serialize(relay_request_kind kind, const nlohmann::json& answered) {
    const time_point started_at = event_loop::now();
    std::string text = dump(answered);
    if (text.size() >= logged_answer_bytes) {
        log_.write(log_level::info, "relay", "large_answer_sent",
                   {{"kind", to_string(kind)},
                    {"bytes", text.size()},
                    {"serialize_us", (event_loop::now() - started_at).count()}});
    }
    return text;
}

std::optional<nlohmann::json> relay_transport::read_answer(relay_request_kind kind, const endpoint& server,
                                                           time_point asked_at, const std::string& text,
                                                           error& reason) {
    const time_point arrived_at = event_loop::now();
    std::optional<nlohmann::json> answered = parse_json(text, settings_.max_answer_bytes, reason);
    if (text.size() >= logged_answer_bytes) {
        log_.write(log_level::info, "relay", "large_answer_received",
                   {{"kind", to_string(kind)},
                    {"server", server.to_string()},
                    {"bytes", text.size()},
                    {"ms", to_milliseconds(arrived_at - asked_at)},
                    {"parse_us", (event_loop::now() - arrived_at).count()}});
    }
    return answered;
}

void relay_transport::ask(const endpoint& server, relay_request_kind kind, const nlohmann::json& message,
                          duration timeout, relay_answer_handler done) {
    link_to(server, path_of(kind))
        .send({"POST", path_of(kind), dump(message)}, timeout,
              [this, kind, server, asked_at = event_loop::now(),
               done = std::move(done)](const std::optional<http2::response>& reply, const error& reason) {
                  if (!reply) {
                      done(std::nullopt, reason);
                      return;
                  }
                  if (reply->status != status_ok) {
                      done(std::nullopt, read_refusal(*reply));
                      return;
                  }
                  error invalid;
                  const std::optional<nlohmann::json> body =
                      read_answer(kind, server, asked_at, reply->body, invalid);
                  done(body, invalid);
              });
}

http2::reconnecting_client& relay_transport::link_to(const endpoint& server, const std::string& path) {
    link& found = links_[{server, path}];
    if (found.client == nullptr) {
        http2::reconnecting_client_settings settings;
        settings.connection.server = server;
        settings.connection.connect_timeout =
            path == hand_on_path ? settings_.hand_on_connect_timeout : settings_.connect_timeout;
        settings.connection.max_body_bytes = settings_.max_answer_bytes;
        settings.connection.arrival_limit =
            path == path_of(relay_request_kind::state) ? settings_.state_arrival_limit : duration(0);
        settings.max_open_requests = settings_.max_open_requests;
        const bool is_silent_at_once =
            path == path_of(relay_request_kind::state) || path == hand_on_path || path == content_path;
        settings.silent_timeouts = is_silent_at_once ? 1 : silent_short_timeouts;
        found.client = std::make_unique<http2::reconnecting_client>(loop_, settings, random_);
    }
    found.used_at = event_loop::now();
    return *found.client;
}

void relay_transport::close_idle_links() {
    const time_point now = event_loop::now();
    for (std::map<link_key, link>::iterator entry = links_.begin(); entry != links_.end();) {
        const bool is_idle =
            now - entry->second.used_at > settings_.idle_limit && entry->second.client->open_requests() == 0;
        entry = is_idle ? links_.erase(entry) : std::next(entry);
    }
    idle_timer_ = loop_.call_after(idle_check_interval, [this] { close_idle_links(); });
}

} // namespace gentianhill
