#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/http2/server.h"
#include "gentianhill/operators/operator_hooks.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace gentianhill {

/// Status code of an answer that reports an error.
[[nodiscard]] int http_status(error_code code);

/// Endpoint for operators and the command-line tool: JSON over HTTP/2. Paths below /operator/v1:
/// GET state, groups, shares, hosts, timeline?since=&limit=, tickets, tickets/N, tickets/N/status;
/// POST tickets, outcome {group, key}, drain. Errors are answered as {"error": {...}}.
class operator_endpoint {
public:
    /// The loop must outlive the endpoint.
    operator_endpoint(event_loop& loop, const endpoint& listen);

    /// Provided by the daemon before listen().
    operator_hooks hooks;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason) { return server_.listen(reason); }
    /// Port that the endpoint listens on.
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Stops accepting and lets open requests finish.
    void shut_down() { server_.shut_down(); }
    /// Answers the open requests as of unknown outcome, because the process is about to exit.
    void give_up_at_stop();
    /// True when operators have been told to send nothing more and have all answers.
    [[nodiscard]] bool is_shut_down() const { return server_.is_shut_down(); }
    /// Requests that are not answered yet.
    [[nodiscard]] std::size_t open_requests() const { return server_.open_requests(); }

private:
    struct target;

    void handle(const http2::request& received, const operator_answer& answer);
    /// Returns the function that answers a request, and keeps it until then.
    [[nodiscard]] operator_answer open(const http2::server::responder& respond);
    void handle_get(const target& wanted, const operator_answer& answer);
    void handle_post(const target& wanted, const std::string& body, const operator_answer& answer);
    void handle_ticket(const target& wanted, const operator_answer& answer);
    void handle_timeline(const target& wanted, const operator_answer& answer);
    void submit(const std::string& body, const operator_answer& answer);
    void query_outcome(const std::string& body, const operator_answer& answer);

    http2::server server_;
    std::map<std::uint64_t, operator_answer> open_;
    std::uint64_t last_request_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
