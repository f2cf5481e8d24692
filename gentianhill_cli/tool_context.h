#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/core/setting_values.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace gentianhill {

/// What a command of the tool works with.
struct tool_context {
    /// Loop that runs while a command waits for answers.
    event_loop& loop;
    /// Results.
    std::ostream& out;
    /// Errors and what to do next.
    std::ostream& errors;
    /// Environment variables that start with GENTIANHILL_.
    environment_map environment;
    /// Asked after each round of `timeline --follow`; empty to follow until the process is ended.
    std::function<bool()> keep_following;

    /// Operator endpoints of the daemons to ask.
    std::vector<endpoint> daemons{};
    /// True to print JSON.
    bool json = false;
    /// Longest time to wait for one answer.
    duration timeout = std::chrono::seconds{5};
};

} // namespace gentianhill
