#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/event_loop.h"

namespace gentianhill::standins {

/// Prints "listening <address:port>" to standard error and runs the loop until SIGTERM or SIGINT; returns the
/// exit code.
[[nodiscard]] int run_process(event_loop& loop, const endpoint& listening);

/// Prints the reason to standard error and returns the exit code of a process that could not start.
[[nodiscard]] int report_failure(const error& reason);

} // namespace gentianhill::standins
