#include "gentianhill/consistency/replica_selector.h"

#include "gentianhill/consistency/session_token.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr std::size_t no_index = SIZE_MAX;

bool accepts_reads(const read_candidate& candidate) {
    const bool excludes_itself =
        candidate.report != nullptr && (candidate.report->leaving || !candidate.report->initialised);
    return candidate.reachable && !candidate.leaving && !excludes_itself;
}

bool is_fresh_enough(const read_request& request, const read_candidate& candidate) {
    return !request.max_age || (candidate.age && *candidate.age <= *request.max_age);
}

eligibility eligibility_for(const read_request& request, const read_candidate& candidate) {
    const eligibility state = check_eligibility(*candidate.report, request.required_position);
    // The primary holds every confirmed entry up to its own term, including those after its last report.
    const bool holds_position =
        candidate.is_primary && candidate.report->last_entry.term >= request.required_position.term;
    return state == eligibility::behind && holds_position ? eligibility::eligible : state;
}

refuse_read refusal(error_code code, std::string_view allowed) {
    return refuse_read{error{code, "group", {}, std::string{allowed}}};
}

} // namespace

/// Candidates that can serve one read now, or are expected to do so later.
struct replica_selector::candidate_summary {
    std::size_t best_replica = no_index;
    double best_cost = 0.0;
    std::size_t primary = no_index;
    std::size_t fastest_to_catch_up = no_index;
    duration catch_up_time{0};
    /// Instance that may become eligible with its next report, at a time that cannot be predicted.
    std::size_t awaiting_report = no_index;
    bool ahead_of_history = false;

    void add_catch_up_estimate(std::size_t index, const std::optional<duration>& expected) {
        if (expected && (fastest_to_catch_up == no_index || *expected < catch_up_time)) {
            fastest_to_catch_up = index;
            catch_up_time = *expected;
        }
    }
};

replica_selector::replica_selector(const replica_selector_settings& settings) : settings_(settings) {}

double replica_selector::cost(const read_request& request, const read_candidate& candidate) const {
    const double zone_cost = candidate.zone == request.zone ? 0.0 : settings_.other_zone_cost;
    return candidate.load + zone_cost + (candidate.is_primary ? settings_.primary_cost : 0.0);
}

std::optional<duration> replica_selector::fresh_report_wait(const read_request& request) const {
    // One short wait per read: an instance that sends no report must not delay it further.
    return request.waited < settings_.min_wait ? std::optional{settings_.min_wait} : std::nullopt;
}

std::optional<duration> replica_selector::expected_catch_up_time(const read_request& request,
                                                                 const read_candidate& candidate) const {
    if (request.now - candidate.report->received_at >= settings_.report_stale_after) {
        return fresh_report_wait(request);
    }
    const log_position& last = candidate.report->last_entry;
    std::optional<duration> expected;
    if (candidate.entries_per_second > 0.0 && request.required_position.position > last.position) {
        const double gap = static_cast<double>(request.required_position.position - last.position);
        const double seconds = gap / candidate.entries_per_second;
        // Capped: a longer time makes no difference to the choice and could overflow.
        constexpr double longest_seconds = 60.0;
        expected = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::min(seconds, longest_seconds)));
    }
    // At a constant lag, a replica receives everything written so far within the current age of its data.
    if (candidate.age && (!expected || *candidate.age < *expected)) {
        expected = candidate.age;
    }
    return expected;
}

replica_selector::candidate_summary
replica_selector::summarize(const read_request& request, std::span<const read_candidate> candidates) const {
    candidate_summary found;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const read_candidate& candidate = candidates[index];
        if (!accepts_reads(candidate)) {
            continue;
        }
        if (candidate.report == nullptr) {
            found.add_catch_up_estimate(index, fresh_report_wait(request));
            found.awaiting_report = index;
            continue;
        }
        const eligibility state = eligibility_for(request, candidate);
        if (state == eligibility::ahead_of_history) {
            found.ahead_of_history = true;
            continue;
        }
        if (state == eligibility::eligible && !is_fresh_enough(request, candidate)) {
            found.awaiting_report = index;
            continue;
        }
        if (state == eligibility::eligible) {
            if (candidate.is_primary) {
                found.primary = index;
            } else if (const double candidate_cost = cost(request, candidate);
                       found.best_replica == no_index || candidate_cost < found.best_cost) {
                found.best_replica = index;
                found.best_cost = candidate_cost;
            }
            continue;
        }
        found.add_catch_up_estimate(index, expected_catch_up_time(request, candidate));
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
    const candidate_summary found = summarize(request, candidates);
    const bool has_primary = found.primary != no_index;
    if (request.primary_only) {
        if (has_primary) {
            return use_primary{found.primary};
        }
        return refusal(error_code::no_primary, "a read that may run at a replica");
    }
    // Prefer a replica that can serve now, unless its load makes the primary cheaper.
    if (found.best_replica != no_index) {
        if (has_primary && cost(request, candidates[found.primary]) < found.best_cost) {
            return use_primary{found.primary};
        }
        return use_replica{found.best_replica};
    }
    // Otherwise wait, for a bounded time, for the replica that is expected to catch up first.
    if (found.fastest_to_catch_up != no_index) {
        const duration budget = wait_budget(request, has_primary);
        const bool in_time = !has_primary || found.catch_up_time <= budget;
        if (in_time && budget >= settings_.min_wait) {
            const duration requested_wait =
                std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(
                    static_cast<double>(found.catch_up_time.count()) * settings_.wait_factor));
            return wait_for_replica{found.fastest_to_catch_up,
                                    std::clamp(requested_wait, settings_.min_wait, budget)};
        }
    }
    if (has_primary) {
        return use_primary{found.primary};
    }
    // The next report may show that data which is too old now has become recent enough.
    const duration budget = wait_budget(request, has_primary);
    if (found.awaiting_report != no_index && budget >= settings_.min_wait) {
        return wait_for_replica{found.awaiting_report, budget};
    }
    if (found.ahead_of_history) {
        return refusal(error_code::token_ahead_of_history, "a token of the present history");
    }
    return refusal(error_code::no_eligible_instance, "a greater max_age_ms or a later deadline");
}

} // namespace gentianhill
