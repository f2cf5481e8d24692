#pragma once

#include "gentianhill/quota/quota_settings.h"
#include "gentianhill/teams/team.h"

namespace gentianhill {

/// Part of a team's limit: the fill rate and the capacity of a token bucket. The operations that a share
/// admits in any time `t` are at most `capacity + rate * t`.
struct quota_share {
    /// Tokens per second.
    double rate = 0;
    /// Tokens that may be held or be in use at once.
    double capacity = 0;

    friend bool operator==(const quota_share&, const quota_share&) = default;
};

/// Sum of two shares.
[[nodiscard]] quota_share operator+(const quota_share& a, const quota_share& b);
/// What is left of `a`, in each part not below zero.
[[nodiscard]] quota_share operator-(const quota_share& a, const quota_share& b);
/// The smaller rate and the smaller capacity.
[[nodiscard]] quota_share smaller(const quota_share& a, const quota_share& b);
/// The larger rate and the larger capacity.
[[nodiscard]] quota_share larger(const quota_share& a, const quota_share& b);

/// All that the daemons together may use of a team's limit. Half of the tolerance of the rule is used; the
/// other half is left for operations that run a second time at another instance.
[[nodiscard]] quota_share whole_share(const team_rate& limit, const quota_settings& settings);

} // namespace gentianhill
