#include "gentianhill/operators/admin_endpoint.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <cassert>
#include <string_view>
#include <sys/socket.h>

namespace gentianhill {

namespace {

constexpr std::size_t max_body_bytes = 4096;
constexpr std::size_t max_header_bytes = 16'384;
constexpr int idle_timeout_s = 30;
constexpr int status_unavailable = 503;

void reply(evhttp_request* received, int status, const char* type, const std::string& body) {
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_add_header(evhttp_request_get_output_headers(received), "Content-Type", type);
    evhttp_send_reply(received, status, nullptr, buffer);
    evbuffer_free(buffer);
}

} // namespace

admin_endpoint::admin_endpoint(event_loop& loop, const endpoint& listen)
    : listen_(listen), server_(evhttp_new(loop.native())) {
    assert(server_ != nullptr);
    // Only GET is served; libevent answers other methods with 501.
    evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET);
    evhttp_set_max_body_size(server_, max_body_bytes);
    evhttp_set_max_headers_size(server_, max_header_bytes);
    evhttp_set_timeout(server_, idle_timeout_s);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* received, void* user_data) {
            static_cast<admin_endpoint*>(user_data)->handle(received);
        },
        this);
}

admin_endpoint::~admin_endpoint() {
    evhttp_free(server_);
}

bool admin_endpoint::listen(error& reason) {
    evhttp_bound_socket* bound =
        evhttp_bind_socket_with_handle(server_, listen_.address.c_str(), listen_.port);
    if (bound == nullptr) {
        reason = error{error_code::bind_failed, "admin_listen", listen_.to_string(),
                       "an address of this host with a free port"};
        return false;
    }
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    return true;
}

void admin_endpoint::handle(evhttp_request* received) {
    const char* found = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(received));
    const std::string_view path = found == nullptr ? "" : found;
    if (path == "/metrics" && metrics_text) {
        reply(received, HTTP_OK, "text/plain; version=0.0.4", metrics_text());
    } else if (path == "/livez") {
        // The loop has run this handler, so the process is alive; whether it is useful is /readyz.
        reply(received, HTTP_OK, "text/plain", "alive\n");
    } else if (path == "/readyz" && not_ready_reasons) {
        const std::vector<std::string> reasons = not_ready_reasons();
        std::string text = reasons.empty() ? "ready\n" : "not ready\n";
        for (const std::string& reason : reasons) {
            text += reason + '\n';
        }
        reply(received, reasons.empty() ? HTTP_OK : status_unavailable, "text/plain", text);
    } else {
        reply(received, HTTP_NOTFOUND, "text/plain", "only /metrics, /readyz and /livez exist\n");
    }
}

} // namespace gentianhill
