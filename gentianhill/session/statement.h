#pragma once

#include "gentianhill/consistency/log_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// What a statement of a client asks for.
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

/// Transaction of a session or of an instance connection.
enum class transaction_state : std::uint8_t { idle, open, failed };

/// How a statement ended. The first group promises that nothing of it is kept.
enum class statement_outcome : std::uint8_t {
    done,
    // Nothing is kept
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
    // It ran, or may have run
    failed,
    timed_out,
    in_doubt,
};

/// Name of an outcome for logs and metrics.
[[nodiscard]] std::string_view to_string(statement_outcome outcome);

/// One statement of a client.
struct statement {
    /// What is asked for.
    statement_kind kind = statement_kind::malformed;
    /// Identifier that the client gave; it is passed on unchanged.
    std::string id;
    /// Text as the client sent it.
    std::string text;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// What follows the name: the value, the shape, or the item and its data.
    std::string argument;
    /// True for a prepared statement that writes.
    bool writes = false;
};

/// Answer to one statement.
struct statement_result {
    /// How the statement ended.
    statement_outcome outcome = statement_outcome::done;
    /// Text that goes with an outcome other than done.
    std::string detail;
    /// Rows in the order in which they arrived.
    std::vector<std::string> rows;
    /// Proof of the instance that it ran the statement; empty for statements that the proxy answers itself.
    std::string signature;
    /// State of the transaction after the statement.
    transaction_state state = transaction_state::idle;
    /// Log position of the instance after the statement, when the instance stated one.
    std::optional<log_position> position;
};

/// Result of a statement that ended with an outcome of the proxy's own.
[[nodiscard]] statement_result make_refusal(statement_outcome outcome, std::string_view detail,
                                            transaction_state state);

} // namespace gentianhill
