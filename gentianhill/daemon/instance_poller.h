#pragma once

#include "gentianhill/daemon/instance_gateway.h"

#include <functional>
#include <memory>

namespace gentianhill {

/// How urgently the state of an instance is needed.
enum class poll_urgency : std::uint8_t {
    /// Nothing waits: one probe per probe interval.
    idle,
    /// Requests wait for a position: a long poll is kept open, which answers when the position moves.
    position,
    /// Requests wait for a fresh report: short polls in quick succession.
    fresh,
};

/// Keeps the reports of one instance as fresh as the requests of this daemon need, and no fresher: idle
/// polling at a high rate would not fit the control budget of 3 KB/s.
class instance_poller {
public:
    /// `urgency` is asked before each poll; `known` returns the newest report, or null.
    instance_poller(daemon_context& context, instance_gateway& gateway, std::function<poll_urgency()> urgency,
                    std::function<const instance_report*()> known);

    /// Starts polling.
    void start();
    /// Polls at once if the urgency asks for more than the open or scheduled poll.
    void wake();

private:
    void poll();
    void schedule_next();

    daemon_context& context_;
    instance_gateway& gateway_;
    std::function<poll_urgency()> urgency_;
    std::function<const instance_report*()> known_;
    timer next_;
    bool open_ = false;
    poll_urgency open_urgency_ = poll_urgency::idle;
    bool fresh_open_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
