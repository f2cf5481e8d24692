#include "gentianhill/consistency/replica_selector.h"

#include "gentianhill/consistency/session_token.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr std::size_t no_index = SIZE_MAX;

bool takes_work(const read_candidate& candidate) {
    const bool is_refused_by_itself =
        candidate.report != nullptr && (candidate.report->leaving || !candidate.report->initialised);
    return candidate.reachable && !candidate.leaving && !is_refused_by_itself;
}

bool is_fresh_enough(const read_request& request, const read_candidate& candidate) {
    return !request.max_age || (candidate.age && *candidate.age <= *request.max_age);
}

eligibility state_for(const read_request& request, const read_candidate& candidate) {
    const eligibility state = check_eligibility(*candidate.report, request.required_position);
    // A primary holds every confirmed entry up to its own term, also those after its last report.
    const bool is_implied =
        candidate.is_primary && candidate.report->last_entry.term >= request.required_position.term;
    return state == eligibility::behind && is_implied ? eligibility::eligible : state;
}

refuse_read refusal(error_code code, std::string_view allowed) {
    return refuse_read{error{code, "group", {}, std::string{allowed}}};
}

} // namespace

/// What the candidates offer for one read.
struct replica_selector::survey {
    std::size_t best_replica = no_index;
    double best_cost = 0.0;
    std::size_t primary = no_index;
    std::size_t catching_up = no_index;
    duration catch_up{0};
    /// An instance whose next report may make it fit, when nothing can be predicted.
    std::size_t awaited = no_index;
    bool ahead_of_history = false;

    void consider(std::size_t index, const std::optional<duration>& expected) {
        if (expected && (catching_up == no_index || *expected < catch_up)) {
            catching_up = index;
            catch_up = *expected;
        }
    }
};

replica_selector::replica_selector(const replica_selector_settings& settings) : settings_(settings) {}

double replica_selector::cost(const read_request& request, const read_candidate& candidate) const {
    const double zone_cost = candidate.zone == request.zone ? 0.0 : settings_.other_zone_cost;
    return candidate.load + zone_cost + (candidate.is_primary ? settings_.primary_cost : 0.0);
}

std::optional<duration> replica_selector::catch_up_of_silent(const read_request& request) const {
    // One short wait per read; an instance that stays silent must not delay it further.
    return request.waited < settings_.min_wait ? std::optional{settings_.min_wait} : std::nullopt;
}

std::optional<duration> replica_selector::expected_catch_up(const read_request& request,
                                                            const read_candidate& candidate) const {
    if (request.now - candidate.report->received_at >= settings_.report_stale_after) {
        return catch_up_of_silent(request);
    }
    const log_position& last = candidate.report->last_entry;
    std::optional<duration> expected;
    if (candidate.entries_per_second > 0.0 && request.required_position.position > last.position) {
        const double gap = static_cast<double>(request.required_position.position - last.position);
        const double seconds = gap / candidate.entries_per_second;
        // Beyond a minute the exact figure decides nothing and could overflow.
        constexpr double longest_seconds = 60.0;
        expected = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::min(seconds, longest_seconds)));
    }
    // At a constant lag, everything written up to now arrives within the age that the replica has now.
    if (candidate.age && (!expected || *candidate.age < *expected)) {
        expected = candidate.age;
    }
    return expected;
}

replica_selector::survey replica_selector::examine(const read_request& request,
                                                   std::span<const read_candidate> candidates) const {
    survey found;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const read_candidate& candidate = candidates[index];
        if (!takes_work(candidate)) {
            continue;
        }
        if (candidate.report == nullptr) {
            found.consider(index, catch_up_of_silent(request));
            found.awaited = index;
            continue;
        }
        const eligibility state = state_for(request, candidate);
        if (state == eligibility::ahead_of_history) {
            found.ahead_of_history = true;
            continue;
        }
        if (state == eligibility::eligible && !is_fresh_enough(request, candidate)) {
            found.awaited = index;
            continue;
        }
        if (state == eligibility::eligible) {
            if (candidate.is_primary) {
                found.primary = index;
            } else if (const double price = cost(request, candidate);
                       found.best_replica == no_index || price < found.best_cost) {
                found.best_replica = index;
                found.best_cost = price;
            }
            continue;
        }
        found.consider(index, expected_catch_up(request, candidate));
    }
    return found;
}

duration replica_selector::wait_budget(const read_request& request, bool primary_available) const {
    const duration until_deadline = request.deadline - request.now - settings_.execution_reserve;
    if (!primary_available) {
        return until_deadline;
    }
    return std::min(until_deadline, settings_.max_wait - request.waited);
}

read_decision replica_selector::choose(const read_request& request,
                                       std::span<const read_candidate> candidates) const {
    if (request.now >= request.deadline) {
        return refusal(error_code::deadline_exceeded, "a later deadline");
    }
    const survey found = examine(request, candidates);
    const bool has_primary = found.primary != no_index;
    if (request.primary_only) {
        if (has_primary) {
            return use_primary{found.primary};
        }
        return refusal(error_code::no_primary, "a read that may run at a replica");
    }
    // A replica that can serve now, unless it is so much busier that even the primary costs less.
    if (found.best_replica != no_index) {
        if (has_primary && cost(request, candidates[found.primary]) < found.best_cost) {
            return use_primary{found.primary};
        }
        return use_replica{found.best_replica};
    }
    // A bounded wait for the replica that is expected to catch up first.
    if (found.catching_up != no_index) {
        const duration budget = wait_budget(request, has_primary);
        const bool in_time = !has_primary || found.catch_up <= budget;
        if (in_time && budget >= settings_.min_wait) {
            const duration wished =
                std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(
                    static_cast<double>(found.catch_up.count()) * settings_.wait_margin));
            return wait_for_replica{found.catching_up, std::clamp(wished, settings_.min_wait, budget)};
        }
    }
    if (has_primary) {
        return use_primary{found.primary};
    }
    // Data that is too old by the last report may be younger by the next one.
    const duration budget = wait_budget(request, has_primary);
    if (found.awaited != no_index && budget >= settings_.min_wait) {
        return wait_for_replica{found.awaited, budget};
    }
    if (found.ahead_of_history) {
        return refusal(error_code::token_ahead_of_history, "a token of the present history");
    }
    return refusal(error_code::no_eligible_instance, "a greater max_age_ms or a later deadline");
}

} // namespace gentianhill
