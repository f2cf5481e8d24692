#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace gentianhill {

/// Endpoint for monitoring and the platform's load balancer: HTTP/1.1 with GET /metrics, /readyz and /livez.
class admin_endpoint {
public:
    /// Connections open at once when nothing else is said: those of the balancer and of a few people.
    static constexpr std::size_t default_max_connections = 64;

    /// The loop must outlive the endpoint. A connection beyond the maximum takes the place of one without a
    /// request, or else of the one whose last request is the longest ago.
    admin_endpoint(event_loop& loop, const endpoint& listen,
                   std::size_t max_connections = default_max_connections);
    ~admin_endpoint();
    admin_endpoint(const admin_endpoint&) = delete;
    admin_endpoint& operator=(const admin_endpoint&) = delete;

    /// Text of metrics::expose().
    std::function<std::string()> metrics_text;
    /// Reasons why the daemon takes no new work; empty when it is ready.
    std::function<std::vector<std::string>()> not_ready_reasons;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool listen(error& reason);
    /// Port that the endpoint listens on.
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    class connection;
    struct reply {
        int status = 0;
        const char* reason = "";
        const char* type = "text/plain";
        std::string body;
    };

    void accept(int socket);
    /// Closes one connection to make room for another.
    void make_room();
    void remove(std::uint64_t id);
    [[nodiscard]] reply answer(const std::string& path) const;

    event_loop& loop_;
    endpoint listen_;
    std::size_t max_connections_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
    /// By number, in the order of their arrival.
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::uint64_t last_id_ = 0;
};

} // namespace gentianhill
