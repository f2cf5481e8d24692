#include "standins/link/relay_direction.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace gentianhill::standins {

namespace {

// Reading pauses above this, so that a slow receiver slows its sender as on a direct connection.
constexpr std::size_t max_buffered_bytes = 1U << 20U;

/// Bytes that a link with a rate passes at once.
constexpr std::size_t packet_bytes = 1400;

std::size_t output_bytes(bufferevent* transport) {
    return evbuffer_get_length(bufferevent_get_output(transport));
}

} // namespace

void relay_direction::set_open(bool open) {
    open_ = open;
    if (open_) {
        pass_due();
    } else {
        next_.cancel();
        update_reading();
    }
}

void relay_direction::update_reading() {
    const bool reads = open_ && !ended_ && queued_bytes_ + output_bytes(to_) < max_buffered_bytes;
    if (reads) {
        bufferevent_enable(from_, EV_READ);
    } else {
        bufferevent_disable(from_, EV_READ);
    }
}

void relay_direction::receive(duration delay, std::int64_t bytes_per_s) {
    evbuffer* input = bufferevent_get_input(from_);
    const time_point now = event_loop::now();
    while (evbuffer_get_length(input) > 0) {
        const std::size_t length = bytes_per_s == 0 ? evbuffer_get_length(input)
                                                    : std::min(evbuffer_get_length(input), packet_bytes);
        chunk received{std::string(length, '\0'), now + delay};
        if (bytes_per_s > 0) {
            constexpr std::int64_t microseconds = 1'000'000;
            free_at_ = std::max(free_at_, now) +
                       duration(static_cast<std::int64_t>(length) * microseconds / bytes_per_s);
            received.due = free_at_ + delay;
        }
        evbuffer_remove(input, received.bytes.data(), length);
        queued_bytes_ += length;
        queue_.push_back(std::move(received));
    }
    pass_due();
}

void relay_direction::pass_due() {
    if (!open_) {
        return;
    }
    const time_point now = event_loop::now();
    while (!queue_.empty() && queue_.front().due <= now) {
        const std::string bytes = std::move(queue_.front().bytes);
        queue_.pop_front();
        queued_bytes_ -= bytes.size();
        bufferevent_write(to_, bytes.data(), bytes.size());
    }
    if (!queue_.empty()) {
        next_ = loop_.call_after(queue_.front().due - now, [this] { pass_due(); });
    }
    update_reading();
    finish_if_empty();
}

void relay_direction::end() {
    ended_ = true;
    finish_if_empty();
}

void relay_direction::drained() {
    update_reading();
    finish_if_empty();
}

void relay_direction::finish_if_empty() {
    if (ended_ && open_ && queue_.empty() && output_bytes(to_) == 0) {
        on_finished();
    }
}

} // namespace gentianhill::standins
