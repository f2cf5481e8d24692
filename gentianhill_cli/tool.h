#pragma once

#include "gentianhill_cli/command.h"
#include "gentianhill_cli/exit_code.h"
#include "gentianhill_cli/tool_context.h"

#include <string>
#include <vector>

namespace gentianhill {

/// All commands of the tool.
[[nodiscard]] std::vector<command> tool_commands();

/// Runs the tool with its arguments, without the program name.
[[nodiscard]] exit_code run_tool(tool_context& context, const std::vector<std::string>& arguments);

} // namespace gentianhill
