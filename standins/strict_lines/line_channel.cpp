#include "standins/strict_lines/line_channel.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianhill::standins {

line_channel::line_channel(event_base* base, int descriptor)
    : buffer_(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
    set_up();
}

line_channel::line_channel(event_base* base, std::uint16_t port)
    : buffer_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
    set_up();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&address), sizeof address);
}

line_channel::~line_channel() {
    end();
}

void line_channel::set_up() {
    bufferevent_setcb(buffer_, &line_channel::on_readable, &line_channel::on_sent, &line_channel::on_event,
                      this);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
    const int on = 1;
    const evutil_socket_t descriptor = bufferevent_getfd(buffer_);
    if (descriptor >= 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
}

void line_channel::end() {
    if (buffer_ != nullptr) {
        bufferevent_free(buffer_);
        buffer_ = nullptr;
    }
}

void line_channel::send(std::string_view bytes) {
    if (buffer_ != nullptr && !closing_) {
        bufferevent_write(buffer_, bytes.data(), bytes.size());
    }
}

void line_channel::close() {
    closing_ = true;
    if (buffer_ != nullptr && evbuffer_get_length(bufferevent_get_output(buffer_)) == 0) {
        end();
    }
}

void line_channel::on_readable(bufferevent* buffer, void* argument) {
    line_channel* self = static_cast<line_channel*>(argument);
    evbuffer* input = bufferevent_get_input(buffer);
    while (self->is_open() && !self->closing_) {
        std::size_t length = 0;
        char* line = evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF_STRICT);
        if (line == nullptr) {
            return;
        }
        std::string text(line, length);
        std::free(line);
        if (self->on_line) {
            self->on_line(std::move(text));
        }
    }
}

void line_channel::on_sent(bufferevent* /*buffer*/, void* argument) {
    line_channel* self = static_cast<line_channel*>(argument);
    if (self->closing_) {
        self->end();
    }
}

void line_channel::on_event(bufferevent* /*buffer*/, short what, void* argument) {
    line_channel* self = static_cast<line_channel*>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    self->end();
    if (!self->closing_ && self->on_end) {
        self->on_end();
    }
}

} // namespace gentianhill::standins
