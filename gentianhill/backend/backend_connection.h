#pragma once

#include "gentianhill/backend/database_message.h"
#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Identifies this daemon and its requests to instances, and the instance that they are for.
struct backend_identity {
    /// This run of this daemon, "daemon/incarnation", sent as `source` with each request: an instance takes a
    /// fence with the same term and source for a repeat.
    std::string source;
    /// Returns a request id that is unique across all incarnations of this daemon.
    std::function<std::string()> next_request_id;
    /// Name of the instance that the connection is for; an answer that names another one is none.
    std::string instance;
};

/// HTTP/2 connection to one instance. Answers are matched to requests by id. After an exchange that did not
/// end with a complete answer the connection is unusable and must be closed, since the state of its
/// transaction on the instance is unknown.
class backend_connection {
public:
    using answer_handler = std::function<void(std::optional<database_answer>, const backend_failure&)>;

    /// The loop must outlive the connection.
    backend_connection(event_loop& loop, const endpoint& server, backend_identity identity);

    /// Called once when the connection has closed; may be empty.
    std::function<void()> on_close;

    /// Starts connecting.
    void connect();
    /// Sends one request. The handler is called once, never from within call().
    void call(std::string_view path, nlohmann::json body, duration timeout, answer_handler on_answer);
    /// True while the connection is open and every exchange so far has ended with a complete answer.
    [[nodiscard]] bool is_usable() const;
    /// Closes the connection; the instance rolls back its open transaction.
    void close();
    /// Total number of bytes sent and received.
    [[nodiscard]] std::uint64_t bytes() const;

private:
    event_loop& loop_;
    backend_identity identity_;
    http2::client client_;
    bool broken_ = false;
};

} // namespace gentianhill
