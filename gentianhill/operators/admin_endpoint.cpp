#include "gentianhill/operators/admin_endpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_header_bytes = 16'384;
constexpr int idle_timeout_s = 30;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_headers_too_large = 431;
constexpr int status_not_implemented = 501;
constexpr int status_unavailable = 503;
constexpr std::string_view header_end = "\r\n\r\n";

/// Request without its body, which no served request has.
struct admin_request {
    std::string method;
    std::string path;
    bool is_valid = false;
    /// The connection closes after the answer.
    bool closes = true;
};

std::string to_lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

std::string_view take_word(std::string_view& text) {
    const std::size_t end = text.find(' ');
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return word;
}

admin_request parse_request(std::string_view head) {
    admin_request result;
    std::string_view line = head.substr(0, head.find("\r\n"));
    result.method = take_word(line);
    const std::string_view target = take_word(line);
    result.path = target.substr(0, target.find('?'));
    result.is_valid = !result.method.empty() && !result.path.empty() && line.rfind("HTTP/1.", 0) == 0;
    const std::string fields = to_lower(head);
    const bool has_body = fields.find("\r\ncontent-length: 0\r\n") == std::string::npos &&
                          (fields.find("\r\ncontent-length:") != std::string::npos ||
                           fields.find("\r\ntransfer-encoding:") != std::string::npos);
    const bool asks_to_close = fields.find("\r\nconnection: close") != std::string::npos;
    const bool asks_to_keep = fields.find("\r\nconnection: keep-alive") != std::string::npos;
    result.closes = !result.is_valid || has_body || asks_to_close || (line == "HTTP/1.0" && !asks_to_keep);
    return result;
}

} // namespace

/// One accepted connection. Reads a request only when the answer to the one before has been sent.
class admin_endpoint::connection {
public:
    connection(admin_endpoint& owner, std::uint64_t id, int socket)
        : owner_(owner),
          id_(id),
          transport_(bufferevent_socket_new(owner.loop_.native(), socket, BEV_OPT_CLOSE_ON_FREE)) {
        bufferevent_setcb(transport_, &on_read, &on_written, &on_event, this);
        // Reading stops by itself when more than a request has arrived.
        bufferevent_setwatermark(transport_, EV_READ, 0, max_header_bytes);
        const timeval limit{idle_timeout_s, 0};
        bufferevent_set_timeouts(transport_, &limit, &limit);
        bufferevent_enable(transport_, EV_READ | EV_WRITE);
    }
    ~connection() { bufferevent_free(transport_); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Time of the last request; the earliest time of all while there was none.
    [[nodiscard]] time_point requested_at() const { return requested_at_; }

private:
    static connection& from(void* user_data) { return *static_cast<connection*>(user_data); }
    static void on_read(bufferevent* /*transport*/, void* user_data) { from(user_data).take_request(); }
    static void on_written(bufferevent* /*transport*/, void* user_data) {
        connection& self = from(user_data);
        if (self.closes_) {
            self.owner_.remove(self.id_);
            return;
        }
        self.answering_ = false;
        bufferevent_enable(self.transport_, EV_READ);
        self.take_request();
    }
    static void on_event(bufferevent* /*transport*/, short /*events*/, void* user_data) {
        connection& self = from(user_data);
        self.owner_.remove(self.id_);
    }

    void take_request() {
        if (answering_) {
            return;
        }
        evbuffer* input = bufferevent_get_input(transport_);
        const evbuffer_ptr end = evbuffer_search(input, header_end.data(), header_end.size(), nullptr);
        if (end.pos < 0) {
            if (evbuffer_get_length(input) >= max_header_bytes) {
                closes_ = true;
                send({status_headers_too_large, "Request Header Fields Too Large", "text/plain",
                      "too large\n"});
            }
            return;
        }
        std::string head(static_cast<std::size_t>(end.pos) + header_end.size(), '\0');
        evbuffer_remove(input, head.data(), head.size());
        const admin_request request = parse_request(head);
        closes_ = request.closes;
        requested_at_ = event_loop::now();
        if (!request.is_valid) {
            send({status_bad_request, "Bad Request", "text/plain", "not an HTTP request\n"});
        } else if (request.method != "GET") {
            closes_ = true;
            send({status_not_implemented, "Not Implemented", "text/plain", "only GET is served\n"});
        } else {
            send(owner_.answer(request.path));
        }
    }

    void send(const reply& sent) {
        answering_ = true;
        bufferevent_disable(transport_, EV_READ);
        const std::string text = fmt::format(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {}\r\n\r\n{}",
            sent.status, sent.reason, sent.type, sent.body.size(), closes_ ? "close" : "keep-alive",
            sent.body);
        bufferevent_write(transport_, text.data(), text.size());
    }

    admin_endpoint& owner_;
    std::uint64_t id_;
    bufferevent* transport_;
    time_point requested_at_ = time_point::min();
    bool answering_ = false;
    bool closes_ = false;
};

admin_endpoint::admin_endpoint(event_loop& loop, const endpoint& listen, std::size_t max_connections)
    : loop_(loop), listen_(listen), max_connections_(std::max<std::size_t>(max_connections, 1)) {}

admin_endpoint::~admin_endpoint() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

bool admin_endpoint::listen(error& reason) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen_.port);
    inet_pton(AF_INET, listen_.address.c_str(), &address.sin_addr);
    const evconnlistener_cb on_accept = [](evconnlistener* /*listener*/, evutil_socket_t socket,
                                           sockaddr* /*peer*/, int /*length*/, void* user_data) {
        static_cast<admin_endpoint*>(user_data)->accept(socket);
    };
    listener_ = evconnlistener_new_bind(loop_.native(), on_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr) {
        reason = error{error_code::bind_failed, "admin_listen", listen_.to_string(),
                       "an address of this host with a free port"};
        return false;
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &length);
    port_ = ntohs(bound.sin_port);
    return true;
}

void admin_endpoint::accept(int socket) {
    if (connections_.size() >= max_connections_) {
        make_room();
    }
    const std::uint64_t id = ++last_id_;
    connections_.emplace(id, std::make_unique<connection>(*this, id, socket));
}

void admin_endpoint::make_room() {
    const auto quietest =
        std::min_element(connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
            return left.second->requested_at() < right.second->requested_at();
        });
    connections_.erase(quietest);
}

void admin_endpoint::remove(std::uint64_t id) {
    connections_.erase(id);
}

admin_endpoint::reply admin_endpoint::answer(const std::string& path) const {
    if (path == "/metrics" && metrics_text) {
        return {status_ok, "OK", "text/plain; version=0.0.4", metrics_text()};
    }
    if (path == "/livez") {
        // The loop has run this handler, so the process is alive; whether it is useful is /readyz.
        return {status_ok, "OK", "text/plain", "alive\n"};
    }
    if (path == "/readyz" && not_ready_reasons) {
        const std::vector<std::string> reasons = not_ready_reasons();
        std::string text = reasons.empty() ? "ready\n" : "not ready\n";
        for (const std::string& reason : reasons) {
            text += reason + '\n';
        }
        return reasons.empty() ? reply{status_ok, "OK", "text/plain", text}
                               : reply{status_unavailable, "Service Unavailable", "text/plain", text};
    }
    return {status_not_found, "Not Found", "text/plain", "only /metrics, /readyz and /livez exist\n"};
}

} // namespace gentianhill
