#pragma once

#include <string_view>

namespace gentianhill {

/// What valid_name() accepts, for error messages.
inline constexpr std::string_view allowed_name = "1 to 63 letters, digits, '-', '_' and '.'";

/// True for the name of a daemon, zone, group, instance or team: it fits into logs, paths and object keys
/// without escaping.
[[nodiscard]] bool valid_name(std::string_view text);

} // namespace gentianhill
