#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill_cli/exit_code.h"
#include "gentianhill_cli/tool_context.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// One call to the operator endpoint.
struct daemon_call {
    /// GET or POST.
    std::string method;
    /// Path below /operator/v1/.
    std::string path;
    /// JSON text; empty for GET.
    std::string body;
};

/// What one daemon answered.
struct daemon_reply {
    /// Daemon that was asked.
    endpoint daemon;
    /// The answer, or nothing and the reason.
    std::optional<nlohmann::json> value;
    error reason;
    /// True when the reason comes from the daemon, false when it was not reached or did not answer.
    bool answered = false;
};

/// Calls daemons and waits for the answers by running the loop of the context.
class daemon_client {
public:
    explicit daemon_client(tool_context& context) : context_(context) {}

    /// Asks one daemon.
    [[nodiscard]] daemon_reply call(const endpoint& daemon, const daemon_call& wanted);
    /// Asks all daemons at the same time.
    [[nodiscard]] std::vector<daemon_reply> call_all(const daemon_call& wanted);
    /// Asks the daemons in turn until one answers; only for calls that may be repeated.
    [[nodiscard]] daemon_reply call_first(const daemon_call& wanted);

    /// Writes a failed reply with what to do next to standard error and returns the exit code for it.
    exit_code report_failure(const daemon_reply& reply);
    /// Writes all failed replies; returns success, partial, refused or unreachable for the whole.
    exit_code report_failures(const std::vector<daemon_reply>& replies);

private:
    [[nodiscard]] std::vector<daemon_reply> call_each(const std::vector<endpoint>& daemons,
                                                      const daemon_call& wanted);

    tool_context& context_;
};

} // namespace gentianhill
