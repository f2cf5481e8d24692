#include "standins/link/relayed_connection.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianhill::standins {

namespace {

bufferevent* new_transport(event_loop& loop, int socket) {
    return bufferevent_socket_new(loop.native(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
}

void set_no_delay(int socket) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace

relayed_connection::relayed_connection(event_loop& loop, int accepted, const endpoint& target,
                                       const link_state& state)
    : state_(state),
      near_(new_transport(loop, accepted)),
      far_(new_transport(loop, -1)),
      forward_(loop, near_, far_),
      backward_(loop, far_, near_) {
    set_no_delay(accepted);
    for (bufferevent* transport : {near_, far_}) {
        bufferevent_setcb(transport, &on_read, &on_write, &on_event, this);
        bufferevent_enable(transport, EV_WRITE);
    }
    forward_.on_finished = [this] { finished(); };
    backward_.on_finished = [this] { finished(); };
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
    bufferevent_socket_connect(far_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    state_changed();
}

relayed_connection::~relayed_connection() {
    bufferevent_free(near_);
    bufferevent_free(far_);
}

void relayed_connection::state_changed() {
    forward_.set_open(state_.forward);
    backward_.set_open(state_.backward);
}

relay_direction& relayed_connection::from(const bufferevent* transport) {
    return transport == near_ ? forward_ : backward_;
}

relay_direction& relayed_connection::towards(const bufferevent* transport) {
    return transport == near_ ? backward_ : forward_;
}

void relayed_connection::on_read(bufferevent* transport, void* self) {
    relayed_connection* target = static_cast<relayed_connection*>(self);
    target->from(transport).receive(target->state_.delay, target->state_.bytes_per_s);
}

void relayed_connection::on_write(bufferevent* transport, void* self) {
    static_cast<relayed_connection*>(self)->towards(transport).drained();
}

void relayed_connection::on_event(bufferevent* transport, short events, void* self) {
    relayed_connection* target = static_cast<relayed_connection*>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        set_no_delay(bufferevent_getfd(transport));
    } else if ((events & BEV_EVENT_ERROR) != 0) {
        target->finished();
    } else if ((events & BEV_EVENT_EOF) != 0) {
        target->from(transport).end();
    }
}

void relayed_connection::finished() {
    if (closed_) {
        return;
    }
    closed_ = true;
    for (bufferevent* transport : {near_, far_}) {
        bufferevent_setcb(transport, nullptr, nullptr, nullptr, nullptr);
    }
    on_close();
}

} // namespace gentianhill::standins
