#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Limits on the requests of callers, taken from the daemon's settings.
struct caller_limits {
    /// Deadline of a request that does not specify one.
    duration default_deadline = std::chrono::seconds{2};
    /// Longest deadline that a request may specify.
    duration max_deadline = std::chrono::seconds{60};
    /// Maximum size of the SQL text, in bytes.
    std::size_t max_sql_bytes = 64U << 10U;
    /// Maximum number of parameters.
    std::size_t max_params = 1000;
};

/// Consistency level of a read.
enum class read_consistency : std::uint8_t {
    /// Returns everything that the session token covers; may be older than the latest data by the allowed
    /// age.
    session,
    /// Returns everything that was confirmed before the request arrived.
    latest,
};

/// Returns the name of a consistency level as it appears in requests.
[[nodiscard]] std::string_view to_string(read_consistency consistency);

/// Validated request to run one statement.
struct statement_request {
    /// Database group.
    std::string group;
    /// Team to which the request is accounted.
    std::string team;
    /// SQL text and its positional parameters.
    std::string sql;
    nlohmann::json params = nlohmann::json::array();
    /// True for a statement that changes no data.
    bool read_only = false;
    /// Time limit for the answer, counted from the arrival of the request.
    duration deadline{0};
    /// Session token as the caller sent it.
    std::optional<std::string> token;
    /// Idempotency key, under which the request runs at most once, and the time at which the caller issued
    /// it, in seconds since the Unix epoch.
    std::optional<std::string> key;
    std::int64_t issued_at = 0;
    /// Maximum age of the data that the caller accepts; the team's limit applies if empty.
    std::optional<duration> max_age;
    read_consistency consistency = read_consistency::session;
    /// Id of the transaction that the statement belongs to; empty outside transactions.
    std::optional<std::string> transaction;
};

/// Query for the outcome of a request with an idempotency key.
struct outcome_request {
    std::string group;
    std::string team;
    std::string key;
    duration deadline{0};
};

/// Request to begin, commit or roll back a transaction.
struct transaction_request {
    /// Database group; required by begin, empty otherwise.
    std::string group;
    std::string team;
    /// Id of the transaction; required by commit and rollback, empty for begin.
    std::string transaction;
    /// Session token as the caller sent it.
    std::optional<std::string> token;
    /// Idempotency key of a commit, under which the transaction commits at most once, and the time at which
    /// the caller issued it, in seconds since the Unix epoch.
    std::optional<std::string> key;
    std::int64_t issued_at = 0;
    duration deadline{0};
};

/// Outcome of a request.
enum class request_status : std::uint8_t {
    /// The request ran and the answer is complete; a write is confirmed.
    done,
    /// The request did not run and will not run.
    not_run,
    /// The request may have run; an outcome query with its key tells whether it did.
    outcome_unknown,
};

/// Returns the name of a status as it appears in answers.
[[nodiscard]] std::string_view to_string(request_status status);

/// Answer to any request of a caller.
struct caller_answer {
    request_status status = request_status::not_run;
    /// Column names and rows of a statement.
    nlohmann::json columns = nlohmann::json::array();
    nlohmann::json rows = nlohmann::json::array();
    /// Rows changed by a write.
    std::int64_t changes = 0;
    /// Session token that covers the data in this answer; empty if there is none.
    std::string token;
    /// Age of the data, for reads.
    std::optional<duration> age;
    /// Instance that served the request; empty if none did.
    std::string served_by;
    /// Id of the transaction that was begun or that the request belongs to.
    std::string transaction;
    /// True when the answer repeats the recorded outcome of an earlier request with the same key.
    bool repeated = false;
    /// Error of a request whose status is not `done`.
    error reason;

    [[nodiscard]] nlohmann::json to_json() const;
    /// HTTP status for this answer: 200, 400, 409, 429, 503 or 504.
    [[nodiscard]] int http_status() const;
    /// Returns a `not_run` answer for a request that certainly did not run.
    [[nodiscard]] static caller_answer refused(error reason);
    /// Returns an `outcome_unknown` answer for a request that may have run.
    [[nodiscard]] static caller_answer unknown_outcome(error reason);
};

/// Parses and validates a statement request. Errors: missing_field, unknown_field, bad_type, out_of_range,
/// bad_value.
[[nodiscard]] std::optional<statement_request>
parse_statement_request(const nlohmann::json& body, const caller_limits& limits, error& reason);

/// Parses and validates an outcome query. Errors as for parse_statement_request().
[[nodiscard]] std::optional<outcome_request>
parse_outcome_request(const nlohmann::json& body, const caller_limits& limits, error& reason);

/// Operation that a transaction_request asks for.
enum class transaction_operation : std::uint8_t { begin, commit, rollback };

/// Parses and validates a transaction request. Errors as for parse_statement_request().
[[nodiscard]] std::optional<transaction_request> parse_transaction_request(const nlohmann::json& body,
                                                                           transaction_operation operation,
                                                                           const caller_limits& limits,
                                                                           error& reason);

} // namespace gentianhill
