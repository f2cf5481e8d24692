#pragma once

#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill {

/// Limits the use of the keys in the configuration in effect to the time in which none of them can have been
/// taken away for longer than `revoke_limit`.
///
/// The configuration is complete as of a moment when this process asked the store, or another daemon that
/// states the age of its own knowledge. A key that is missing at that moment was taken away before it; one
/// that is there may have been taken away since. So a statement received at most `revoke_limit` after that
/// moment was sent at most `revoke_limit` after any change that is not known here. All times are of the clock
/// of this process that counts suspension, so that clocks of other hosts don't matter.
class key_lease {
public:
    /// A `revoke_limit` of zero means that keys are valid as long as the configuration in effect holds them.
    explicit key_lease(duration revoke_limit) : revoke_limit_(revoke_limit) {}

    /// Records that the configuration in effect is complete as of `moment`.
    void confirm(time_point moment);
    /// True if a statement that was received at `received_at` may run for a key of the configuration in
    /// effect.
    [[nodiscard]] bool covers(time_point received_at) const;
    /// True when the use of keys is limited in time.
    [[nodiscard]] bool is_limited() const { return revoke_limit_ > duration(0); }
    /// Moment as of which the configuration is known to be complete; nothing before the first one.
    [[nodiscard]] const std::optional<time_point>& confirmed_at() const { return confirmed_at_; }

private:
    duration revoke_limit_;
    std::optional<time_point> confirmed_at_;
};

} // namespace gentianhill
