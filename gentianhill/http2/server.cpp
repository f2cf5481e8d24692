#include "gentianhill/http2/server.h"

#include "gentianhill/http2/session_io.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cassert>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace gentianhill::http2 {

namespace {

constexpr int status_payload_too_large = 413;
/// Longest wait for a client to close its side after the last answer; a client that has not read GOAWAY by
/// then is taken for gone.
constexpr duration linger_limit = std::chrono::seconds{1};

/// Memory of a stream besides its request and answer, in bytes.
constexpr std::size_t stream_overhead_bytes = 1024;

std::string_view view_of(const std::uint8_t* data, std::size_t length) {
    return {reinterpret_cast<const char*>(data), length};
}

/// Accepts a connection from the backlog of a listening socket; -1 if there is none.
int next_in_backlog(int listening) {
    return ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace

/// One accepted connection and the requests open on it.
class server::connection : public std::enable_shared_from_this<server::connection> {
public:
    connection(server& owner, connection_id id, int socket)
        : owner_(owner), id_(id), sent_at_(event_loop::now()), received_at_(sent_at_) {
        set_no_delay(socket);
        transport_ = bufferevent_socket_new(owner.loop_.native(), socket,
                                            BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(transport_, &on_read, &on_written, &on_event, this);
        bufferevent_enable(transport_, EV_READ | EV_WRITE);

        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &on_begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &on_stream_close);
        nghttp2_session_server_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        submit_settings(session_, owner.settings_.max_streams);
        flush();
    }

    ~connection() {
        nghttp2_session_del(session_);
        bufferevent_free(transport_);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] std::size_t open_requests() const {
        std::size_t count = 0;
        for (const std::pair<const std::int32_t, stream>& entry : streams_) {
            count += entry.second.delivered && !entry.second.answered ? 1U : 0U;
        }
        return count;
    }

    /// True while a request has arrived in part, or the client may not have received all answers.
    [[nodiscard]] bool has_open_work() const {
        return !streams_.empty() || lingering_ || evbuffer_get_length(bufferevent_get_output(transport_)) > 0;
    }

    void refuse_incomplete() {
        for (const std::pair<const std::int32_t, stream>& entry : streams_) {
            if (!entry.second.delivered) {
                nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, entry.first, NGHTTP2_REFUSED_STREAM);
            }
        }
        flush();
    }

    /// Bytes of its requests and answers.
    [[nodiscard]] std::size_t held_bytes() const { return held_; }
    [[nodiscard]] bool has_incomplete() const {
        return std::any_of(
            streams_.begin(), streams_.end(),
            [](const std::pair<const std::int32_t, stream>& entry) { return !entry.second.delivered; });
    }
    /// True if answers wait and the client has read nothing for the time.
    [[nodiscard]] bool is_unread_for(duration limit) const {
        return evbuffer_get_length(bufferevent_get_output(transport_)) > 0 &&
               event_loop::now() - sent_at_ >= limit;
    }
    /// True if no request is in work, and none arrives in part unless its client has stopped sending it.
    [[nodiscard]] bool may_make_room(duration limit) const {
        const bool is_in_work = std::any_of(
            streams_.begin(), streams_.end(),
            [](const std::pair<const std::int32_t, stream>& entry) { return entry.second.delivered; });
        const bool has_stopped = event_loop::now() - received_at_ >= limit;
        return is_in_work ? is_unread_for(limit) : streams_.empty() || has_stopped;
    }
    /// Time of the last bytes of a client that has sent a request; the earliest time for another.
    [[nodiscard]] time_point quiet_since() const { return has_requested_ ? received_at_ : time_point::min(); }
    [[nodiscard]] connection_id id() const { return id_; }

    void send_shutdown_notice() {
        nghttp2_submit_shutdown_notice(session_);
        flush();
    }

    void send_goaway() {
        const std::int32_t last = nghttp2_session_get_last_proc_stream_id(session_);
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
        flush();
    }

    /// Marks the connection as gone; responders that are still held do nothing from now on.
    void detach() {
        hold(-static_cast<std::ptrdiff_t>(held_));
        closed_ = true;
        bufferevent_setcb(transport_, nullptr, nullptr, nullptr, nullptr);
    }

private:
    struct stream {
        request received;
        body_source body;
        bool too_large = false;
        bool delivered = false;
        bool answered = false;
        std::size_t held = 0;
    };

    /// Changes the bytes that a stream holds.
    void hold(stream& holder, std::ptrdiff_t change) {
        holder.held += static_cast<std::size_t>(change);
        hold(change);
    }
    void hold(std::ptrdiff_t change) {
        if (closed_) {
            // The owner may be gone.
            return;
        }
        held_ += static_cast<std::size_t>(change);
        owner_.held_bytes_ += static_cast<std::size_t>(change);
    }

    static connection& from(void* user_data) { return *static_cast<connection*>(user_data); }

    static void on_read(bufferevent* /*transport*/, void* user_data) { from(user_data).receive(); }

    static void on_written(bufferevent* /*transport*/, void* user_data) {
        from(user_data).sent_at_ = event_loop::now();
        from(user_data).flush();
    }

    static void on_event(bufferevent* /*transport*/, short events, void* user_data) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            connection& self = from(user_data);
            self.owner_.remove(self.id_);
        }
    }

    static int on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data) {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            connection& self = from(user_data);
            self.has_requested_ = true;
            self.hold(self.streams_[frame->hd.stream_id], stream_overhead_bytes);
        }
        return 0;
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t /*flags*/, void* user_data) {
        connection& self = from(user_data);
        const std::map<std::int32_t, stream>::iterator found = self.streams_.find(frame->hd.stream_id);
        if (found == self.streams_.end()) {
            return 0;
        }
        const std::string_view field = view_of(name, name_length);
        if (field == ":method") {
            found->second.received.method = std::string{view_of(value, value_length)};
        } else if (field == ":path") {
            self.hold(found->second, static_cast<std::ptrdiff_t>(value_length));
            found->second.received.path = std::string{view_of(value, value_length)};
        }
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream_id,
                       const std::uint8_t* data, std::size_t length, void* user_data) {
        connection& self = from(user_data);
        const std::map<std::int32_t, stream>::iterator found = self.streams_.find(stream_id);
        if (found == self.streams_.end()) {
            return 0;
        }
        std::string& body = found->second.received.body;
        if (body.size() + length > self.owner_.settings_.max_body_bytes) {
            found->second.too_large = true;
        } else {
            self.hold(found->second, static_cast<std::ptrdiff_t>(length));
            body.append(view_of(data, length));
        }
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data) {
        const bool carries_request = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_request && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            from(user_data).complete_.push_back(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream_id,
                               std::uint32_t /*error_code*/, void* user_data) {
        connection& self = from(user_data);
        const std::map<std::int32_t, stream>::iterator found = self.streams_.find(stream_id);
        if (found != self.streams_.end()) {
            self.hold(found->second, -static_cast<std::ptrdiff_t>(found->second.held));
            self.streams_.erase(found);
        }
        return 0;
    }

    void receive() {
        if (lingering_) {
            evbuffer* input = bufferevent_get_input(transport_);
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        received_at_ = event_loop::now();
        const std::shared_ptr<connection> keep = shared_from_this();
        const std::int64_t count = receive_into(session_, transport_);
        if (count < 0) {
            owner_.remove(id_);
            return;
        }
        owner_.bytes_received_ += static_cast<std::uint64_t>(count);
        // Requests are handled after nghttp2 has returned: handlers may close this connection.
        const std::vector<std::int32_t> complete = std::exchange(complete_, {});
        for (const std::int32_t stream_id : complete) {
            if (closed_) {
                return;
            }
            deliver(stream_id);
        }
        flush();
        owner_.release_excess();
    }

    void deliver(std::int32_t stream_id) {
        const std::map<std::int32_t, stream>::iterator found = streams_.find(stream_id);
        if (found == streams_.end()) {
            return;
        }
        found->second.delivered = true;
        if (found->second.too_large) {
            answer(stream_id, response{status_payload_too_large, {}});
            return;
        }
        const std::weak_ptr<connection> self = weak_from_this();
        const responder respond = [self, stream_id](response reply) {
            const std::shared_ptr<connection> target = self.lock();
            if (target != nullptr && !target->closed_) {
                target->answer(stream_id, std::move(reply));
            }
        };
        const request received = std::move(found->second.received);
        owner_.on_request(id_, received, respond);
    }

    void answer(std::int32_t stream_id, response reply) {
        const std::map<std::int32_t, stream>::iterator found = streams_.find(stream_id);
        if (found == streams_.end() || found->second.answered) {
            return;
        }
        found->second.answered = true;
        hold(found->second, static_cast<std::ptrdiff_t>(reply.body.size()));
        found->second.body.bytes = std::move(reply.body);
        const std::string status = fmt::format("{}", reply.status);
        const std::array<nghttp2_nv, 2> headers{header_field(":status", status),
                                                header_field("content-type", "application/json")};
        const nghttp2_data_provider provider = found->second.body.provider();
        nghttp2_submit_response(session_, stream_id, headers.data(), headers.size(), &provider);
        flush();
    }

    void flush() {
        if (closed_ || flushing_) {
            return;
        }
        flushing_ = true;
        if (evbuffer_get_length(bufferevent_get_output(transport_)) == 0) {
            sent_at_ = event_loop::now();
        }
        const std::int64_t count = send_from(session_, transport_);
        flushing_ = false;
        const bool finished =
            nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
        if (count > 0) {
            owner_.bytes_sent_ += static_cast<std::uint64_t>(count);
        }
        // on_written() comes here again when the system has taken the rest of the last answers.
        const bool is_sent = evbuffer_get_length(bufferevent_get_output(transport_)) == 0;
        if (count < 0) {
            schedule_removal(std::chrono::milliseconds{1});
        } else if (finished && is_sent && !lingering_) {
            linger();
        }
    }

    /// Ends the sending side and waits for the client to close: input that arrives at a closed socket resets
    /// the connection, and the client loses what it has not read yet.
    void linger() {
        lingering_ = true;
        ::shutdown(bufferevent_getfd(transport_), SHUT_WR);
        schedule_removal(linger_limit);
    }

    /// Deferred, so that callers of flush() stay valid.
    void schedule_removal(duration delay) {
        const std::weak_ptr<connection> self = weak_from_this();
        owner_.loop_.run_after(delay, [self] {
            const std::shared_ptr<connection> target = self.lock();
            if (target != nullptr && !target->closed_) {
                target->owner_.remove(target->id_);
            }
        });
    }

    server& owner_;
    connection_id id_;
    bufferevent* transport_ = nullptr;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream> streams_;
    std::vector<std::int32_t> complete_;
    std::size_t held_ = 0;
    time_point sent_at_;
    time_point received_at_;
    bool has_requested_ = false;
    bool closed_ = false;
    bool flushing_ = false;
    bool lingering_ = false;
};

server::server(event_loop& loop, const server_settings& settings) : loop_(loop), settings_(settings) {}

server::~server() {
    on_close = nullptr;
    for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : connections_) {
        entry.second->detach();
    }
    connections_.clear();
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

bool server::listen(error& reason) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings_.listen.port);
    inet_pton(AF_INET, settings_.listen.address.c_str(), &address.sin_addr);
    const evconnlistener_cb on_accept = [](evconnlistener* /*listener*/, evutil_socket_t socket,
                                           sockaddr* /*peer*/, int /*length*/, void* user_data) {
        static_cast<server*>(user_data)->accept(socket);
    };
    listener_ = evconnlistener_new_bind(loop_.native(), on_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr) {
        reason = error{error_code::bind_failed, "listen", settings_.listen.to_string(),
                       "an address of this host with a free port"};
        return false;
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &length);
    port_ = ntohs(bound.sin_port);
    return true;
}

