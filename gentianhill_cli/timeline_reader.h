#pragma once

#include "gentianhill/core/merged_timeline.h"
#include "gentianhill_cli/daemon_client.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gentianhill {

/// Reads the timelines of all daemons of the context, each from where the last read ended.
class timeline_reader {
public:
    explicit timeline_reader(tool_context& context) : context_(context), client_(context) {}

    /// Reads and merges what is new. Failures are written to standard error; `result` tells their kind.
    [[nodiscard]] std::optional<merged_timeline> read(exit_code& result);

private:
    /// Where the next read of a daemon starts.
    struct progress {
        std::int64_t incarnation = 0;
        std::uint64_t since = 0;
    };

    [[nodiscard]] daemon_reply read_pages(const endpoint& daemon, std::vector<nlohmann::json>& exports);

    tool_context& context_;
    daemon_client client_;
    std::map<endpoint, progress> progress_;
};

} // namespace gentianhill
