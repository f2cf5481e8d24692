#include "standins/database/connection_gate.h"

#include <algorithm>
#include <utility>

namespace gentianhill::standins {

void connection_gate::enter(http2::connection_id id, handler proceed) {
    std::map<http2::connection_id, entered_connection>::iterator found = connections_.find(id);
    if (found == connections_.end()) {
        found = connections_.try_emplace(id).first;
        if (counted_ >= limit_) {
            found->second.verdict = gate_verdict::over_limit;
            found->second.ready = true;
            ++refusals_;
        } else {
            ++counted_;
            max_seen_ = std::max(max_seen_, counted_);
            found->second.ready_timer = loop_.call_after(connect_cost_, [this, id] { open(id); });
        }
    }
    if (found->second.ready) {
        proceed(found->second.verdict);
    } else {
        found->second.waiting.push_back(std::move(proceed));
    }
}

void connection_gate::open(http2::connection_id id) {
    const std::map<http2::connection_id, entered_connection>::iterator found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    found->second.ready = true;
    // A handler may close the connection, which removes its entry.
    const std::deque<handler> waiting = std::exchange(found->second.waiting, {});
    for (const handler& proceed : waiting) {
        proceed(gate_verdict::admitted);
    }
}

void connection_gate::leave(http2::connection_id id) {
    const std::map<http2::connection_id, entered_connection>::iterator found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    if (found->second.verdict == gate_verdict::admitted) {
        --counted_;
    }
    connections_.erase(found);
}

} // namespace gentianhill::standins