void server::accept(int socket) {
    if (connections_.size() >= settings_.max_connections) {
        ++limited_connections_;
        if (!remove_quietest()) {
            ::close(socket);
            return;
        }
    }
    const connection_id id = next_id_++;
    connections_.emplace(id, std::make_shared<connection>(*this, id, socket));
    if (on_open) {
        on_open(id);
    }
}

void server::remove(connection_id id) {
    const std::map<connection_id, std::shared_ptr<connection>>::iterator found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<connection> removed = found->second;
    connections_.erase(found);
    removed->detach();
    if (on_close) {
        on_close(id);
    }
    // Freed from the loop: the connection may be on the call stack.
    loop_.run_after(duration{0}, [removed] {});
}

bool server::remove_quietest() {
    std::shared_ptr<connection> quietest;
    for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : connections_) {
        if (entry.second->may_make_room(settings_.stall_limit) &&
            (quietest == nullptr || entry.second->quiet_since() < quietest->quiet_since())) {
            quietest = entry.second;
        }
    }
    if (quietest != nullptr) {
        remove(quietest->id());
    }
    return quietest != nullptr;
}

void server::release_excess() {
    while (held_bytes_ > settings_.max_held_bytes) {
        std::shared_ptr<connection> largest;
        for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : connections_) {
            const bool may_release =
                entry.second->has_incomplete() || entry.second->is_unread_for(settings_.stall_limit);
            if (may_release && (largest == nullptr || entry.second->held_bytes() > largest->held_bytes())) {
                largest = entry.second;
            }
        }
        if (largest == nullptr) {
            // What is held belongs to requests in work and to answers that are being read.
            return;
        }
        const std::size_t held = held_bytes_;
        if (largest->has_incomplete()) {
            ++limited_requests_;
            largest->refuse_incomplete();
        }
        if (held_bytes_ == held) {
            ++limited_connections_;
            remove(largest->id());
        }
    }
}

