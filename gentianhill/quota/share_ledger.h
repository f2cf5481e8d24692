#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"
#include "gentianhill/quota/quota_messages.h"
#include "gentianhill/quota/quota_settings.h"
#include "gentianhill/quota/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace gentianhill {

/// Process of a daemon that may hold shares.
struct share_holder {
    /// Name of the daemon.
    std::string name;
    std::string incarnation;

    friend bool operator==(const share_holder&, const share_holder&) = default;
    friend bool operator<(const share_holder& a, const share_holder& b) {
        return std::tie(a.name, a.incarnation) < std::tie(b.name, b.incarnation);
    }
};

/// Shares of all teams that the allocator has leased to counters. For each team the leased shares, with all
/// that may still be in use of former ones, and the rest that the allocator keeps are together at most the
/// whole share, at every moment:
/// - a share that is lowered counts in full until its holder has reported the lower one or its lease has
///   ended;
/// - tokens are only moved between buckets, so that a new share starts without any;
/// - after a change of the allocator, nothing but what holders report is leased until all that the former one
///   recorded have reported, or all its leases have ended.
class share_ledger {
public:
    explicit share_ledger(const quota_settings& settings) : settings_(settings) {}

    /// Whole share of a team by the configuration in effect; nothing for one without a limit. Must be set.
    std::function<std::optional<quota_share>(const std::string& team)> whole;

    /// Starts anew under a claim. `holders` may hold leases of former allocators; others may as well unless
    /// `is_complete`.
    void begin(const std::set<share_holder>& holders, bool is_complete, time_point now);
    /// Applies a holder's report of what it holds.
    void on_report(const share_holder& holder, duration running, const std::vector<team_holding>& teams,
                   time_point now);
    /// Leases shares for a request; all that can be leased when the allocator `is_at_risk`, and else what
    /// demand calls for, with the rest in reserve. Errors: superseded for a request that is older than one
    /// answered before.
    [[nodiscard]] std::optional<std::vector<assigned_share>>
    assign(const shares_request& request, time_point now, bool is_at_risk, error& reason);

    /// Holders of former allocators that have not reported and may hold leases.
    [[nodiscard]] std::set<share_holder> unreported(time_point now) const;
    /// True once all leases of former allocators are known or have ended.
    [[nodiscard]] bool is_open(time_point now) const;
    /// True when every process that may hold a lease is in `holders`.
    [[nodiscard]] bool is_complete(time_point now) const;
    /// Processes that may hold leases.
    [[nodiscard]] std::set<share_holder> holders(time_point now) const;
    /// What of a team's share is leased or may still be in use.
    [[nodiscard]] quota_share leased(const std::string& team, time_point now) const;

private:
    struct lease {
        /// Number of the last request of the holder.
        std::uint64_t number = 0;
        /// What the holder has stated, and until when that may be in use.
        std::map<std::string, team_holding, std::less<>> held;
        time_point held_until;
        /// What it was offered since.
        std::map<std::string, quota_share, std::less<>> offered;
        time_point offered_until;
    };
    struct team_state {
        /// What no counter holds.
        token_bucket rest;
        /// Until then lower shares are wanted back soon.
        time_point contended_until;
    };

    [[nodiscard]] duration use_limit() const { return settings_.share_lease + settings_.grant_life; }
    [[nodiscard]] static quota_share share_of(const lease& entry, const std::string& team, time_point now);
    [[nodiscard]] quota_share leased_to_others(const std::string& team, const share_holder& holder,
                                               time_point now) const;
    [[nodiscard]] double demand_of_others(const std::string& team, const share_holder& holder,
                                          time_point now) const;
    lease& record(const share_holder& holder, duration running, const std::vector<team_holding>& teams,
                  time_point now);
    [[nodiscard]] assigned_share assign_team(const share_holder& holder, lease& entry,
                                             const team_holding& holding, time_point now, bool is_at_risk);
    [[nodiscard]] team_state& state_of(const std::string& team, const quota_share& total, time_point now);

    quota_settings settings_;
    std::map<share_holder, lease> leases_;
    std::map<std::string, team_state, std::less<>> teams_;
    std::set<share_holder> unreported_;
    /// Holders may be missing in `unreported_`.
    bool has_unknown_ = false;
    /// All leases of former allocators have ended.
    time_point former_end_;
    /// Tokens that processes which have ended gave out can't be used any more.
    time_point ended_use_end_;
    /// Last report that was awaited.
    time_point reported_at_;
};

} // namespace gentianhill
