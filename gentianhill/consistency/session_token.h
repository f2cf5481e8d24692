#pragma once

#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Confirmed position that a session has seen in one database group.
struct session_position {
    /// Name of the group.
    std::string group;
    /// Highest confirmed position that the session wrote or read there.
    log_position position;

    friend bool operator==(const session_position&, const session_position&) = default;
};

/// What a session has seen: at most one position per database group. An empty token is a new session.
class session_token {
public:
    /// Most groups that one token can name.
    static constexpr std::size_t max_groups = 8;

    session_token() = default;
    /// Token of a session that has seen one group only.
    session_token(std::string group, const log_position& position);

    /// Position seen in a group; {0, 0} when the session has not used the group.
    [[nodiscard]] log_position position_in(std::string_view group) const;
    /// Raises the position of a group, never lowers it. Errors: too_large at a group too many; nothing
    /// changes.
    [[nodiscard]] bool advance(std::string_view group, const log_position& position, error& reason);
    /// Takes the maximum per group of both tokens. Errors: too_large at a group too many; nothing changes.
    [[nodiscard]] bool merge(const session_token& other, error& reason);
    /// Positions, ordered by the names of the groups.
    [[nodiscard]] const std::vector<session_position>& positions() const { return positions_; }

    friend bool operator==(const session_token&, const session_token&) = default;

private:
    std::vector<session_position> positions_;
};

/// Whether an instance may serve a session.
enum class eligibility : std::uint8_t {
    /// Its log includes everything that the session has seen.
    eligible,
    /// It has not yet reached the position of the session, or it lost its state.
    behind,
    /// Its newer term began before the position of the session: the position is not of this history.
    ahead_of_history,
};

/// Name of an eligibility as it appears in logs.
[[nodiscard]] std::string_view to_string(eligibility value);

/// Whether the instance may serve a session that has seen `seen` in the instance's group.
[[nodiscard]] eligibility check_eligibility(const instance_report& report, const log_position& seen);

} // namespace gentianhill
