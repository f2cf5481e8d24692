#pragma once

#include <cstdint>

namespace gentianhill {

/// Exit codes of the tool; part of its interface.
enum class exit_code : std::uint8_t {
    /// Done.
    success = 0,
    /// A daemon refused the call, or a check failed.
    refused = 1,
    /// The command line is wrong.
    usage = 2,
    /// No daemon answered, or the outcome is unknown.
    unreachable = 3,
    /// Some daemons answered and others did not.
    partial = 4,
};

} // namespace gentianhill
