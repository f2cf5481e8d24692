#pragma once

#include "gentianhill_cli/command.h"

#include <vector>

namespace gentianhill {

/// Commands that show what daemons see: state, groups, shares, hosts.
[[nodiscard]] std::vector<command> view_commands();

} // namespace gentianhill
