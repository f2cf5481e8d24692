#include "gentianhill/quota/zone_counter.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// The same after a request that brought no shares.
constexpr duration failure_interval = 100ms;
/// A team that no daemon asks for gives its share back after this time.
constexpr duration idle_limit = 10s;
/// Part of the bucket that is given for operations that are only expected.
constexpr double spare_part = 0.25;
/// Teams of one counter, all of which are in each request; the transport limits its size.
constexpr std::size_t max_teams = 400;

} // namespace

zone_counter::zone_counter(const quota_settings& settings, std::string name, std::string incarnation,
                           time_point started_at)
    : settings_(settings),
      name_(std::move(name)),
      incarnation_(std::move(incarnation)),
      started_at_(started_at) {}

tokens_answer zone_counter::on_request(const tokens_request& request, time_point now) {
    end_lease_if_due(now);
    tokens_answer answer;
    answer.daemon = name_;
    const bool is_known = teams_.count(request.team) > 0;
    if (released_ || (!is_known && (teams_.size() >= max_teams || !whole(request.team)))) {
        return answer;
    }
    team_state& state = teams_[request.team];
    state.asked_at = now;
    state.demand.add(static_cast<double>(request.arrivals), now);
    if (!state.has_share) {
        state.is_unassigned = true;
        return answer;
    }
    answer.tokens = state.bucket.take(request.needed, settings_.grant_life, now);
    const double spare = std::min(static_cast<double>(request.spare), state.bucket.level(now) * spare_part);
    answer.tokens += state.bucket.take(static_cast<std::int64_t>(spare), settings_.grant_life, now);
    answer.outcome = tokens_outcome::granted;
    if (answer.tokens < request.needed) {
        state.is_short = true;
        answer.outcome = answer.tokens > 0 ? tokens_outcome::granted : tokens_outcome::exhausted;
    }
    return answer;
}

std::optional<time_point> zone_counter::next_request_at(time_point now) {
    end_lease_if_due(now);
    forget_idle(now);
    if (teams_.empty() && !owes_report_) {
        return std::nullopt;
    }
    if (!sent_at_) {
        return now;
    }
    duration pause = owes_report_ ? settings_.short_share_interval : settings_.share_interval;
    for (const std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        const team_state& state = entry.second;
        if (state.is_unassigned) {
            pause = std::min(pause, unassigned_interval);
        } else if (state.is_short) {
            pause = std::min(pause, state.short_pause);
        } else if (state.is_lowered || has_changed(state, now)) {
            pause = std::min(pause, settings_.short_share_interval);
        }
    }
    return *sent_at_ + (has_failed_ ? std::max(pause, failure_interval) : pause);
}

bool zone_counter::has_changed(const team_state& state, time_point now) const {
    // Beyond what random arrivals at a steady rate change.
    const double current = state.demand.at(now);
    return std::abs(current - state.reported_demand) > 2 + 2 * std::sqrt(state.reported_demand);
}

shares_request zone_counter::make_request(time_point now) {
    end_lease_if_due(now);
    forget_idle(now);
    sent_at_ = now;
    shares_request request;
    request.daemon = name_;
    request.incarnation = incarnation_;
    request.running = now - started_at_;
    request.number = ++number_;
    owes_report_ = owes_report_ && !teams_.empty();
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        team_state& state = entry.second;
        request.teams.push_back(holding_of(entry.first, state, now));
        request.teams.back().returned = std::exchange(state.surplus, 0);
        state.reported_demand = request.teams.back().demand;
        state.is_unassigned = false;
        state.is_short = false;
        state.is_lowered = false;
    }
    return request;
}

bool zone_counter::on_answer(const shares_answer& answer, time_point asked_at, time_point now) {
    const bool is_late = now - asked_at > settings_.allocator_timeout;
    const bool is_leased = answer.outcome == shares_outcome::assigned ||
                           (answer.outcome == shares_outcome::extended && now < lease_end_);
    if (!is_leased || is_late || answer.claim < claim_ || released_) {
        on_failure(now);
        return false;
    }
    end_lease_if_due(now);
    claim_ = answer.claim;
    has_failed_ = false;
    lease_end_ = asked_at + settings_.share_lease;
    std::map<std::string, const assigned_share*, std::less<>> assigned;
    for (const assigned_share& entry : answer.shares) {
        assigned[entry.team] = &entry;
    }
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        const auto found = assigned.find(entry.first);
        if (found != assigned.end()) {
            apply(*found->second, now);
        } else {
            drop_share(entry.second, now);
        }
    }
    return true;
}

void zone_counter::apply(const assigned_share& assigned, time_point now) {
    team_state& state = teams_.at(assigned.team);
    // A lower limit may be known here before the allocator knows it.
    const std::optional<quota_share> bound = whole(assigned.team);
    const quota_share share = bound ? smaller(assigned.share, *bound) : quota_share{};
    const bool has_grown = assigned.tokens >= 1 || share.rate > state.bucket.share().rate;
    state.short_pause =
        has_grown ? unassigned_interval : std::min(2 * state.short_pause, settings_.short_share_interval);
    state.surplus += state.bucket.set_share(share, now);
    state.bucket.add(assigned.tokens, now);
    // With less than one token nothing could ever be given.
    state.has_share = share.capacity >= 1;
    state.is_lowered = assigned.is_lowered;
}

void zone_counter::on_failure(time_point now) {
    end_lease_if_due(now);
    has_failed_ = true;
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        entry.second.is_unassigned = entry.second.is_unassigned || !entry.second.has_share;
    }
}

std::vector<team_holding> zone_counter::report(std::uint64_t claim, time_point now) {
    end_lease_if_due(now);
    claim_ = std::max(claim_, claim);
    std::vector<team_holding> holdings;
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        team_holding holding = holding_of(entry.first, entry.second, now);
        if (holding.share.capacity > 0) {
            holdings.push_back(std::move(holding));
        }
    }
    return holdings;
}

void zone_counter::release(time_point now) {
    released_ = true;
    owes_report_ = true;
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        drop_share(entry.second, now);
    }
}

std::size_t zone_counter::team_count(time_point now) {
    end_lease_if_due(now);
    return static_cast<std::size_t>(
        std::count_if(teams_.begin(), teams_.end(),
                      [](const std::map<std::string, team_state, std::less<>>::value_type& entry) {
                          return entry.second.has_share;
                      }));
}

team_holding zone_counter::holding_of(const std::string& team, team_state& state, time_point now) const {
    team_holding holding;
    holding.team = team;
    holding.share = state.bucket.effective_share(now);
    holding.level = state.bucket.level(now);
    holding.in_use = state.bucket.in_use(now);
    holding.demand = state.demand.at(now);
    return holding;
}

void zone_counter::end_lease_if_due(time_point now) {
    if (now < lease_end_) {
        return;
    }
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        drop_share(entry.second, now);
    }
}

void zone_counter::drop_share(team_state& state, time_point now) {
    state.bucket.set_share({}, now);
    state.has_share = false;
    // Tokens of a lease that has ended must not return to the allocator, which counts them no more.
    state.surplus = 0;
}

void zone_counter::forget_idle(time_point now) {
    for (std::map<std::string, team_state, std::less<>>::iterator entry = teams_.begin();
         entry != teams_.end();) {
        const bool is_idle = released_ || now - entry->second.asked_at > idle_limit;
        const bool is_unused = entry->second.bucket.in_use(now) == 0;
        entry = is_idle && is_unused ? teams_.erase(entry) : std::next(entry);
    }
}

} // namespace gentianhill
