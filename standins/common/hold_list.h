#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/server.h"

#include <cstddef>
#include <functional>
#include <list>

namespace gentianhill::standins {

/// Requests that are held until a condition is met or their time has passed.
class hold_list {
public:
    /// The loop must outlive the list.
    explicit hold_list(event_loop& loop) : loop_(loop) {}

    /// Calls `answer` once: now if `is_due` is true or `wait` is zero, else from wake() or after `wait`.
    void hold(http2::connection_id connection, duration wait, std::function<bool()> is_due,
              std::function<void()> answer);
    /// Answers the requests whose condition is met.
    void wake();
    /// Forgets the requests of a connection that has gone.
    void drop(http2::connection_id connection);
    /// Forgets all requests; they are never answered.
    void clear() { held_.clear(); }
    /// Requests held now.
    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    struct held_request {
        http2::connection_id connection = 0;
        std::function<bool()> is_due;
        std::function<void()> answer;
        timer expiry;
    };

    event_loop& loop_;
    std::list<held_request> held_;
};

} // namespace gentianhill::standins
