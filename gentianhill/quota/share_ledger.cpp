#include "gentianhill/quota/share_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Part of the whole share that is kept for counters that have none yet, and the tokens that are kept at
/// least, up to a part of the capacity.
constexpr double reserved_part = 1.0 / 16;
constexpr double reserved_tokens = 2;
constexpr double max_reserved_part = 1.0 / 3;
/// Leased rate for each operation per second that is asked for, so that a share covers a rise of demand until
/// the next request.
constexpr double rate_headroom = 1.3;
/// A bucket that is filled to this part gets no more than what is asked for at least, up to a number of
/// standard deviations, since it would lose what it can't hold.
constexpr double full_part = 0.9;
constexpr double full_deviations = 1.5;
/// Time of demand that the capacity covers beyond the tokens in use.
constexpr duration burst_cover = 400ms;
/// Capacity of a counter beyond its demand, since clients send several operations in a row.
constexpr double usual_burst = 1;
/// Tokens that a counter may always hold, so that the first operations of a team in a zone find some.
constexpr double min_capacity = 1;
/// The most of a small team's capacity that goes to a counter without demand.
constexpr double max_idle_part = 0.25;
/// Smallest part of the rest that is moved to a counter that asks.
constexpr double min_moved_part = 0.25;
/// Tokens that are moved at least to one that has none.
constexpr double min_moved = 2;
/// A share is called lowered when it is less than this part of the one held, by more than one.
constexpr double lowered_part = 0.9;
/// Part of a share that is kept at each request while nobody else wants it.
constexpr double kept_part = 0.8;
/// Time for which a team counts as contended after a counter could not be given what it asked for.
constexpr duration contention_time = 1s;

double seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

quota_share scaled(const quota_share& share, double factor) {
    return {share.rate * factor, share.capacity * factor};
}

/// What only counters with next to nothing may get.
quota_share reserve_of(const quota_share& total) {
    const double tokens = std::min(reserved_tokens, total.capacity * max_reserved_part);
    return {total.rate * reserved_part, std::max(total.capacity * reserved_part, tokens)};
}

} // namespace

void share_ledger::begin(const std::set<share_holder>& holders, bool is_complete, time_point now) {
    leases_.clear();
    teams_.clear();
    unreported_ = holders;
    has_unknown_ = !is_complete;
    former_end_ = now + use_limit();
    reported_at_ = now;
    ended_use_end_ = now;
}

void share_ledger::on_report(const share_holder& holder, duration running,
                             const std::vector<team_holding>& teams, time_point now) {
    const std::map<share_holder, lease>::const_iterator found = leases_.find(holder);
    // A later request has stated more recent shares.
    if (found == leases_.end()) {
        record(holder, running, teams, now);
    }
}

share_ledger::lease& share_ledger::record(const share_holder& holder, duration running,
                                          const std::vector<team_holding>& teams, time_point now) {
    // A former process of the daemon ended before this one started; what it gave out can be used for a while.
    const time_point former_use_end = now - running + settings_.grant_life;
    for (std::map<share_holder, lease>::value_type& entry : leases_) {
        if (entry.first.name == holder.name && entry.first.incarnation != holder.incarnation) {
            entry.second.held_until = std::min(entry.second.held_until, former_use_end);
            entry.second.offered_until = std::min(entry.second.offered_until, former_use_end);
        }
    }
    for (std::set<share_holder>::const_iterator entry = unreported_.begin(); entry != unreported_.end();) {
        if (entry->name == holder.name && entry->incarnation != holder.incarnation) {
            ended_use_end_ = std::max(ended_use_end_, former_use_end);
        }
        if (entry->name == holder.name) {
            entry = unreported_.erase(entry);
            reported_at_ = now;
        } else {
            ++entry;
        }
    }
    lease& entry = leases_[holder];
    entry.held.clear();
    for (const team_holding& holding : teams) {
        entry.held[holding.team] = holding;
        if (holding.share != quota_share{}) {
            teams_.try_emplace(holding.team);
        }
    }
    entry.held_until = now + use_limit();
    entry.offered.clear();
    return entry;
}

std::optional<std::vector<assigned_share>> share_ledger::assign(const shares_request& request, time_point now,
                                                                bool is_at_risk, error& reason) {
    const share_holder holder{request.daemon, request.incarnation};
    const std::map<share_holder, lease>::const_iterator known = leases_.find(holder);
    if (known != leases_.end() && request.number <= known->second.number) {
        reason = error{error_code::superseded, "number", std::to_string(request.number),
                       "above " + std::to_string(known->second.number)};
        return std::nullopt;
    }
    std::erase_if(leases_, [now](const std::map<share_holder, lease>::value_type& entry) {
        return now >= entry.second.held_until && now >= entry.second.offered_until;
    });
    lease& entry = record(holder, request.running, request.teams, now);
    entry.number = request.number;
    entry.offered_until = now + use_limit();
    std::vector<assigned_share> result;
    for (const team_holding& holding : request.teams) {
        assigned_share assigned = assign_team(holder, entry, holding, now, is_at_risk);
        if (assigned.share.capacity > 0) {
            result.push_back(std::move(assigned));
        }
    }
    return result;
}

