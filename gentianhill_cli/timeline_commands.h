#pragma once

#include "gentianhill_cli/command.h"

#include <vector>

namespace gentianhill {

/// Commands that read the timelines of daemons.
[[nodiscard]] std::vector<command> timeline_commands();

} // namespace gentianhill
