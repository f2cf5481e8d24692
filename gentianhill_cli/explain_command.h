#pragma once

#include "gentianhill_cli/command.h"

#include <string>
#include <vector>

namespace gentianhill {

/// One line of a daemon's log.
struct log_line {
    /// What a collector has put before the line, such as the host's name.
    std::string source;
    /// Time of day as it stands in the line; sorts as text.
    std::string time;
    std::string level;
    std::string component;
    std::string event;
    /// The rest, as it stands in the line.
    std::string fields;

    /// Value of a field; empty when the line has none of that name.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Lines of collected logs in the order of their times; text that is not a log line is left out.
[[nodiscard]] std::vector<log_line> parse_log(const std::string& text);

/// What the logs say of one request: its own lines, and what changed in its group around them.
[[nodiscard]] std::string explain_request(const std::vector<log_line>& lines, const std::string& id);

/// The command `explain`.
[[nodiscard]] std::vector<command> explain_commands();

} // namespace gentianhill
