#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <string>

namespace gentianhill {

/// State of one instance, as reported in one of its answers.
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
    /// False after the instance lost its state; it is then not counted in any majority.
    bool initialised = true;
    /// True when its backend server has announced that it is leaving.
    bool leaving = false;
    /// Name of the primary that it follows, or its own name when it is the primary; empty when it has none.
    std::string primary;
    /// Identifier of the instance's state, created when it starts empty and stored with its log. A changed
    /// identifier means that the earlier state, with its entries and accepted term, was lost. Empty when the
    /// database does not provide one.
    std::string state_id;
    /// When the request for this report was sent; the reported state is not older than this.
    /// time_point::min() when unknown.
    time_point requested_at;
    /// When the answer arrived.
    time_point received_at;
};

} // namespace gentianhill
