#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Time for which a proxy may take the primary it knows for the only one.
///
/// A promotion fences every replica first, and then waits for `window` before it takes effect. So an answer
/// of a replica that was not fenced, to a question sent at s, shows that no promotion takes effect before s +
/// window. Needs no clock but this process's own; on a clock that counts suspended time a woken host trusts
/// nothing.
class primary_trust {
public:
    explicit primary_trust(duration window) : window_(window) {}

    /// Records that some replica was not fenced at or after `sent_at`.
    void confirm(time_point sent_at) {
        if (!confirmed_ || *confirmed_ < sent_at) {
            confirmed_ = sent_at;
        }
    }
    /// Forgets all evidence, when another primary is adopted.
    void reset() { confirmed_.reset(); }
    /// True when no promotion can have taken effect by `moment`.
    [[nodiscard]] bool covers(time_point moment) const {
        return confirmed_ && moment < *confirmed_ + window_;
    }
    /// Moment up to which the primary is trusted; the epoch without evidence.
    [[nodiscard]] time_point until() const { return confirmed_ ? *confirmed_ + window_ : time_point{}; }
    /// Length of the window.
    [[nodiscard]] duration window() const { return window_; }

private:
    duration window_;
    std::optional<time_point> confirmed_;
};

} // namespace gentianhill
