#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Time for which a proxy may take the primary it knows for the only one.
///
/// A promotion fences every replica first, and takes effect more than `window` after that. So an answer of a
/// replica that was not fenced yet, to a question sent at s, shows that no promotion takes effect before s +
/// window. The platform lifts all fences as a promotion takes effect, a moment before the replicas follow, so
/// one replica that is not fenced proves nothing by itself: its answer counts only while earlier evidence
/// still holds, or together with answers of all others, one of which would have been promoted. Needs no clock
/// but this process's own; on a clock that counts suspended time a woken host trusts nothing.
class primary_trust {
public:
    explicit primary_trust(duration window) : window_(window) {}

    /// Records that no promotion had taken effect, and some replica was not fenced, at or after `sent_at`.
    void confirm(time_point sent_at) {
        if (!confirmed_at_ || *confirmed_at_ < sent_at) {
            confirmed_at_ = sent_at;
        }
    }
    /// Records that one replica was not fenced at some moment between `sent_at` and `received_at`. False,
    /// and without effect, when a promotion may have taken effect by `received_at`.
    [[nodiscard]] bool extend(time_point sent_at, time_point received_at) {
        if (!covers(received_at)) {
            return false;
        }
        confirm(sent_at);
        return true;
    }
    /// Forgets all evidence, when another primary is adopted.
    void reset() { confirmed_at_.reset(); }
    /// True when no promotion can have taken effect by `moment`.
    [[nodiscard]] bool covers(time_point moment) const {
        return confirmed_at_ && moment < *confirmed_at_ + window_;
    }
    /// Moment up to which the primary is trusted; the epoch without evidence.
    [[nodiscard]] time_point until() const { return confirmed_at_ ? *confirmed_at_ + window_ : time_point{}; }
    /// Length of the window.
    [[nodiscard]] duration window() const { return window_; }

private:
    duration window_;
    std::optional<time_point> confirmed_at_;
};

} // namespace gentianhill
