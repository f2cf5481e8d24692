#pragma once

#include "gentianhill_cli/command.h"

#include <vector>

namespace gentianhill {

/// Commands that submit and follow tickets.
[[nodiscard]] std::vector<command> ticket_commands();

} // namespace gentianhill
