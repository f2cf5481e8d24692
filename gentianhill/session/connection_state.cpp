#include "gentianhill/session/connection_state.h"

#include <algorithm>

namespace gentianhill {

bool connection_state::matches_values(const session_state& session) const {
    return values_ == session.values();
}

bool connection_state::needs_reset(const session_state& session, const prepared_statement* needed) const {
    // A single value can be replaced, but only a reset removes values.
    const bool has_foreign_value = std::any_of(
        values_.begin(), values_.end(), [&session](const session_state::value_map::value_type& value) {
            return session.values().find(value.first) == session.values().end();
        });
    const bool is_full = needed != nullptr && prepared_.size() >= max_prepared &&
                         prepared_.find(shared_statement_name(*needed)) == prepared_.end();
    return has_foreign_value || is_full;
}

std::vector<setup_step> connection_state::plan(const session_state& session,
                                               const prepared_statement* needed) const {
    std::vector<setup_step> steps;
    const bool reset = needs_reset(session, needed);
    if (reset) {
        steps.push_back({setup_kind::reset, "", "", false});
    }
    for (const session_state::value_map::value_type& value : session.values()) {
        const session_state::value_map::const_iterator present = values_.find(value.first);
        if (reset || present == values_.end() || present->second != value.second) {
            steps.push_back({setup_kind::set_value, value.first, value.second, false});
        }
    }
    if (needed != nullptr) {
        std::string name = shared_statement_name(*needed);
        if (reset || prepared_.find(name) == prepared_.end()) {
            steps.push_back({setup_kind::prepare, std::move(name), needed->shape, needed->writes});
        }
    }
    return steps;
}

std::vector<setup_step> connection_state::plan_some(const session_state& session,
                                                    const prepared_statement* needed) const {
    std::vector<setup_step> steps = plan(session, needed);
    if (!steps.empty()) {
        return steps;
    }
    if (!values_.empty()) {
        // Sets a value to what it is.
        return {{setup_kind::set_value, values_.begin()->first, values_.begin()->second, false}};
    }
    steps.push_back({setup_kind::reset, "", "", false});
    if (needed != nullptr) {
        steps.push_back({setup_kind::prepare, shared_statement_name(*needed), needed->shape, needed->writes});
    }
    return steps;
}

void connection_state::apply(const setup_step& step) {
    switch (step.kind) {
    case setup_kind::reset:
        values_.clear();
        prepared_.clear();
        break;
    case setup_kind::set_value:
        values_.insert_or_assign(step.name, step.argument);
        break;
    case setup_kind::prepare:
        prepared_.insert(step.name);
        break;
    }
}

} // namespace gentianhill
