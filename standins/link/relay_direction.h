#pragma once

#include "gentianhill/core/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

struct bufferevent;

namespace gentianhill::standins {

/// Bytes on their way from one socket to another.
class relay_direction {
public:
    /// Both sockets must outlive the direction.
    relay_direction(event_loop& loop, bufferevent* from, bufferevent* to)
        : loop_(loop), from_(from), to_(to) {}

    /// Called when the sender has closed and everything it sent has left; may destroy this object.
    std::function<void()> on_finished;

    /// Lets bytes pass or holds them; the sender notices nothing while they are held.
    void set_open(bool open);
    /// Takes what has arrived and passes it on after the delay, at the rate in bytes per second; 0 for no
    /// limit.
    void receive(duration delay, std::int64_t bytes_per_s);
    /// The sender has closed.
    void end();
    /// The receiver has taken what was written to it.
    void drained();

private:
    struct chunk {
        std::string bytes;
        time_point due;
    };

    void pass_due();
    void finish_if_empty();
    void update_reading();

    event_loop& loop_;
    bufferevent* from_;
    bufferevent* to_;
    bool open_ = true;
    bool ended_ = false;
    std::size_t queued_bytes_ = 0;
    std::deque<chunk> queue_;
    /// Time at which the link has passed all bytes before.
    time_point free_at_;
    timer next_;
};

} // namespace gentianhill::standins
