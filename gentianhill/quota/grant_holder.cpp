#include "gentianhill/quota/grant_holder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 3> refusal_names{"none", "exhausted", "unassigned"};
/// Operations of a team that may wait while tokens are expected; more than arrive at a daemon within the
/// longest wait.
constexpr std::size_t max_waiting = 64;
/// Pauses between requests that bring no token: at most 20 requests a second of a team at its limit.
constexpr duration min_pause = 5ms;
constexpr duration max_pause = 50ms;
/// Requests in a row without a token in which a few operations wait in any case.
constexpr unsigned first_failures = 3;
constexpr std::size_t waiting_at_first = 4;
/// Failures in a row after which the pause does not grow any more.
constexpr unsigned max_doublings = 4;

double seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

std::string_view to_string(quota_refusal refusal) {
    return refusal_names.at(static_cast<std::size_t>(refusal));
}

void grant_holder::admit(const std::string& team, decision_handler done) {
    team_state& state = teams_[team];
    state.arrivals.add(1, now());
    ++state.unreported;
    if (state.waiting.empty() && use_token(state)) {
        ask_if_needed(team, state);
        done(quota_refusal::none);
        return;
    }
    if (!may_wait(state)) {
        done(state.last_refusal == quota_refusal::none ? quota_refusal::exhausted : state.last_refusal);
        return;
    }
    state.waiting.push_back({now(), std::move(done)});
    ask_if_needed(team, state);
}

void grant_holder::on_answer(const std::string& team, time_point asked_at,
                             const std::optional<tokens_answer>& answer) {
    team_state& state = teams_[team];
    state.is_asking = false;
    const std::int64_t needed = static_cast<std::int64_t>(state.waiting.size());
    if (answer && answer->tokens > 0) {
        state.grants.push_back({asked_at + settings_.grant_life, answer->tokens});
        state.granted.add(static_cast<double>(answer->tokens), now());
        state.failures = 0;
        state.last_refusal = answer->tokens < needed ? quota_refusal::exhausted : quota_refusal::none;
        state.ask_at = answer->tokens < needed ? now() + min_pause : now();
    } else {
        const bool is_exhausted = answer && answer->outcome == tokens_outcome::exhausted;
        state.last_refusal = is_exhausted ? quota_refusal::exhausted : quota_refusal::unassigned;
        const duration pause = min_pause * (1U << std::min(state.failures, max_doublings));
        state.ask_at = now() + std::min(pause, max_pause);
        ++state.failures;
    }
    serve_waiting(team);
    refuse_late(team);
    ask_if_needed(team, state);
}

void grant_holder::tick() {
    std::vector<std::string> names;
    for (const std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        if (!entry.second.waiting.empty()) {
            names.push_back(entry.first);
        }
    }
    for (const std::string& team : names) {
        serve_waiting(team);
        refuse_late(team);
        ask_if_needed(team, teams_[team]);
    }
}

std::optional<time_point> grant_holder::next_action() const {
    std::optional<time_point> next;
    for (const std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        const team_state& state = entry.second;
        if (state.waiting.empty()) {
            continue;
        }
        const time_point refuse_at = state.waiting.front().since + longest_wait(state);
        const time_point due = state.is_asking ? refuse_at : std::min(refuse_at, state.ask_at);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

void grant_holder::refuse_all() {
    for (std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        std::deque<waiting_operation> waiting = std::exchange(entry.second.waiting, {});
        for (waiting_operation& operation : waiting) {
            operation.done(quota_refusal::unassigned);
        }
    }
}

std::int64_t grant_holder::tokens() const {
    std::int64_t result = 0;
    for (const std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        for (const grant& held : entry.second.grants) {
            result += held.ends_at > now() ? held.tokens : 0;
        }
    }
    return result;
}

std::size_t grant_holder::waiting() const {
    std::size_t result = 0;
    for (const std::map<std::string, team_state, std::less<>>::value_type& entry : teams_) {
        result += entry.second.waiting.size();
    }
    return result;
}

void grant_holder::expire(team_state& state) const {
    const time_point current = now();
    std::erase_if(state.grants, [current](const grant& held) { return held.ends_at <= current; });
}

std::int64_t grant_holder::count(const team_state& state) {
    std::int64_t result = 0;
    for (const grant& held : state.grants) {
        result += held.tokens;
    }
    return result;
}

bool grant_holder::use_token(team_state& state) const {
    expire(state);
    if (state.grants.empty()) {
        return false;
    }
    if (--state.grants.front().tokens == 0) {
        state.grants.pop_front();
    }
    return true;
}

bool grant_holder::may_wait(const team_state& state) const {
    if (state.last_refusal != quota_refusal::exhausted) {
        return state.waiting.size() < max_waiting;
    }
    // At the limit, only as many wait as tokens arrive within the longest wait. At first a counter may only
    // have to ask for more.
    const double expected = state.granted.at(now()) * seconds(settings_.max_wait);
    const std::size_t least = state.failures < first_failures ? waiting_at_first : 1;
    return state.waiting.size() < std::max(least, static_cast<std::size_t>(expected));
}

duration grant_holder::longest_wait(const team_state& state) const {
    return state.last_refusal == quota_refusal::unassigned ? settings_.max_unassigned_wait
                                                           : settings_.max_wait;
}

std::int64_t grant_holder::spare_wanted(const team_state& state) const {
    if (state.last_refusal != quota_refusal::none) {
        return 0;
    }
    const double expected = state.arrivals.at(now()) * seconds(settings_.ahead);
    return std::max(static_cast<std::int64_t>(std::floor(expected)) - count(state), std::int64_t{0});
}

void grant_holder::ask_if_needed(const std::string& team, team_state& state) {
    if (state.is_asking || now() < state.ask_at) {
        return;
    }
    expire(state);
    tokens_request request;
    request.team = team;
    request.needed = static_cast<std::int64_t>(state.waiting.size());
    request.spare = spare_wanted(state);
    // Without need, asks once half of the tokens wanted ahead are used.
    if (request.needed == 0 && (request.spare == 0 || request.spare < count(state))) {
        return;
    }
    request.arrivals = std::exchange(state.unreported, 0);
    state.is_asking = true;
    ask(request);
}

void grant_holder::serve_waiting(const std::string& team) {
    team_state& state = teams_[team];
    while (!state.waiting.empty() && use_token(state)) {
        const waiting_operation next = std::move(state.waiting.front());
        state.waiting.pop_front();
        next.done(quota_refusal::none);
    }
}

void grant_holder::refuse_late(const std::string& team) {
    team_state& state = teams_[team];
    std::vector<waiting_operation> refused;
    while (!state.waiting.empty() && now() - state.waiting.front().since >= longest_wait(state)) {
        refused.push_back(std::move(state.waiting.front()));
        state.waiting.pop_front();
    }
    // Those beyond what is expected to arrive are refused now rather than after their wait.
    while (state.waiting.size() > 1) {
        waiting_operation last = std::move(state.waiting.back());
        state.waiting.pop_back();
        if (may_wait(state)) {
            state.waiting.push_back(std::move(last));
            break;
        }
        refused.push_back(std::move(last));
    }
    const quota_refusal reason =
        state.last_refusal == quota_refusal::none ? quota_refusal::exhausted : state.last_refusal;
    for (waiting_operation& operation : refused) {
        operation.done(reason);
    }
}

} // namespace gentianhill
