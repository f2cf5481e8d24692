#pragma once

#include "gentianhill_cli/tool_context.h"

#include <optional>
#include <string>

namespace gentianhill {

/// Reads a file whole, or standard input for "-". On failure writes the reason to standard error.
[[nodiscard]] std::optional<std::string> read_input(tool_context& context, const std::string& path);

} // namespace gentianhill
