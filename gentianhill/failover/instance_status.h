#pragma once

#include "gentianhill/consistency/log_position.h"

#include <cstdint>

namespace gentianhill {

/// What an instance says when it is asked for its status.
struct instance_status {
    /// True when it takes itself for the primary.
    bool is_primary = false;
    /// Newest term that it follows.
    term_number term = 0;
    /// End of its log, applied or not.
    log_position log_end;
    /// Term above which it accepts nothing any more; 0 while it is not fenced.
    term_number fenced_term = 0;
    /// Age of the last change that it has applied, in milliseconds.
    std::int64_t lag_ms = 0;
    /// Statements that it runs or queues.
    std::int64_t active_statements = 0;
    /// Connections of all proxies.
    std::int64_t connections = 0;

    /// True while the instance accepts changes of its primary.
    [[nodiscard]] bool accepts_replication() const { return fenced_term <= term; }
};

} // namespace gentianhill
