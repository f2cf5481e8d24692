#pragma once

#include "gentianhill/teams/team.h"

#include <functional>
#include <memory>

namespace gentianhill {

/// Decides whether an operation of a team may start now under the team's limit. Filled by the quota of this
/// daemon, or by a test.
struct quota_port {
    /// Asks for the admission of one operation, when its first statement that goes to an instance is about to
    /// be placed. `done` is called once with whether it may start, possibly from within the call. Empty when
    /// no limits are kept; then every operation may start.
    std::function<void(const std::shared_ptr<const team>& caller, std::function<void(bool admitted)> done)>
        admit;
};

} // namespace gentianhill
