#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Bounds that the daemon's settings put on requests of callers.
struct caller_limits {
    /// Deadline of a request that names none.
    duration default_deadline = std::chrono::seconds{2};
    /// Longest deadline that a caller may ask for.
    duration max_deadline = std::chrono::seconds{60};
    /// Largest SQL text, in bytes.
    std::size_t max_sql_bytes = 64U << 10U;
    /// Largest number of parameters.
    std::size_t max_params = 1000;
};

/// Which data a read may return.
enum class read_consistency : std::uint8_t {
    /// Everything that the session's token covers; may be older than the latest data by the allowed age.
    session,
    /// Everything confirmed before the request arrived.
    latest,
};

/// Name of a consistency as it appears in requests.
[[nodiscard]] std::string_view to_string(read_consistency consistency);

/// One statement of a caller, checked.
struct statement_request {
    /// Database group.
    std::string group;
    /// Team that the request is counted for.
    std::string team;
    /// Statement and its positional parameters.
    std::string sql;
    nlohmann::json params = nlohmann::json::array();
    /// True when the statement changes nothing.
    bool read_only = false;
    /// Time from arrival within which the caller wants the answer.
    duration deadline{0};
    /// Session token as the caller sent it.
    std::optional<std::string> token;
    /// Key under which the request runs at most once, and when the caller issued it, in Unix seconds.
    std::optional<std::string> key;
    std::int64_t issued_at = 0;
    /// Greatest age of the data that the caller accepts; nothing means the team's limit.
    std::optional<duration> max_age;
    read_consistency consistency = read_consistency::session;
    /// Transaction that the statement belongs to; nothing outside transactions.
    std::optional<std::string> transaction;
};

/// Question for the outcome of a keyed request.
struct outcome_request {
    std::string group;
    std::string team;
    std::string key;
    duration deadline{0};
};

/// Begin, commit or rollback of a transaction.
struct transaction_request {
    /// Database group; required to begin.
    std::string group;
    std::string team;
    /// Transaction; required to commit and to roll back.
    std::string transaction;
    /// Session token as the caller sent it.
    std::optional<std::string> token;
    /// Key under which the transaction commits at most once, and when the caller issued it, in Unix seconds.
    std::optional<std::string> key;
    std::int64_t issued_at = 0;
    duration deadline{0};
};

/// What became of a request.
enum class request_status : std::uint8_t {
    /// It ran, and the answer is complete; a write is confirmed.
    done,
    /// It did not run and will not run.
    not_run,
    /// It may have run; the outcome query by key tells.
    outcome_unknown,
};

/// Name of a status as it appears in answers.
[[nodiscard]] std::string_view to_string(request_status status);

/// Answer to any request of a caller.
struct caller_answer {
    request_status status = request_status::not_run;
    /// Column names and rows of a statement.
    nlohmann::json columns = nlohmann::json::array();
    nlohmann::json rows = nlohmann::json::array();
    /// Rows changed by a write.
    std::int64_t changes = 0;
    /// Session token that covers what this answer showed; empty when there is none.
    std::string token;
    /// Age of the data, for reads.
    std::optional<duration> age;
    /// Instance that answered; empty when none did.
    std::string served_by;
    /// Transaction that was begun, or that the answer belongs to.
    std::string transaction;
    /// True when the answer repeats the recorded outcome of an earlier request with the same key.
    bool repeated = false;
    /// Why the request did not end with `done`.
    error reason;

    [[nodiscard]] nlohmann::json to_json() const;
    /// HTTP status that fits: 200, 400, 409, 429, 503 or 504.
    [[nodiscard]] int http_status() const;
    /// Refusal of a request that certainly did not run.
    [[nodiscard]] static caller_answer refused(error reason);
    /// Answer to a request that may have run.
    [[nodiscard]] static caller_answer unknown_outcome(error reason);
};

/// Reads a statement request. Errors: missing_field, unknown_field, bad_type, out_of_range, bad_value.
[[nodiscard]] std::optional<statement_request>
parse_statement_request(const nlohmann::json& body, const caller_limits& limits, error& reason);

/// Reads an outcome query. Errors as for parse_statement_request().
[[nodiscard]] std::optional<outcome_request>
parse_outcome_request(const nlohmann::json& body, const caller_limits& limits, error& reason);

/// Step of a transaction that a transaction_request asks for.
enum class transaction_operation : std::uint8_t { begin, commit, rollback };

/// Reads a transaction request. Errors as for parse_statement_request().
[[nodiscard]] std::optional<transaction_request> parse_transaction_request(const nlohmann::json& body,
                                                                           transaction_operation step,
                                                                           const caller_limits& limits,
                                                                           error& reason);

} // namespace gentianhill
