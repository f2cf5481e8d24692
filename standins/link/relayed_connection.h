#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/event_loop.h"
#include "standins/link/link_state.h"
#include "standins/link/relay_direction.h"

#include <functional>

namespace gentianhill::standins {

/// One accepted connection and its counterpart to the target.
class relayed_connection {
public:
    /// Takes over the accepted socket and connects to the target. The references must outlive this object.
    relayed_connection(event_loop& loop, int accepted, const endpoint& target, const link_state& state);
    ~relayed_connection();
    relayed_connection(const relayed_connection&) = delete;
    relayed_connection& operator=(const relayed_connection&) = delete;

    /// Called once when either side has closed; the owner is to destroy this object from the loop.
    std::function<void()> on_close;

    /// Applies a changed state of the link.
    void state_changed();

private:
    static void on_read(bufferevent* transport, void* self);
    static void on_write(bufferevent* transport, void* self);
    static void on_event(bufferevent* transport, short events, void* self);
    [[nodiscard]] relay_direction& from(const bufferevent* transport);
    [[nodiscard]] relay_direction& towards(const bufferevent* transport);
    void finished();

    const link_state& state_;
    bufferevent* near_;
    bufferevent* far_;
    relay_direction forward_;
    relay_direction backward_;
    bool closed_ = false;
};

} // namespace gentianhill::standins
