#pragma once

#include "gentianhill/core/error.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Reads a settings file of lines "name = value" into flags "--name=value". Lines without a value are left
/// out, so that the default applies; '#' starts a comment. Errors: not_found, bad_value.
[[nodiscard]] std::optional<std::vector<std::string>> read_settings_file(const std::string& path,
                                                                         error& reason);

} // namespace gentianhill
