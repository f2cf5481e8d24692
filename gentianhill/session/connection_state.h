#pragma once

#include "gentianhill/session/session_state.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// What has to be sent on an instance connection before a session's statement may run there.
enum class setup_kind : std::uint8_t { reset, set_value, prepare };

/// One step of a setup.
struct setup_step {
    setup_kind kind = setup_kind::reset;
    /// Name of the value, or shared name of the prepared statement.
    std::string name;
    /// The value, or the shape of the prepared statement.
    std::string argument;
    /// True for a prepared statement that writes.
    bool writes = false;
};

/// Session values and prepared statements that an instance connection holds.
class connection_state {
public:
    /// Steps after which the connection has exactly the session's values and, when `needed` is given, that
    /// prepared statement. Empty when nothing is missing.
    [[nodiscard]] std::vector<setup_step> plan(const session_state& session,
                                               const prepared_statement* needed) const;
    /// Records a step that the instance has acknowledged.
    void apply(const setup_step& step);
    /// True when no session value has to be set or cleared.
    [[nodiscard]] bool matches_values(const session_state& session) const;
    /// Records that the instance does not know a prepared statement.
    void forget(const std::string& shared_name) { prepared_.erase(shared_name); }

    /// Prepared statements kept on one connection; a reset makes room.
    static constexpr std::size_t max_prepared = 200;

private:
    [[nodiscard]] bool needs_reset(const session_state& session, const prepared_statement* needed) const;

    session_state::value_map values_;
    std::set<std::string, std::less<>> prepared_;
};

} // namespace gentianhill
