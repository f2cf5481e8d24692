#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/server.h"

#include <cstddef>
#include <functional>
#include <list>

namespace gentianhill::standins {

/// How a change holds the lock.
enum class lock_mode : std::uint8_t {
    /// A batch; batches may wait for their slots side by side.
    shared,
    /// A transaction, from begin to commit or rollback.
    exclusive,
};

/// Keeps batches out while a transaction is open. Granted in order of arrival with a bounded wait.
class write_lock {
public:
    /// Receives whether the lock was granted in time.
    using handler = std::function<void(bool)>;

    /// Requests wait for at most `longest_wait`. The loop must outlive the lock.
    write_lock(event_loop& loop, duration longest_wait) : loop_(loop), longest_wait_(longest_wait) {}

    /// Calls the handler once, at once if the lock is free for this mode.
    void acquire(http2::connection_id owner, lock_mode mode, handler on_result);
    /// Gives back what was granted.
    void release(lock_mode mode);
    /// Forgets the waiting requests of a connection that has gone.
    void drop(http2::connection_id owner);
    /// Requests that wait.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_request {
        http2::connection_id owner = 0;
        lock_mode mode = lock_mode::shared;
        handler on_result;
        timer expiry;
    };

    [[nodiscard]] bool is_free_for(lock_mode mode) const;
    void take(lock_mode mode);
    void grant_waiting();

    event_loop& loop_;
    duration longest_wait_;
    std::size_t shared_count_ = 0;
    bool exclusive_ = false;
    bool granting_ = false;
    std::list<waiting_request> waiting_;
};

} // namespace gentianhill::standins