assigned_share share_ledger::assign_team(const share_holder& holder, lease& entry,
                                         const team_holding& holding, time_point now, bool is_at_risk) {
    assigned_share result;
    result.team = holding.team;
    const std::optional<quota_share> total = whole(holding.team);
    if (!total) {
        return result;
    }
    if (!is_open(now)) {
        // What others hold is not known, so nothing is added to what was leased before.
        result.share = smaller(holding.share, *total);
        entry.offered[holding.team] = result.share;
        return result;
    }
    team_state& state = state_of(holding.team, *total, now);
    const double demand = holding.demand;
    const double others = demand_of_others(holding.team, holder, now);
    const double weight = demand + others > 0 ? demand / (demand + others) : 1;
    // Random arrivals exceed their mean by its root every now and then.
    const double expected = demand * (seconds(settings_.grant_life) + seconds(burst_cover));
    const bool is_full =
        holding.level + holding.in_use >= full_part * holding.share.capacity && holding.share.capacity > 0;
    const double least_demand = std::max(demand - full_deviations * std::sqrt(demand), 0.0);
    const quota_share wanted{is_full ? least_demand : rate_headroom * demand,
                             expected + std::sqrt(expected) + usual_burst};
    const quota_share least{0, std::min(min_capacity, total->capacity * max_idle_part)};
    const quota_share reserve = reserve_of(*total);
    const quota_share weighted = larger(scaled(*total - reserve, weight), least);
    const quota_share target = is_at_risk ? weighted : smaller(wanted, weighted);
    const quota_share free = *total - leased_to_others(holding.team, holder, now);
    state.rest.set_share(*total - leased(holding.team, now), now);
    state.rest.add(holding.returned, now);
    // While nobody wants it, a share falls slowly, since demand varies at random.
    const bool is_contended = now < state.contended_until;
    const double kept_capacity = is_contended ? 0 : kept_part * holding.share.capacity;
    const quota_share kept{target.rate, std::max(target.capacity, kept_capacity)};
    // The reserve is for counters that have no token.
    const bool is_starving = holding.level < 1;
    result.share = smaller(kept, is_starving ? free : larger(free - reserve, smaller(least, free)));
    entry.offered[holding.team] = result.share;

    if (result.share.rate < lowered_part * target.rate ||
        result.share.capacity < lowered_part * target.capacity) {
        state.contended_until = now + contention_time;
    }
    const quota_share lowered = scaled(holding.share, lowered_part) - quota_share{1, 1};
    result.is_lowered =
        is_contended && (result.share.rate < lowered.rate || result.share.capacity < lowered.capacity);

    // Capacity that is leased takes the tokens in it along.
    const double room = std::max(result.share.capacity - holding.level - holding.in_use, 0.0);
    const double surplus = std::min(state.rest.set_share(*total - leased(holding.team, now), now), room);
    const double level = state.rest.level(now);
    const double above_reserve = std::max(level - reserve.capacity, 0.0);
    double moved = std::min(room - surplus, above_reserve * std::max(weight, min_moved_part));
    if (is_starving && surplus + moved < min_moved) {
        moved = std::min(room - surplus, std::min(level, min_moved));
    }
    result.tokens = surplus + state.rest.move_out(moved, now);
    return result;
}

share_ledger::team_state& share_ledger::state_of(const std::string& team, const quota_share& total,
                                                 time_point now) {
    const auto found = teams_.find(team);
    if (found != teams_.end()) {
        return found->second;
    }
    // No holder has reported this team, so nothing of it was in use since all leases are known.
    team_state& added = teams_[team];
    const time_point known_at =
        is_complete(now) && unreported_.empty() ? std::max(reported_at_, ended_use_end_) : former_end_;
    added.rest.set_share(total, std::min(known_at, now));
    return added;
}

std::set<share_holder> share_ledger::unreported(time_point now) const {
    return now < former_end_ ? unreported_ : std::set<share_holder>{};
}

bool share_ledger::is_open(time_point now) const {
    return now >= former_end_ || (!has_unknown_ && unreported_.empty() && now >= ended_use_end_);
}

bool share_ledger::is_complete(time_point now) const {
    return !has_unknown_ || now >= former_end_;
}

std::set<share_holder> share_ledger::holders(time_point now) const {
    std::set<share_holder> result = unreported(now);
    for (const std::map<share_holder, lease>::value_type& entry : leases_) {
        if (now < entry.second.held_until || now < entry.second.offered_until) {
            result.insert(entry.first);
        }
    }
    return result;
}

quota_share share_ledger::share_of(const lease& entry, const std::string& team, time_point now) {
    quota_share result;
    const auto held = entry.held.find(team);
    if (held != entry.held.end() && now < entry.held_until) {
        result = held->second.share;
    }
    const auto offered = entry.offered.find(team);
    if (offered != entry.offered.end() && now < entry.offered_until) {
        result = larger(result, offered->second);
    }
    return result;
}

quota_share share_ledger::leased(const std::string& team, time_point now) const {
    quota_share result;
    for (const std::map<share_holder, lease>::value_type& entry : leases_) {
        result = result + share_of(entry.second, team, now);
    }
    return result;
}

quota_share share_ledger::leased_to_others(const std::string& team, const share_holder& holder,
                                           time_point now) const {
    quota_share result;
    for (const std::map<share_holder, lease>::value_type& entry : leases_) {
        if (entry.first != holder) {
            result = result + share_of(entry.second, team, now);
        }
    }
    return result;
}

double share_ledger::demand_of_others(const std::string& team, const share_holder& holder,
                                      time_point now) const {
    double result = 0;
    for (const std::map<share_holder, lease>::value_type& entry : leases_) {
        const auto held = entry.second.held.find(team);
        if (entry.first != holder && held != entry.second.held.end() && now < entry.second.held_until) {
            result += held->second.demand;
        }
    }
    return result;
}

} // namespace gentianhill
