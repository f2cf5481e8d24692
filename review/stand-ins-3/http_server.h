#pragma once

#include "event_poll.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

/// A request that was read whole.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Serves HTTP/1.1 on a port of 127.0.0.1, one request at a time on each connection.
class http_server {
public:
    using responder = std::function<void(int status, const std::string& body)>;

    /// The loop must outlive the server. Port 0 chooses a free one.
    http_server(event_poll& loop, std::uint16_t port);

    /// Answers a request, at once or later.
    std::function<void(const http_request& request, const responder& respond)> on_request;
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Takes no connections, as if no packet came through; those in the kernel's queue stay there.
    void stop_accepting();
    /// Takes connections again.
    void accept();
    [[nodiscard]] int listener() const { return listener_; }

private:
    void on_input(std::uint64_t number);

    event_poll& loop_;
    std::uint16_t port_;
    int listener_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::shared_ptr<channel>> connections_;
};

} // namespace review
