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

/// Positions that a session has seen, at most one per database group. The token of a new session is empty.
class session_token {
public:
    /// Maximum number of groups in one token.
    static constexpr std::size_t max_groups = 8;

    session_token() = default;
    /// Token of a session that has seen one group only.
    session_token(std::string group, const log_position& position);

    /// Position seen in a group; {0, 0} when the session has not used the group.
    [[nodiscard]] log_position position_in(std::string_view group) const;
    /// Raises the position of a group; a lower position is ignored. Errors: too_large when max_groups would
    /// be exceeded; nothing changes.
    [[nodiscard]] bool advance(std::string_view group, const log_position& position, error& reason);
    /// Sets each group to the higher position of both tokens. Errors: too_large when max_groups would be
    /// exceeded; nothing changes.
    [[nodiscard]] bool merge(const session_token& other, error& reason);
    /// Positions, ordered by group name.
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
    /// Its newer term began before the position of the session, so its log does not contain that position.
    ahead_of_history,
};

/// Name of an eligibility as it appears in logs.
[[nodiscard]] std::string_view to_string(eligibility value);

/// Checks whether the instance may serve a session that has seen position `seen` in its group.
[[nodiscard]] eligibility check_eligibility(const instance_report& report, const log_position& seen);

} // namespace gentianhill
