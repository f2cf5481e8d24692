#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Time window in which a proxy may assume that the primary it knows has not been superseded.
///
/// A promotion first fences every replica and takes effect more than `window` later. If a replica answers a
/// request sent at time s that it is not fenced, no promotion takes effect before s + window.
///
/// The platform lifts all fences when a promotion takes effect, shortly before the replicas follow the new
/// primary. A single replica that is not fenced is therefore no proof. Its answer counts only while earlier
/// evidence is still valid, or together with answers of all other replicas, since one of them would have been
/// promoted.
///
/// Only the local clock is used. It should include time for which the host was suspended, so that all
/// evidence has expired when the host resumes.
class primary_trust {
public:
    explicit primary_trust(duration window) : window_(window) {}

    /// Records that at or after `sent_at` no promotion had taken effect and at least one replica was not
    /// fenced.
    void confirm(time_point sent_at) {
        if (!confirmed_at_ || *confirmed_at_ < sent_at) {
            confirmed_at_ = sent_at;
        }
    }
    /// Records that no promotion takes effect before `moment`, as another daemon has found out.
    void confirm_until(time_point moment) { confirm(moment - window_); }
    /// Records that one replica was not fenced at some time between `sent_at` and `received_at`. Returns
    /// false and changes nothing if a promotion may have taken effect by `received_at`.
    [[nodiscard]] bool extend(time_point sent_at, time_point received_at) {
        if (!covers(received_at)) {
            return false;
        }
        confirm(sent_at);
        return true;
    }
    /// Discards all evidence, because the primary has changed.
    void reset() { confirmed_at_.reset(); }
    /// True if no promotion can have taken effect by `moment`.
    [[nodiscard]] bool covers(time_point moment) const {
        return confirmed_at_ && moment < *confirmed_at_ + window_;
    }
    /// Time until which the primary is trusted; the clock's epoch if there is no evidence.
    [[nodiscard]] time_point until() const { return confirmed_at_ ? *confirmed_at_ + window_ : time_point{}; }
    [[nodiscard]] duration window() const { return window_; }

private:
    duration window_;
    std::optional<time_point> confirmed_at_;
};

} // namespace gentianhill
