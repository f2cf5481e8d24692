#include "gentianhill/consistency/position_tracker.h"

#include <algorithm>

namespace gentianhill {

namespace {

// Number of terms whose confirmed range is kept; entries of older terms are not known to be confirmed.
constexpr std::size_t max_confirmed_terms = 32;

// True when the log ends with an entry of the accepted term, so that it only grows within that term.
bool has_entry_of_accepted_term(const instance_report& report) {
    return report.initialised && report.accepted_term > 0 && report.last_entry.term == report.accepted_term;
}

// True unless both reports have a state identifier and these differ.
bool is_same_state(const instance_report& first, const instance_report& second) {
    return first.state_id.empty() || second.state_id.empty() || first.state_id == second.state_id;
}

// Merges two reports of the same state in the same accepted term.
instance_report merge_reports(const instance_report& first, const instance_report& second) {
    const bool second_is_newer = second.requested_at >= first.requested_at;
    instance_report result = second_is_newer ? second : first;
    const instance_report& other = second_is_newer ? first : second;
    // Answers may arrive out of order; within a term the log only grows.
    if (has_entry_of_accepted_term(other) &&
        (!has_entry_of_accepted_term(result) || other.last_entry > result.last_entry)) {
        result.last_entry = other.last_entry;
        result.term_start = std::max(result.term_start, other.term_start);
    }
    if (result.last_entry.term == other.last_entry.term) {
        result.term_start = std::max(result.term_start, other.term_start);
    }
    if (result.primary.empty()) {
        result.primary = other.primary;
    }
    result.received_at = std::max(first.received_at, second.received_at);
    return result;
}

} // namespace

position_tracker::position_tracker(const std::vector<std::string>& members,
                                   const position_tracker_settings& settings)
    : settings_(settings) {
    members_.reserve(members.size());
    for (const std::string& name : members) {
        members_.push_back(member{name, std::nullopt, std::nullopt, std::nullopt});
    }
    confirmed_terms_.reserve(max_confirmed_terms + 1);
}

const position_tracker::member* position_tracker::find(const std::string& instance) const {
    for (const member& candidate : members_) {
        if (candidate.name == instance) {
            return &candidate;
        }
    }
    return nullptr;
}

bool position_tracker::apply(const instance_report& report, bool direct) {
    const std::vector<member>::iterator target =
        std::find_if(members_.begin(), members_.end(),
                     [&report](const member& candidate) { return candidate.name == report.instance; });
    if (target == members_.end()) {
        return false;
    }
    if (direct && (!target->answered_at || *target->answered_at < report.received_at)) {
        target->answered_at = report.received_at;
    }

    if (!report.initialised) {
        return apply_state_loss(*target, report);
    }
    if (!is_current(*target, report)) {
        return false;
    }
    const bool is_same_term = !target->state_loss_seen_at && target->report &&
                              is_same_state(*target->report, report) &&
                              target->report->accepted_term == report.accepted_term;
    target->report = is_same_term ? merge_reports(*target->report, report) : report;
    target->state_loss_seen_at.reset();
    update_confirmed(report.received_at);
    return true;
}

bool position_tracker::apply_state_loss(member& target, const instance_report& report) {
    if (target.report && report.requested_at < target.report->requested_at) {
        return false;
    }
    // Without a state identifier, the state may have been admitted and lost again since the last report.
    const bool is_same_loss =
        target.state_loss_seen_at && !report.state_id.empty() && report.state_id == target.report->state_id;
    if (!is_same_loss) {
        target.state_loss_seen_at = report.received_at;
    }
    target.report = report;
    return true;
}

bool position_tracker::is_current(const member& target, const instance_report& report) {
    // A late report of a lost state must not restore it.
    if (target.state_loss_seen_at) {
        return report.requested_at >= *target.state_loss_seen_at;
    }
    if (!target.report) {
        return true;
    }
    // The state was lost and admitted again without a report of it; the accepted term may be lower than
    // before.
    if (!is_same_state(*target.report, report)) {
        return report.requested_at >= target.report->received_at;
    }
    return report.accepted_term >= target.report->accepted_term;
}

term_number position_tracker::current_term() const {
    term_number highest = 0;
    for (const member& candidate : members_) {
        if (candidate.report && candidate.report->initialised) {
            highest = std::max(highest, candidate.report->accepted_term);
        }
    }
    return highest;
}

position_tracker::known_primary position_tracker::find_primary() const {
    known_primary result;
    for (const member& candidate : members_) {
        if (!candidate.report || !candidate.report->initialised ||
            candidate.report->accepted_term <= result.term) {
            continue;
        }
        // The primary of a follower is only used once the follower holds an entry of its accepted term:
        // before, the name may belong to an older term.
        const instance_report& report = *candidate.report;
        const member* named = nullptr;
        if (report.is_primary) {
            named = &candidate;
        } else if (has_entry_of_accepted_term(report)) {
            named = find(report.primary);
        }
        if (named != nullptr) {
            result = known_primary{named, report.accepted_term};
        }
    }
    if (result.instance == nullptr) {
        return result;
    }
    // The named instance may have accepted a higher term or lost its state since.
    const std::optional<instance_report>& own = result.instance->report;
    const bool no_longer_primary = own && (!own->initialised || own->accepted_term > result.term);
    std::size_t members_above = 0;
    for (const member& candidate : members_) {
        members_above +=
            candidate.report && candidate.report->initialised && candidate.report->accepted_term > result.term
                ? 1
                : 0;
    }
    return no_longer_primary || members_above >= majority() ? known_primary{} : result;
}

std::optional<std::string> position_tracker::primary() const {
    const known_primary found = find_primary();
    return found.instance == nullptr ? std::nullopt : std::optional<std::string>{found.instance->name};
}

term_number position_tracker::primary_term() const {
    return find_primary().term;
}

void position_tracker::update_confirmed(time_point now) {
    for (const member& candidate : members_) {
        if (!candidate.report || !has_entry_of_accepted_term(*candidate.report) ||
            candidate.report->accepted_term < confirmed_.term) {
            continue;
        }
        // Only reports of the same accepted term are counted together. A position is confirmed when a
        // majority reported it or a higher one.
        const term_number term = candidate.report->accepted_term;
        const std::uint64_t position = candidate.report->last_entry.position;
        std::size_t holders = 0;
        std::uint64_t start = 0;
        for (const member& other : members_) {
            if (other.report && has_entry_of_accepted_term(*other.report) &&
                other.report->accepted_term == term) {
                holders += other.report->last_entry.position >= position ? 1 : 0;
                start = std::max(start, other.report->term_start);
            }
        }
        if (holders >= majority()) {
            record_confirmed(confirmed_term{term, start, position}, now);
        }
    }
}

void position_tracker::record_confirmed(const confirmed_term& found, time_point now) {
    if (confirmed_terms_.empty() || confirmed_terms_.back().term < found.term) {
        confirmed_terms_.push_back(found);
        if (confirmed_terms_.size() > max_confirmed_terms) {
            confirmed_terms_.erase(confirmed_terms_.begin());
        }
    }
    confirmed_term& latest = confirmed_terms_.back();
    latest.start = std::max(latest.start, found.start);
    latest.highest = std::max(latest.highest, found.highest);
    const log_position reached{latest.term, latest.highest};
    if (reached <= confirmed_) {
        return;
    }
    confirmed_ = reached;
    if (no_progress_since_) {
        no_progress_since_ = confirmed_ >= unconfirmed_write_ ? std::nullopt : std::optional<time_point>{now};
    }
}

bool position_tracker::is_confirmed(log_position entry) const {
    return std::any_of(confirmed_terms_.begin(), confirmed_terms_.end(),
                       [entry](const confirmed_term& known) {
                           return known.term == entry.term && entry.position <= known.highest;
                       });
}

bool position_tracker::is_lost(log_position entry) const {
    return std::any_of(confirmed_terms_.begin(), confirmed_terms_.end(),
                       [entry](const confirmed_term& known) {
                           return known.term > entry.term && known.start > 0 && known.start <= entry.position;
                       });
}

std::optional<time_point> position_tracker::majority_seen_at(term_number term) const {
    std::optional<time_point> latest;
    for (const member& candidate : members_) {
        if (!candidate.report || candidate.report->accepted_term != term || !candidate.report->initialised ||
            candidate.report->requested_at == time_point::min()) {
            continue;
        }
        const time_point since = candidate.report->requested_at;
        if (count_at_term(term, since, std::string{}) >= majority() && (!latest || *latest < since)) {
            latest = since;
        }
    }
    return latest;
}

std::size_t position_tracker::count_at_term(term_number term, time_point since,
                                            const std::string& excluded) const {
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const member& candidate) {
            return candidate.report && candidate.report->initialised &&
                   candidate.report->accepted_term == term && candidate.report->requested_at >= since &&
                   candidate.name != excluded;
        }));
}

void position_tracker::on_write_executed(log_position entry, time_point now) {
    if (entry <= confirmed_) {
        return;
    }
    unconfirmed_write_ = std::max(unconfirmed_write_, entry);
    if (!no_progress_since_) {
        no_progress_since_ = now;
    }
}

bool position_tracker::is_confirming(time_point now) const {
    return !no_progress_since_ || now - *no_progress_since_ <= settings_.confirm_stall_limit;
}

const instance_report* position_tracker::report_of(const std::string& instance) const {
    const member* found = find(instance);
    return found != nullptr && found->report ? &*found->report : nullptr;
}

std::optional<time_point> position_tracker::state_loss_seen_at(const std::string& instance) const {
    const member* found = find(instance);
    return found == nullptr ? std::nullopt : found->state_loss_seen_at;
}

std::vector<std::string> position_tracker::reachable(time_point now) const {
    std::vector<std::string> result;
    for (const member& candidate : members_) {
        if (candidate.answered_at && now - *candidate.answered_at <= settings_.reachable_limit) {
            result.push_back(candidate.name);
        }
    }
    return result;
}

} // namespace gentianhill
