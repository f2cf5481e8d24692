#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace gentianhill::standins {

/// Faults and settings of an instance that a test can change while it runs.
struct database_faults {
    /// Lag of replication.
    duration lag{0};
    /// Time that each statement occupies its slot.
    duration service_time{0};
    /// Connections that may be open at once.
    std::size_t connections = 0;
    /// The backend server announced that it is leaving.
    bool leaving = false;
    /// Requests of these daemons or instances are read but neither processed nor answered; all runs of a
    /// daemon count.
    std::set<std::string, std::less<>> drop_sources;
    /// Neither sends nor accepts replication.
    bool drop_replication = false;
    /// Reads changes but neither runs nor answers them; commits likewise.
    bool refuse_commit = false;
    /// Delay of each answer to a statement or transaction call.
    duration hold_answers{0};
    /// Statement and transaction calls that are yet to take effect without being answered.
    std::uint64_t drop_answers = 0;
    /// Answers two waiting statements with each other's body.
    bool swap_answers = false;
    /// Cuts off the second half of the body of each answer to a statement.
    bool truncate_answers = false;

    /// Changes the members named in the body of POST /control; all or none. Errors: as of object_reader.
    [[nodiscard]] bool update(std::string_view body, error& reason);
    /// True if drop_sources names the sender of a request; `source` is "name" or "name/run".
    [[nodiscard]] bool is_dropped(std::string_view source) const;
};

} // namespace gentianhill::standins
