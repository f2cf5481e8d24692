#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/http2/reconnecting_client.h"
#include "gentianhill/http2/server.h"
#include "gentianhill/relay/relay_port.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace gentianhill {

/// Limits of the transport.
struct relay_transport_settings {
    /// Address for other daemons.
    endpoint listen;
    /// Largest request other than a statement that is handed on, in bytes.
    std::size_t max_request_bytes = 64U << 10U;
    /// Largest message with a statement that is handed on, in bytes: a statement of 1 MiB with its session.
    std::size_t max_hand_on_bytes = 1280U << 10U;
    /// Connections of other daemons open at once, and bytes of their requests and answers.
    std::size_t max_connections = 512;
    std::size_t max_held_bytes = 64U << 20U;
    /// Largest answer, in bytes. A whole collection of the aim's size has about 4 MB.
    std::size_t max_answer_bytes = 16U << 20U;
    /// Longest time beyond its timeout for which an answer with state may go on arriving: whole collections
    /// grow with the deployment.
    duration state_arrival_limit = std::chrono::seconds(10);
    /// Longest time to establish a connection.
    duration connect_timeout = std::chrono::milliseconds(400);
    /// Longest time to establish a connection for statements, which wait for it; hosts of one zone are tenths
    /// of a millisecond apart.
    duration hand_on_connect_timeout = std::chrono::milliseconds(150);
    /// Requests open at once to one daemon.
    std::size_t max_open_requests = 256;
    /// A connection without requests for this time is closed.
    duration idle_limit = std::chrono::seconds(60);
};

/// HTTP/2 connections between daemons. Each kind of request has connections of its own, so that a long answer
/// of one kind delays no other.
class relay_transport {
public:
    /// Answers a request; called at most once.
    using request_handler =
        std::function<void(relay_request_kind, const nlohmann::json& message, relay_answer_handler respond)>;

    /// `loop` and `log` must outlive the transport; `random` returns uniform values in [0, 1).
    relay_transport(event_loop& loop, const relay_transport_settings& settings, logger& log,
                    std::function<double()> random);

    /// Called for each valid request of another daemon.
    request_handler on_request;
    /// Called for each message about a statement that is handed on.
    std::function<void(std::string_view message, hand_on_handler respond)> on_hand_on;
    /// Called for each request for a part of a content.
    std::function<void(std::string_view message, content_answer_handler respond)> on_content;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason);
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Returns the requests to other daemons; the transport must outlive the result.
    [[nodiscard]] relay_port make_port();

private:
    struct link {
        std::unique_ptr<http2::reconnecting_client> client;
        time_point used_at;
    };
    /// Server and path of the requests.
    using link_key = std::pair<endpoint, std::string>;

    void answer(const http2::request& received, const http2::server::responder& respond);
    void ask(const endpoint& server, relay_request_kind kind, const nlohmann::json& message, duration timeout,
             relay_answer_handler done);
    /// Text of an answer; a large one is logged.
    [[nodiscard]] std::string serialize(relay_request_kind kind, const nlohmann::json& answered);
    /// Parses an answer; a large one is logged.
    [[nodiscard]] std::optional<nlohmann::json> read_answer(relay_request_kind kind, const endpoint& server,
                                                            time_point asked_at, const std::string& text,
                                                            error& reason);
    /// Answers a request whose message is no JSON.
    static void
    answer_bytes(const std::function<void(std::string_view message, hand_on_handler respond)>& handler,
                 const http2::request& received, const http2::server::responder& respond);
    void send_bytes(const endpoint& server, const std::string& path, std::string message, duration timeout,
                    hand_on_handler done);
    [[nodiscard]] http2::reconnecting_client& link_to(const endpoint& server, const std::string& path);
    void close_idle_links();

    event_loop& loop_;
    relay_transport_settings settings_;
    logger& log_;
    std::function<double()> random_;
    http2::server server_;
    std::map<link_key, link> links_;
    timer idle_timer_;
};

} // namespace gentianhill
