#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gentianhill {

/// Purposes for which a connection makes the process hold memory.
enum class memory_use : std::uint8_t {
    /// Received, but not complete or not taken yet.
    input,
    /// Statements that wait or run, with their copies on the way to an instance.
    statements,
    /// Session values and prepared statements.
    session,
    /// Answers that are not sent.
    output,
    /// Received by the kernel and left there because reading is paused.
    unread,
};

inline constexpr std::size_t memory_use_count = 5;

/// Returns the name of a use for logs and metrics.
[[nodiscard]] std::string_view to_string(memory_use use);

} // namespace gentianhill
