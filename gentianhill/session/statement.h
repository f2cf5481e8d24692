#pragma once

#include "gentianhill/consistency/log_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Kind of a client statement.
enum class statement_kind : std::uint8_t {
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed,
};

/// Transaction state of a session or an instance connection.
enum class transaction_state : std::uint8_t { idle, open, failed };

/// How a statement ended. The outcomes from busy to denied guarantee that it had no effect.
enum class statement_outcome : std::uint8_t {
    done,
    // The statement had no effect
    busy,
    aborted,
    lagging,
    read_only,
    misrouted,
    connection_limit,
    no_statement,
    unknown_database,
    too_large,
    malformed,
    denied,
    // The statement ran, or may have run
    failed,
    timed_out,
    in_doubt,
};

/// Returns the name of an outcome for logs and metrics.
[[nodiscard]] std::string_view to_string(statement_outcome outcome);

/// A client statement.
struct statement {
    statement_kind kind = statement_kind::malformed;
    /// Identifier given by the client; forwarded unchanged.
    std::string id;
    /// Statement text as the client sent it.
    std::string text;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// Session value, shape of a prepared statement, or item and data of an execution.
    std::string argument;
    /// True for a prepared statement that writes.
    bool writes = false;
};

/// Result of a statement.
struct statement_result {
    statement_outcome outcome = statement_outcome::done;
    /// Description of an outcome other than done.
    std::string detail;
    /// Rows in the order of their arrival.
    std::vector<std::string> rows;
    /// Signature by which the instance proves that it ran the statement; empty for statements answered by the
    /// proxy.
    std::string signature;
    /// Transaction state after the statement.
    transaction_state state = transaction_state::idle;
    /// Log position of the instance after the statement, if the instance reported one.
    std::optional<log_position> position;
};

/// Returns a result with an outcome decided by the proxy.
[[nodiscard]] statement_result make_refusal(statement_outcome outcome, std::string_view detail,
                                            transaction_state state);

} // namespace gentianhill
