#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Rule that the limits of teams are kept under, and the timing of the shares that keep it.
struct quota_settings {
    /// Length of the sliding window in which the operations of a team are counted; zero when no limits are
    /// kept.
    duration window{0};
    /// Part by which the operations in a window may exceed the limit.
    double over = 0;
    /// Operations by which they may exceed it besides.
    double slack = 0;
    /// Validity of tokens at a daemon, counted from its request. Tokens count against the capacity of the
    /// share for that long, so it is a fraction of the time in which a burst is spent.
    duration grant_life = std::chrono::milliseconds(500);
    /// Validity of the shares of a counter, counted from its request. It covers the change of the allocator:
    /// its tenure, and the time to notice its end. Below the window, so that a lower limit holds one window
    /// after it was put in force.
    duration share_lease = std::chrono::milliseconds(4500);
    /// Validity of the claim to allocate, counted from the write that confirmed it. Covers a lost answer of
    /// the store (1.2 s) besides the renewal.
    duration claim_tenure = std::chrono::milliseconds(3000);
    /// Pause between renewals of the claim; each is a call to the store.
    duration claim_renewal = std::chrono::milliseconds(1000);
    /// Pause between requests of a counter to the allocator while nothing changes.
    duration share_interval = std::chrono::milliseconds(400);
    /// The same after a change of demand, or when a share is to be lowered.
    duration short_share_interval = std::chrono::milliseconds(100);
    /// Time ahead for which a daemon asks for tokens.
    duration ahead = std::chrono::milliseconds(250);
    /// Longest wait of an operation for tokens; a small part of a usual latency objective.
    duration max_wait = std::chrono::milliseconds(200);
    /// Longest wait while no counter has a share, such as after a restart of all daemons.
    duration max_unassigned_wait = std::chrono::milliseconds(400);
    /// Timeout of a request to a counter, in the own zone. A host whose share of a core is used up pauses for
    /// up to 100 ms.
    duration counter_timeout = std::chrono::milliseconds(120);
    /// Timeout of a request to the allocator, in any zone.
    duration allocator_timeout = std::chrono::milliseconds(250);
    /// Time for which a daemon that did not answer is left alone.
    duration failure_pause = std::chrono::milliseconds(1000);
};

} // namespace gentianhill
