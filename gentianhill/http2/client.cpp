#include "gentianhill/http2/client.h"

#include "gentianhill/http2/session_io.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace gentianhill::http2 {

namespace {

enum class link_state : std::uint8_t { idle, connecting, connected, closed };

std::string_view view_of(const std::uint8_t* data, std::size_t length) {
    return {reinterpret_cast<const char*>(data), length};
}

} // namespace

/// State of the connection; kept alive by callbacks on the stack while the client goes.
class client::connection : public std::enable_shared_from_this<client::connection> {
public:
    connection(event_loop& loop, const client_settings& settings) : loop_(loop), settings_(settings) {}

    ~connection() { release(); }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void connect() {
        if (state_ != link_state::idle) {
            return;
        }
        state_ = link_state::connecting;
        transport_ =
            bufferevent_socket_new(loop_.native(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(transport_, &on_read, nullptr, &on_event, this);
        bufferevent_enable(transport_, EV_READ | EV_WRITE);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(settings_.server.port);
        inet_pton(AF_INET, settings_.server.address.c_str(), &address.sin_addr);
        const int started = bufferevent_socket_connect(
            transport_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (started != 0) {
            close_later();
            return;
        }
        const std::weak_ptr<connection> self = weak_from_this();
        connect_timer_ = loop_.call_after(settings_.connect_timeout, [self] {
            const std::shared_ptr<connection> target = self.lock();
            if (target != nullptr && target->state_ == link_state::connecting) {
                target->close();
            }
        });
    }

    void send(request message, duration timeout, result_handler on_result) {
        const std::uint64_t id = next_id_++;
        exchange& created = exchanges_[id];
        created.message = std::move(message);
        created.on_result = std::move(on_result);
        created.patience = timeout;
        created.last_deadline = event_loop::now() + timeout + settings_.arrival_limit;
        await(id, timeout);
        const std::weak_ptr<connection> self = weak_from_this();
        if (state_ == link_state::closed || refusing_) {
            // Reported from the loop, never from within send().
            loop_.run_after(duration{0}, [self, id] {
                const std::shared_ptr<connection> target = self.lock();
                if (target != nullptr) {
                    target->finish(id, std::nullopt, error_code::connect_failed);
                }
            });
            return;
        }
        connect();
        if (state_ == link_state::connected) {
            submit(id);
            flush();
        } else {
            waiting_.push_back(id);
        }
    }

    void close() {
        if (state_ == link_state::closed) {
            return;
        }
        state_ = link_state::closed;
        connect_timer_.cancel();
        const std::shared_ptr<connection> keep = shared_from_this();
        if (transport_ != nullptr) {
            bufferevent_setcb(transport_, nullptr, nullptr, nullptr, nullptr);
            bufferevent_disable(transport_, EV_READ | EV_WRITE);
        }
        // Requests that never reached a stream were not sent; the rest may have been processed.
        std::vector<std::pair<std::uint64_t, bool>> open;
        for (const std::pair<const std::uint64_t, exchange>& entry : exchanges_) {
            open.emplace_back(entry.first, entry.second.stream_id > 0);
        }
        for (const std::pair<std::uint64_t, bool>& entry : open) {
            finish(entry.first, std::nullopt,
                   entry.second ? error_code::connection_lost : error_code::connect_failed);
        }
        if (on_close) {
            const std::function<void()> notify = std::exchange(on_close, nullptr);
            notify();
        }
        loop_.run_after(duration{0}, [keep] { keep->release(); });
    }

    [[nodiscard]] link_state state() const { return state_; }
    [[nodiscard]] bool is_refusing() const { return refusing_; }
    [[nodiscard]] std::size_t open_requests() const { return exchanges_.size(); }

    std::function<void()> on_close;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_sent = 0;

private:
    struct exchange {
        request message;
        body_source body;
        response received;
        bool too_large = false;
        bool ended = false;
        std::int32_t stream_id = 0;
        timer timeout;
        duration patience{0};
        time_point last_deadline;
        /// Bytes of the body at the last check of the timeout.
        std::size_t checked_bytes = 0;
        result_handler on_result;
    };

    static connection& from(void* user_data) { return *static_cast<connection*>(user_data); }

    static void on_read(bufferevent* /*transport*/, void* user_data) {
        connection& self = from(user_data);
        const std::shared_ptr<connection> keep = self.shared_from_this();
        const std::int64_t count = receive_into(self.session_, self.transport_);
        if (count < 0) {
            self.close();
            return;
        }
        self.bytes_received += static_cast<std::uint64_t>(count);
        self.deliver_finished();
        self.flush();
    }

    static void on_event(bufferevent* /*transport*/, short events, void* user_data) {
        connection& self = from(user_data);
        const std::shared_ptr<connection> keep = self.shared_from_this();
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            self.established();
            return;
        }
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            self.close();
        }
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t /*flags*/, void* user_data) {
        exchange* found = from(user_data).find_stream(frame->hd.stream_id);
        if (found != nullptr && view_of(name, name_length) == ":status") {
            const std::string_view text = view_of(value, value_length);
            std::from_chars(text.data(), text.data() + text.size(), found->received.status);
        }
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream_id,
                       const std::uint8_t* data, std::size_t length, void* user_data) {
        connection& self = from(user_data);
        exchange* found = self.find_stream(stream_id);
        if (found == nullptr) {
            return 0;
        }
        if (found->received.body.size() + length > self.settings_.max_body_bytes) {
            found->too_large = true;
        } else {
            found->received.body.append(view_of(data, length));
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream_id, std::uint32_t code,
                               void* user_data) {
        connection& self = from(user_data);
        const std::map<std::int32_t, std::uint64_t>::iterator found = self.streams_.find(stream_id);
        if (found != self.streams_.end()) {
            self.finished_.emplace_back(found->second, code);
            self.streams_.erase(found);
        }
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data) {
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            from(user_data).refusing_ = true;
            return 0;
        }
        const bool carries_response = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_response && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            exchange* found = from(user_data).find_stream(frame->hd.stream_id);
            if (found != nullptr) {
                found->ended = true;
            }
        }
        return 0;
    }