void server::close(connection_id id) {
    remove(id);
}

void server::stop_accepting() {
    if (listener_ == nullptr) {
        return;
    }
    // The system resets the connections that are still in the backlog when the socket is closed.
    const int listening = evconnlistener_get_fd(listener_);
    for (int socket = next_in_backlog(listening); socket >= 0; socket = next_in_backlog(listening)) {
        accept(socket);
    }
    evconnlistener_free(listener_);
    listener_ = nullptr;
}

void server::shut_down() {
    if (shutting_down_) {
        return;
    }
    shutting_down_ = true;
    stop_accepting();
    for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : connections_) {
        entry.second->send_shutdown_notice();
    }
    // Requests sent before the notice arrived are still accepted until the final GOAWAY.
    goaway_timer_ = loop_.call_after(settings_.goaway_delay, [this] {
        const std::map<connection_id, std::shared_ptr<connection>> remaining = connections_;
        for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : remaining) {
            entry.second->send_goaway();
        }
        final_goaway_sent_ = true;
    });
}

void server::refuse_incomplete() {
    const std::map<connection_id, std::shared_ptr<connection>> current = connections_;
    for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : current) {
        entry.second->refuse_incomplete();
    }
}

bool server::is_shut_down() const {
    return final_goaway_sent_ &&
           std::none_of(connections_.begin(), connections_.end(),
                        [](const std::pair<const connection_id, std::shared_ptr<connection>>& entry) {
                            return entry.second->has_open_work();
                        });
}

std::size_t server::open_requests() const {
    std::size_t count = 0;
    for (const std::pair<const connection_id, std::shared_ptr<connection>>& entry : connections_) {
        count += entry.second->open_requests();
    }
    return count;
}

} // namespace gentianhill::http2
