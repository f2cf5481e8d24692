#include "gentianhill/consistency/position_tracker.h"

#include <algorithm>

namespace gentianhill {

namespace {

// Terms whose confirmed range is remembered; older entries are neither known to be confirmed nor to be lost.
constexpr std::size_t history_limit = 32;

// True when the instance holds entries of the primary of its accepted term, so that its log only grows.
bool is_in_term(const instance_report& report) {
    return report.initialised && report.accepted_term > 0 && report.last_entry.term == report.accepted_term;
}

// True unless both carry an identity of the state and these differ.
bool is_same_state(const instance_report& first, const instance_report& second) {
    return first.state_id.empty() || second.state_id.empty() || first.state_id == second.state_id;
}

// Joins two reports of one state in the same accepted term.
instance_report join(const instance_report& first, const instance_report& second) {
    const bool second_is_newer = second.requested_at >= first.requested_at;
    instance_report result = second_is_newer ? second : first;
    const instance_report& other = second_is_newer ? first : second;
    // Answers may overtake each other; within the term the log only grows.
    if (is_in_term(other) && (!is_in_term(result) || other.last_entry > result.last_entry)) {
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
    history_.reserve(history_limit + 1);
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
        return apply_loss(*target, report);
    }
    if (!is_current(*target, report)) {
        return false;
    }
    const bool is_same_term = !target->loss_known_at && target->report &&
                              is_same_state(*target->report, report) &&
                              target->report->accepted_term == report.accepted_term;
    target->report = is_same_term ? join(*target->report, report) : report;
    target->loss_known_at.reset();
    update_confirmed(report.received_at);
    return true;
}

bool position_tracker::apply_loss(member& target, const instance_report& report) {
    if (target.report && report.requested_at < target.report->requested_at) {
        return false;
    }
    // Without an identity of the state, it may have been admitted and lost again since the last report.
    const bool is_same_loss =
        target.loss_known_at && !report.state_id.empty() && report.state_id == target.report->state_id;
    if (!is_same_loss) {
        target.loss_known_at = report.received_at;
    }
    target.report = report;
    return true;
}

bool position_tracker::is_current(const member& target, const instance_report& report) {
    // An answer of a lost state that arrives late must not bring it back.
    if (target.loss_known_at) {
        return report.requested_at >= *target.loss_known_at;
    }
    if (!target.report) {
        return true;
    }
    // The state was lost and admitted again unseen; its accepted term may be lower than before.
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
        // A follower names its primary only once it holds entries of the term: before, the name may be older.
        const instance_report& report = *candidate.report;
        const member* named = nullptr;
        if (report.is_primary) {
            named = &candidate;
        } else if (is_in_term(report)) {
            named = find(report.primary);
        }
        if (named != nullptr) {
            result = known_primary{named, report.accepted_term};
        }
    }
    if (result.instance == nullptr) {
        return result;
    }
    // The named instance may itself have gone on to a higher term or lost its state.
    const std::optional<instance_report>& own = result.instance->report;
    const bool is_gone = own && (!own->initialised || own->accepted_term > result.term);
    std::size_t above = 0;
    for (const member& candidate : members_) {
        above +=
            candidate.report && candidate.report->initialised && candidate.report->accepted_term > result.term
                ? 1
                : 0;
    }
    return is_gone || above >= majority() ? known_primary{} : result;
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
        if (!candidate.report || !is_in_term(*candidate.report) ||
            candidate.report->accepted_term < confirmed_.term) {
            continue;
        }
        // Only reports of exactly this term count together; the position that a majority reached is the
        // lowest of the majority() highest ones.
        const term_number term = candidate.report->accepted_term;
        const std::uint64_t position = candidate.report->last_entry.position;
        std::size_t holders = 0;
        std::uint64_t start = 0;
        for (const member& other : members_) {
            if (other.report && is_in_term(*other.report) && other.report->accepted_term == term) {
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
    if (history_.empty() || history_.back().term < found.term) {
        history_.push_back(found);
        if (history_.size() > history_limit) {
            history_.erase(history_.begin());
        }
    }
    confirmed_term& latest = history_.back();
    latest.start = std::max(latest.start, found.start);
    latest.highest = std::max(latest.highest, found.highest);
    const log_position reached{latest.term, latest.highest};
    if (reached <= confirmed_) {
        return;
    }
    confirmed_ = reached;
    if (waiting_since_) {
        waiting_since_ = confirmed_ >= waiting_write_ ? std::nullopt : std::optional<time_point>{now};
    }
}

bool position_tracker::is_confirmed(log_position entry) const {
    return std::any_of(history_.begin(), history_.end(), [entry](const confirmed_term& known) {
        return known.term == entry.term && entry.position <= known.highest;
    });
}

bool position_tracker::is_lost(log_position entry) const {
    return std::any_of(history_.begin(), history_.end(), [entry](const confirmed_term& known) {
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
    waiting_write_ = std::max(waiting_write_, entry);
    if (!waiting_since_) {
        waiting_since_ = now;
    }
}

bool position_tracker::is_confirming(time_point now) const {
    return !waiting_since_ || now - *waiting_since_ <= settings_.confirm_stall_limit;
}

const instance_report* position_tracker::report_of(const std::string& instance) const {
    const member* found = find(instance);
    return found != nullptr && found->report ? &*found->report : nullptr;
}

std::optional<time_point> position_tracker::loss_known_at(const std::string& instance) const {
    const member* found = find(instance);
    return found == nullptr ? std::nullopt : found->loss_known_at;
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
