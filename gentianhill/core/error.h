#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianhill {

/// Every kind of failure that a function of this library can report.
enum class error_code : std::uint8_t {
    none,
    // Input
    bad_json,
    missing_field,
    unknown_field,
    bad_type,
    out_of_range,
    bad_value,
    too_large,
    bad_signature,
    unknown_group,
    unknown_team,
    unknown_instance,
    unknown_path,
    unknown_daemon,
    // Transport: the request was certainly not processed
    connect_failed,
    request_refused,
    // Transport: the request may have been processed
    connection_lost,
    timed_out,
    // Answers
    bad_answer,
    mismatched_answer,
    // Databases
    stale_term,
    not_primary,
    replica_behind,
    connection_limit,
    no_free_slot,
    statement_failed,
    duplicate_key,
    transaction_unknown,
    transaction_closed,
    leaving,
    log_mismatch,
    // Sessions
    token_ahead_of_history,
    token_foreign_group,
    // Requests
    deadline_exceeded,
    queue_full,
    no_primary,
    no_majority,
    replicas_not_acknowledging,
    no_eligible_instance,
    outcome_unknown,
    key_reused,
    key_expired,
    key_cancelled,
    retry_budget_spent,
    draining,
    // Platform and tickets
    version_conflict,
    not_found,
    platform_unavailable,
    number_taken,
    superseded,
    no_claim,
    // Process
    bind_failed,
    unexpected,
};

/// Name of a code as it appears in answers and logs.
[[nodiscard]] std::string_view to_string(error_code code);

/// Code of a name; `error_code::unexpected` for a name that is not in the table.
[[nodiscard]] error_code error_code_from(std::string_view name);

/// True when a request that failed with this code was certainly not processed by the receiver.
[[nodiscard]] bool certainly_not_processed(error_code code);

/// Last reason of a failed operation: what failed, the value that was found and what is allowed.
struct error {
    /// Kind of failure; `none` when nothing failed.
    error_code code = error_code::none;
    /// Path of the field, setting or object concerned.
    std::string field;
    /// Value that was found, shortened.
    std::string value;
    /// What would have been accepted, or what to do next.
    std::string allowed;

    /// True when a failure is recorded.
    [[nodiscard]] bool failed() const { return code != error_code::none; }
    /// One line for logs and operators.
    [[nodiscard]] std::string describe() const;
};

} // namespace gentianhill
