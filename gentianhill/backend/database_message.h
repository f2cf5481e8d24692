#pragma once

#include "gentianhill/admission/retry_policy.h"
#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// One SQL statement with its positional parameters.
struct sql_statement {
    /// Text of the statement.
    std::string sql;
    /// Positional parameters; a JSON array.
    nlohmann::json params = nlohmann::json::array();
};

/// Statements that an instance runs as one atomic batch.
struct execute_request {
    /// Term in which the batch may run.
    term_number term = 0;
    /// Statements in order.
    std::vector<sql_statement> statements;
    /// True when no statement may change data.
    bool read_only = false;
    /// True when the batch belongs to the connection's open transaction.
    bool in_transaction = false;

    [[nodiscard]] nlohmann::json to_json() const;
};

/// Error of a failed request to an instance, and how far the request progressed.
struct backend_failure {
    error reason;
    request_progress progress = request_progress::not_sent;
};

/// Complete answer from an instance.
struct database_answer {
    /// Results of the statements in order: {columns, rows, changes}; empty for calls without statements.
    nlohmann::json results = nlohmann::json::array();
    /// Log position of the data that the answer was computed from; for a write, the position of its own log
    /// entry.
    log_position data_position;
    /// State of the instance, if the answer contains it.
    std::optional<instance_report> report;
};

/// Parts that a complete answer to a call has.
struct answer_parts {
    /// Number of results; nothing for a call without statements.
    std::optional<std::size_t> results;
    /// Log position of the data.
    bool position = false;
    /// State of the instance.
    bool report = false;
};

/// Parts of a complete answer to the call `path` with `body`.
[[nodiscard]] answer_parts answer_parts_of(std::string_view path, const nlohmann::json& body);

/// Parses the status fields of an instance. Errors: missing_field, bad_type, out_of_range.
[[nodiscard]] std::optional<instance_report> parse_instance_report(const nlohmann::json& status,
                                                                   time_point sent_at, time_point received_at,
                                                                   error& reason);

/// Parses an answer body and checks that it answers the request `request_id` and has all `required` parts.
/// Errors: bad_json, mismatched_answer, bad_answer, missing_field, bad_type, or the error that the instance
/// answered with. `failure.progress` is `answered` only if the instance itself refused the request.
[[nodiscard]] std::optional<database_answer> parse_database_answer(int http_status, std::string_view body,
                                                                   std::string_view request_id,
                                                                   const answer_parts& required,
                                                                   time_point sent_at, time_point received_at,
                                                                   backend_failure& failure);

} // namespace gentianhill
