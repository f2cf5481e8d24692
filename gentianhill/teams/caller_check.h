#pragma once

#include "gentianhill/teams/team.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace gentianhill {

/// Whether a caller may use a route.
enum class caller_verdict : std::uint8_t {
    allowed,
    /// No team of the configuration in effect holds the key.
    denied,
    /// The configuration in effect may be too old to tell; another daemon may know.
    unknown,
};

/// Returns the name of a verdict for logs.
[[nodiscard]] std::string_view to_string(caller_verdict verdict);

/// Result of checking a caller's key.
struct caller_check {
    caller_verdict verdict = caller_verdict::denied;
    /// Team of the caller; null for a caller of a public route whose key no team holds.
    std::shared_ptr<const team> caller;
};

} // namespace gentianhill
