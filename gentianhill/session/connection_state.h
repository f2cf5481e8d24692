#pragma once

#include "gentianhill/session/session_state.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Kind of command sent on an instance connection to match it to a session.
enum class setup_kind : std::uint8_t { reset, set_value, prepare };

/// One command of a connection's setup.
struct setup_step {
    setup_kind kind = setup_kind::reset;
    /// Name of the session value, or shared name of the prepared statement.
    std::string name;
    /// Session value, or shape of the prepared statement.
    std::string argument;
    /// True for a prepared statement that writes.
    bool writes = false;
};

/// Session values and prepared statements currently set on an instance connection.
class connection_state {
public:
    /// Returns the steps that give the connection exactly the session's values and, if `needed` is not null,
    /// that prepared statement. Empty when no step is needed.
    [[nodiscard]] std::vector<setup_step> plan(const session_state& session,
                                               const prepared_statement* needed) const;
    /// Returns steps as plan() does, but at least one, also when the connection has what the session needs.
    [[nodiscard]] std::vector<setup_step> plan_some(const session_state& session,
                                                    const prepared_statement* needed) const;
    /// Applies a step that the instance has acknowledged.
    void apply(const setup_step& step);
    /// True when the connection has exactly the session's values.
    [[nodiscard]] bool matches_values(const session_state& session) const;
    /// Removes a prepared statement that the instance reported as unknown.
    void forget(const std::string& shared_name) { prepared_.erase(shared_name); }

    /// Maximum number of prepared statements on a connection; preparing another one requires a reset.
    static constexpr std::size_t max_prepared = 200;

private:
    [[nodiscard]] bool needs_reset(const session_state& session, const prepared_statement* needed) const;

    session_state::value_map values_;
    std::set<std::string, std::less<>> prepared_;
};

} // namespace gentianhill
