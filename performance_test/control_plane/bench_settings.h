#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gentianhill::control_bench {

/// What to measure.
struct bench_settings {
    /// Numbers of daemons, one run each.
    std::vector<std::size_t> daemons{2, 4, 8, 16, 32};
    /// Availability zones that the daemons are spread over.
    std::size_t zones = 2;
    /// Database groups; the summary in heartbeats holds a digest over their terms.
    std::size_t groups = 12;
    /// New tickets per second, as JSON text of `ticket_bytes`.
    double tickets_per_second = 0;
    std::size_t ticket_bytes = 800;
    /// Primary changes per second in the whole fleet.
    double changes_per_second = 0;
    /// True when all daemons exchange heartbeats with all others, whatever their number.
    bool full_mesh = false;
    /// Time before and during the measurement of each run.
    duration warm_up = std::chrono::seconds{2};
    duration length = std::chrono::seconds{5};
};

/// Reads the command line. Errors: bad_value with the option, or the help text as `allowed`.
[[nodiscard]] std::optional<bench_settings> read_settings(int count, const char* const* arguments,
                                                          error& reason);

} // namespace gentianhill::control_bench
