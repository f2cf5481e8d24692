#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"
#include "gentianhill/routing/route_table.h"
#include "gentianhill/session/session_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

class pooled_connection;

/// What a statement does to the database.
enum class access_kind : std::uint8_t {
    read,
    write,
    /// First statement of a transaction that only reads.
    read_transaction,
    /// First statement of a transaction that may write.
    transaction,
};

/// Why a statement waits.
enum class placement_wait : std::uint8_t {
    none,
    /// No instance is known to lead.
    no_primary,
    /// It is not certain that the primary still leads.
    no_evidence,
    /// No position of the primary is recent enough.
    no_read_point,
    /// No instance that could serve the statement answers.
    no_instance,
    /// All connections are in use.
    no_connection,
};

/// Name of a reason for logs and answers.
[[nodiscard]] std::string_view to_string(placement_wait reason);

/// What a statement needs of an instance.
struct placement_query {
    access_kind access = access_kind::read;
    consistency_level rule = consistency_level::latest;
    /// Arrival of the statement, or of the begin of its transaction.
    time_point first_byte;
    duration max_staleness{0};
    std::optional<log_position> session_position;
    time_point fresh_after;
    const session_state* session = nullptr;
    /// Instances that have failed this statement already.
    const std::vector<std::string>* excluded = nullptr;
};

/// Where a statement may run, or why it has to wait.
struct placement {
    pooled_connection* connection = nullptr;
    /// Position that the instance must hold.
    std::optional<log_position> since;
    placement_wait wait = placement_wait::none;
};

} // namespace gentianhill
