#include "gentianhill/daemon/group_waiters.h"

#include <utility>
#include <vector>

namespace gentianhill {

namespace {

template <typename handler, typename result>
using finished_list = std::vector<std::pair<handler, result>>;

/// Handlers run after the containers are consistent, since they may add new waits.
template <typename handler, typename result>
void call_all(const finished_list<handler, result>& finished) {
    for (const std::pair<handler, result>& entry : finished) {
        entry.first(entry.second);
    }
}

} // namespace

void group_waiters::add_confirm(const log_position& position, time_point deadline, confirm_handler on_done) {
    confirms_.emplace(position, confirm_wait{deadline, std::move(on_done)});
}

void group_waiters::add_condition(std::function<bool()> condition, time_point deadline,
                                  condition_handler on_done) {
    conditions_.push_back(condition_wait{std::move(condition), deadline, std::move(on_done)});
}

void group_waiters::advance(const position_tracker& positions) {
    finished_list<confirm_handler, confirm_result> confirmed;
    std::multimap<log_position, confirm_wait>::iterator wait = confirms_.begin();
    // Waits are ordered, so the first one above the confirmed position ends the search.
    while (wait != confirms_.end() && wait->first <= positions.confirmed()) {
        if (positions.is_confirmed(wait->first)) {
            confirmed.emplace_back(std::move(wait->second.on_done), confirm_result::confirmed);
            wait = confirms_.erase(wait);
        } else if (positions.is_lost(wait->first) || wait->first.term < positions.confirmed().term) {
            confirmed.emplace_back(std::move(wait->second.on_done), confirm_result::superseded);
            wait = confirms_.erase(wait);
        } else {
            ++wait;
        }
    }
    finished_list<condition_handler, bool> reached;
    std::list<condition_wait>::iterator condition = conditions_.begin();
    while (condition != conditions_.end()) {
        if (condition->condition()) {
            reached.emplace_back(std::move(condition->on_done), true);
            condition = conditions_.erase(condition);
        } else {
            ++condition;
        }
    }
    call_all(confirmed);
    call_all(reached);
}

void group_waiters::expire(time_point now) {
    finished_list<confirm_handler, confirm_result> late_confirms;
    std::multimap<log_position, confirm_wait>::iterator wait = confirms_.begin();
    while (wait != confirms_.end()) {
        if (wait->second.deadline <= now) {
            late_confirms.emplace_back(std::move(wait->second.on_done), confirm_result::deadline);
            wait = confirms_.erase(wait);
        } else {
            ++wait;
        }
    }
    finished_list<condition_handler, bool> late_conditions;
    std::list<condition_wait>::iterator condition = conditions_.begin();
    while (condition != conditions_.end()) {
        const bool reached = condition->condition();
        if (reached || condition->deadline <= now) {
            late_conditions.emplace_back(std::move(condition->on_done), reached);
            condition = conditions_.erase(condition);
        } else {
            ++condition;
        }
    }
    call_all(late_confirms);
    call_all(late_conditions);
}

} // namespace gentianhill
