#pragma once

#include "gentianhill_cli/command.h"

#include <vector>

namespace gentianhill {

/// Commands that query outcomes and stop daemons.
[[nodiscard]] std::vector<command> request_commands();

} // namespace gentianhill
