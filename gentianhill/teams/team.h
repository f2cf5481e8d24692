#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace gentianhill {

/// Limit on the operations of a team, over all daemons together. An operation is a single statement or a
/// transaction.
struct team_rate {
    /// Operations per second in the long run.
    double per_second = 0;
    /// Operations that may be started at once after a pause.
    double burst = 0;

    friend bool operator==(const team_rate&, const team_rate&) = default;
};

/// A team that calls the system, as the operator has configured it. Instances are told its name.
struct team {
    std::string name;
    /// Limit on its operations; nothing when it has none.
    std::optional<team_rate> rate;
};

} // namespace gentianhill
