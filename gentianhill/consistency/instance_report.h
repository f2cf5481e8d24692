#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <string>

namespace gentianhill {

/// What one instance said about itself in one answer.
struct instance_report {
    /// Name of the instance within its group.
    std::string instance;
    /// Highest term that the instance has accepted.
    term_number accepted_term = 0;
    /// Last entry of its log.
    log_position last_entry;
    /// Position at which the term of the last entry began.
    std::uint64_t term_start = 0;
    /// True when the instance is the primary of its accepted term.
    bool is_primary = false;
    /// False after it lost its state; it then counts for no majority.
    bool initialised = true;
    /// True when its backend server announced that it is leaving.
    bool leaving = false;
    /// Name of the instance that it follows or is; empty when it has none.
    std::string primary;
    /// Identity of the instance's state, chosen when it starts empty and kept with its log; a different one
    /// means that the earlier state, with its entries and accepted term, was lost. Empty when the database
    /// has none.
    std::string state_id;
    /// When the request that brought this answer was sent; the report is at least this new.
    time_point requested_at;
    /// When the answer arrived.
    time_point received_at;
};

} // namespace gentianhill
