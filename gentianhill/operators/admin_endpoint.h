#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace gentianhill {

/// Endpoint for monitoring and the platform's load balancer: HTTP/1.1 with GET /metrics, /readyz and /livez.
class admin_endpoint {
public:
    /// The loop must outlive the endpoint.
    admin_endpoint(event_loop& loop, const endpoint& listen);
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
    void handle(evhttp_request* received);

    endpoint listen_;
    evhttp* server_;
    std::uint16_t port_ = 0;
};

} // namespace gentianhill
