#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/quota/demand_rate.h"
#include "gentianhill/quota/quota_messages.h"
#include "gentianhill/quota/quota_settings.h"
#include "gentianhill/quota/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Gives the tokens of teams to the daemons of a zone, out of the shares that the allocator has leased to
/// this process. Without a lease it has nothing to give.
class zone_counter {
public:
    zone_counter(const quota_settings& settings, std::string name, std::string incarnation,
                 time_point started_at);

    /// Whole share of a team by the configuration in effect here, which bounds what is leased; nothing for
    /// one without a limit. Must be set.
    std::function<std::optional<quota_share>(const std::string& team)> whole;

    /// Answers a request for tokens.
    [[nodiscard]] tokens_answer on_request(const tokens_request& request, time_point now);
    /// Time at which the allocator is to be asked next; nothing when nothing is wanted or held.
    [[nodiscard]] std::optional<time_point> next_request_at(time_point now);
    /// Makes the next request to the allocator. Results of earlier ones must not be applied any more.
    [[nodiscard]] shares_request make_request(time_point now);
    /// Applies the shares that were asked for at `asked_at`. Returns false for an answer under a claim that
    /// has been replaced or that arrives late; such an answer changes nothing.
    bool on_answer(const shares_answer& answer, time_point asked_at, time_point now);
    /// Records that a request was not answered.
    void on_failure(time_point now);
    /// States what is held, and drops from now on what is given under a claim below `claim`.
    [[nodiscard]] std::vector<team_holding> report(std::uint64_t claim, time_point now);
    /// Gives up all shares, for a planned stop.
    void release(time_point now);

    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
    [[nodiscard]] duration running(time_point now) const { return now - started_at_; }
    /// Number of teams with a share.
    [[nodiscard]] std::size_t team_count(time_point now);

private:
    /// Pause between requests to the allocator while operations wait for it.
    static constexpr duration unassigned_interval = std::chrono::milliseconds(20);

    struct team_state {
        token_bucket bucket;
        bool has_share = false;
        /// Tokens to be returned with the next request.
        double surplus = 0;
        demand_rate demand;
        double reported_demand = 0;
        /// Operations found no share, or not enough tokens, since the last request.
        bool is_unassigned = false;
        bool is_short = false;
        /// Pause before the allocator is asked for more when tokens are short; grows while it has none.
        duration short_pause = unassigned_interval;
        /// The allocator awaits a report that the share has been lowered.
        bool is_lowered = false;
        time_point asked_at;
    };

    void end_lease_if_due(time_point now);
    static void drop_share(team_state& state, time_point now);
    void forget_idle(time_point now);
    [[nodiscard]] team_holding holding_of(const std::string& team, team_state& state, time_point now) const;
    [[nodiscard]] bool has_changed(const team_state& state, time_point now) const;
    void apply(const assigned_share& assigned, time_point now);

    quota_settings settings_;
    std::string name_;
    std::string incarnation_;
    time_point started_at_;
    std::map<std::string, team_state, std::less<>> teams_;
    time_point lease_end_;
    /// Answers under lower claims are dropped.
    std::uint64_t claim_ = 0;
    std::uint64_t number_ = 0;
    std::optional<time_point> sent_at_;
    bool has_failed_ = false;
    bool released_ = false;
    /// The allocator has not been told yet that all shares were given up.
    bool owes_report_ = false;
};

} // namespace gentianhill
