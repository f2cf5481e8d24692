#pragma once

#include "gentianhill_cli/command.h"

#include <vector>

namespace gentianhill {

/// Commands that check input without asking a daemon.
[[nodiscard]] std::vector<command> check_commands();

} // namespace gentianhill
