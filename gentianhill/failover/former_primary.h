#pragma once

#include "gentianhill/failover/instance_status.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gentianhill {

/// Remembers the instance that led the newest known term of a group, so that it is recognised as a replica
/// after it has stepped down.
///
/// Every commit acknowledged in its term is in its log, because no other instance led that term. While it
/// keeps this log and no newer term has been led, the group can be settled by it instead of by a primary's
/// answer (see `membership_settlement`).
class former_primary {
public:
    /// Records that an instance leads `term` with a log up to `log_end`; `started_at_ms` is the start time in
    /// its entry.
    void on_leading(const std::string& id, std::int64_t started_at_ms, term_number term,
                    const log_position& log_end);
    /// Records the answer of an instance that does not lead.
    void on_following(const std::string& id, const instance_status& status);
    /// True if the instance led `term`, has answered since that it does not lead, and holds the log with
    /// which it led.
    [[nodiscard]] bool holds_log(const std::string& id, std::int64_t started_at_ms, term_number term) const;
    /// Highest position that the instance has stated while it led `term`; nothing if it has stated none. Its
    /// log reaches this position unless it has started again without it.
    [[nodiscard]] std::optional<log_position> leading_log_end(const std::string& id, term_number term) const;

private:
    std::string id_;
    std::int64_t started_at_ms_ = 0;
    term_number term_ = 0;
    /// Highest position that it has stated while it led.
    log_position leading_log_end_;
    bool stepped_down_ = false;
    /// The last answer covered leading_log_end_. A log that was lost cannot grow again in the same term.
    bool log_kept_ = false;
};

} // namespace gentianhill
