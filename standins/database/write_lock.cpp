#include "standins/database/write_lock.h"

#include <cassert>
#include <utility>

namespace gentianhill::standins {

bool write_lock::is_free_for(lock_mode mode) const {
    return !exclusive_ && (mode == lock_mode::shared || shared_count_ == 0);
}

void write_lock::take(lock_mode mode) {
    if (mode == lock_mode::exclusive) {
        exclusive_ = true;
    } else {
        ++shared_count_;
    }
}

void write_lock::acquire(http2::connection_id owner, lock_mode mode, handler on_result) {
    if (waiting_.empty() && is_free_for(mode)) {
        take(mode);
        on_result(true);
        return;
    }
    waiting_.push_back(waiting_request{owner, mode, std::move(on_result), timer{}});
    const std::list<waiting_request>::iterator position = std::prev(waiting_.end());
    position->expiry = loop_.call_after(longest_wait_, [this, position] {
        const handler expired = std::move(position->on_result);
        waiting_.erase(position);
        expired(false);
        // A request that waited behind the expired one may be compatible with the current holders.
        grant_waiting();
    });
}

void write_lock::release(lock_mode mode) {
    if (mode == lock_mode::exclusive) {
        assert(exclusive_);
        exclusive_ = false;
    } else {
        assert(shared_count_ > 0);
        --shared_count_;
    }
    grant_waiting();
}

void write_lock::drop(http2::connection_id owner) {
    waiting_.remove_if([owner](const waiting_request& entry) { return entry.owner == owner; });
    grant_waiting();
}

void write_lock::grant_waiting() {
    // A handler that releases at once is served by the loop of the outer call.
    if (granting_) {
        return;
    }
    granting_ = true;
    while (!waiting_.empty() && is_free_for(waiting_.front().mode)) {
        const waiting_request next = std::move(waiting_.front());
        waiting_.pop_front();
        take(next.mode);
        next.on_result(true);
    }
    granting_ = false;
}

} // namespace gentianhill::standins
