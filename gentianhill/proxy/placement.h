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

/// How a statement accesses the database.
enum class access_kind : std::uint8_t {
    read,
    write,
    /// First statement of a read-only transaction.
    read_transaction,
    /// First statement of a transaction that may write.
    transaction,
};

/// Why a statement cannot be placed yet.
enum class placement_wait : std::uint8_t {
    none,
    /// No primary is known or usable.
    no_primary,
    /// There is no recent evidence that the primary is still the primary.
    no_evidence,
    /// No known log position is recent enough for the allowed staleness.
    no_read_point,
    /// No instance that could serve the statement is usable.
    no_instance,
    /// All connections are in use.
    no_connection,
};

/// Returns the name of a wait reason for logs and answers.
[[nodiscard]] std::string_view to_string(placement_wait reason);

/// Requirements of a statement on its instance and connection.
struct placement_query {
    access_kind access = access_kind::read;
    consistency_level consistency = consistency_level::latest;
    /// Arrival time of the statement, or of the BEGIN of its transaction.
    time_point begun_at;
    duration max_staleness{0};
    std::optional<log_position> session_position;
    time_point fresh_after;
    const session_state* session = nullptr;
    /// Team of the caller, which the connection has to belong to; empty for a caller without one.
    std::string_view team;
    /// Instances that have failed this statement or already run it; used only if no other can serve it.
    const std::vector<std::string>* excluded_instances = nullptr;
};

/// Connection selected for a statement, or the reason why it must wait.
struct placement {
    pooled_connection* connection = nullptr;
    /// Log position that the instance must have reached.
    std::optional<log_position> min_position;
    placement_wait wait = placement_wait::none;
};

} // namespace gentianhill
