#pragma once

#include <chrono>
#include <cstdint>

namespace gentianhill {

/// Length of time, in microseconds.
using duration = std::chrono::microseconds;

/// Moment on the process's own monotonic clock; passed into every decision as an argument.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Whole milliseconds of a duration, rounded down.
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace gentianhill
