#pragma once

#include "gentianhill/consistency/log_position.h"

#include <cstdint>

namespace gentianhill {

/// Answer of an instance to a status request.
struct instance_status {
    /// True if the instance considers itself the primary.
    bool is_primary = false;
    /// Highest term that the instance follows.
    term_number term = 0;
    /// End of the replication log, including entries that are not applied yet.
    log_position log_end;
    /// Term below which a fenced instance refuses changes; 0 if it is not fenced.
    term_number fenced_term = 0;
    /// Age of the last applied change, in milliseconds.
    std::int64_t lag_ms = 0;
    /// Number of statements that are running or queued.
    std::int64_t active_statements = 0;
    /// Number of open connections from all proxies.
    std::int64_t connections = 0;

    /// True while the instance accepts changes from its primary, that is, while no fence is in effect.
    [[nodiscard]] bool accepts_replication() const { return fenced_term <= term; }
};

} // namespace gentianhill
