#include "gentianhill/consistency/session_token.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using positions_iterator = std::vector<session_position>::iterator;
using positions_const_iterator = std::vector<session_position>::const_iterator;

bool is_before(const session_position& entry, std::string_view group) {
    return entry.group < group;
}

error too_many_groups(std::string_view group) {
    return error{error_code::too_large, "token", std::string{group},
                 fmt::format("at most {} groups in one session", session_token::max_groups)};
}

} // namespace

session_token::session_token(std::string group, const log_position& position)
    : positions_{session_position{std::move(group), position}} {}

log_position session_token::position_in(std::string_view group) const {
    const positions_const_iterator found =
        std::lower_bound(positions_.begin(), positions_.end(), group, &is_before);
    return found != positions_.end() && found->group == group ? found->position : log_position{};
}

bool session_token::advance(std::string_view group, const log_position& position, error& reason) {
    const positions_iterator found =
        std::lower_bound(positions_.begin(), positions_.end(), group, &is_before);
    if (found != positions_.end() && found->group == group) {
        found->position = std::max(found->position, position);
        return true;
    }
    if (positions_.size() >= max_groups) {
        reason = too_many_groups(group);
        return false;
    }
    positions_.insert(found, session_position{std::string{group}, position});
    return true;
}

bool session_token::merge(const session_token& other, error& reason) {
    session_token merged = *this;
    for (const session_position& entry : other.positions_) {
        if (!merged.advance(entry.group, entry.position, reason)) {
            return false;
        }
    }
    positions_ = std::move(merged.positions_);
    return true;
}

std::string_view to_string(eligibility value) {
    switch (value) {
    case eligibility::eligible:
        return "eligible";
    case eligibility::behind:
        return "behind";
    case eligibility::ahead_of_history:
        return "ahead_of_history";
    }
    return "unexpected";
}

eligibility check_eligibility(const instance_report& report, const log_position& seen) {
    if (!report.initialised || report.last_entry < seen) {
        return eligibility::behind;
    }
    // Confirmed entries of an older term precede the start of every newer term.
    if (report.last_entry.term > seen.term && report.term_start < seen.position) {
        return eligibility::ahead_of_history;
    }
    return eligibility::eligible;
}

} // namespace gentianhill