    void established() {
        state_ = link_state::connected;
        connect_timer_.cancel();
        set_no_delay(bufferevent_getfd(transport_));
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &on_data);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &on_stream_close);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &on_frame);
        nghttp2_session_client_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        constexpr std::uint32_t no_pushed_streams = 0;
        submit_settings(session_, no_pushed_streams);
        const std::deque<std::uint64_t> waiting = std::exchange(waiting_, {});
        for (const std::uint64_t id : waiting) {
            submit(id);
        }
        flush();
    }

    exchange* find_stream(std::int32_t stream_id) {
        const std::map<std::int32_t, std::uint64_t>::iterator found = streams_.find(stream_id);
        if (found == streams_.end()) {
            return nullptr;
        }
        const std::map<std::uint64_t, exchange>::iterator entry = exchanges_.find(found->second);
        return entry == exchanges_.end() ? nullptr : &entry->second;
    }

    void submit(std::uint64_t id) {
        const std::map<std::uint64_t, exchange>::iterator found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        exchange& created = found->second;
        created.body.bytes = std::move(created.message.body);
        const std::string authority = settings_.server.to_string();
        const std::array<nghttp2_nv, 5> headers{
            header_field(":method", created.message.method), header_field(":scheme", "http"),
            header_field(":authority", authority), header_field(":path", created.message.path),
            header_field("content-type", "application/json")};
        const nghttp2_data_provider provider = created.body.provider();
        const bool has_body = !created.body.bytes.empty();
        const std::int32_t stream_id = nghttp2_submit_request(
            session_, nullptr, headers.data(), headers.size(), has_body ? &provider : nullptr, nullptr);
        if (stream_id < 0) {
            finished_.emplace_back(id, NGHTTP2_REFUSED_STREAM);
            return;
        }
        created.stream_id = stream_id;
        streams_.emplace(stream_id, id);
    }

    void deliver_finished() {
        const std::vector<std::pair<std::uint64_t, std::uint32_t>> finished = std::exchange(finished_, {});
        for (const std::pair<std::uint64_t, std::uint32_t>& entry : finished) {
            deliver(entry.first, entry.second);
        }
    }

    void deliver(std::uint64_t id, std::uint32_t stream_error) {
        const std::map<std::uint64_t, exchange>::iterator found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        const bool has_begun = found->second.received.status != 0;
        if (stream_error == NGHTTP2_REFUSED_STREAM && !has_begun) {
            finish(id, std::nullopt, error_code::request_refused);
        } else if (stream_error != NGHTTP2_NO_ERROR || !found->second.ended || !has_begun) {
            // A stream that is reset before its end may carry NO_ERROR as well.
            finish(id, std::nullopt, error_code::connection_lost);
        } else if (found->second.too_large) {
            finish(id, std::nullopt, error_code::too_large);
        } else {
            finish(id, std::move(found->second.received), error_code::none);
        }
    }

    void await(std::uint64_t id, duration timeout) {
        const std::weak_ptr<connection> self = weak_from_this();
        exchanges_.at(id).timeout = loop_.call_after(timeout, [self, id] {
            const std::shared_ptr<connection> target = self.lock();
            if (target != nullptr) {
                target->time_out(id);
            }
        });
    }

    /// Ends an exchange, unless more of its answer has arrived since the last check.
    void time_out(std::uint64_t id) {
        const std::map<std::uint64_t, exchange>::iterator found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        exchange& checked = found->second;
        const duration left = checked.last_deadline - event_loop::now();
        if (checked.received.body.size() > checked.checked_bytes && left > duration(0)) {
            checked.checked_bytes = checked.received.body.size();
            await(id, std::min(checked.patience, left));
            return;
        }
        const std::int32_t stream_id = found->second.stream_id;
        const bool sent = stream_id > 0;
        if (sent && state_ == link_state::connected) {
            // The exchange, and with it the body, is erased only after nghttp2 has dropped the stream.
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_CANCEL);
            flush();
        }
        // Tells an answer that was still arriving from a server that is silent.
        const std::string state = fmt::format("{} bytes received", found->second.received.body.size());
        finish(id, std::nullopt, sent ? error_code::timed_out : error_code::connect_failed,
               sent ? state : "");
    }

    void finish(std::uint64_t id, std::optional<response> reply, error_code code,
                const std::string& detail = {}) {
        const std::map<std::uint64_t, exchange>::iterator found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        const result_handler on_result = std::move(found->second.on_result);
        streams_.erase(found->second.stream_id);
        exchanges_.erase(found);
        error reason;
        if (code != error_code::none) {
            reason = error{code, "server", settings_.server.to_string(), detail};
        }
        on_result(std::move(reply), reason);
    }

    void flush() {
        if (state_ != link_state::connected) {
            return;
        }
        const std::int64_t count = send_from(session_, transport_);
        if (count > 0) {
            bytes_sent += static_cast<std::uint64_t>(count);
        }
        const bool finished =
            nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
        if (count < 0 || finished || !finished_.empty()) {
            const std::weak_ptr<connection> self = weak_from_this();
            const bool broken = count < 0 || finished;
            loop_.run_after(duration{0}, [self, broken] {
                const std::shared_ptr<connection> target = self.lock();
                if (target != nullptr) {
                    target->deliver_finished();
                    if (broken) {
                        target->close();
                    }
                }
            });
        }
    }

    void close_later() {
        const std::weak_ptr<connection> self = weak_from_this();
        loop_.run_after(duration{0}, [self] {
            const std::shared_ptr<connection> target = self.lock();
            if (target != nullptr) {
                target->close();
            }
        });
    }

    void release() {
        if (session_ != nullptr) {
            nghttp2_session_del(session_);
            session_ = nullptr;
        }
        if (transport_ != nullptr) {
            bufferevent_free(transport_);
            transport_ = nullptr;
        }
    }

    event_loop& loop_;
    client_settings settings_;
    link_state state_ = link_state::idle;
    bool refusing_ = false;
    bufferevent* transport_ = nullptr;
    nghttp2_session* session_ = nullptr;
    timer connect_timer_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, exchange> exchanges_;
    std::map<std::int32_t, std::uint64_t> streams_;
    std::deque<std::uint64_t> waiting_;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> finished_;
};

client::client(event_loop& loop, const client_settings& settings)
    : connection_(std::make_shared<connection>(loop, settings)) {
    connection_->on_close = [this] {
        if (on_close) {
            const std::function<void()> notify = std::exchange(on_close, nullptr);
            notify();
        }
    };
}

client::~client() {
    connection_->on_close = nullptr;
    connection_->close();
}

void client::connect() {
    connection_->connect();
}

void client::send(request message, duration timeout, result_handler on_result) {
    connection_->send(std::move(message), timeout, std::move(on_result));
}

void client::close() {
    connection_->close();
}

bool client::is_connected() const {
    return connection_->state() == link_state::connected;
}

bool client::is_closed() const {
    return connection_->state() == link_state::closed || connection_->is_refusing();
}

std::size_t client::open_requests() const {
    return connection_->open_requests();
}

std::uint64_t client::bytes_received() const {
    return connection_->bytes_received;
}

std::uint64_t client::bytes_sent() const {
    return connection_->bytes_sent;
}

} // namespace gentianhill::http2
