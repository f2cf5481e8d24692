#include "gentianhill/admission/retry_policy.h"

#include <array>
#include <cassert>

namespace gentianhill {

namespace {

/// What an error code says about the outcome of the failed request.
enum class failure_kind : std::uint8_t {
    /// It did not reach the receiver, or the receiver did not process it.
    not_processed,
    /// It may have been processed.
    indeterminate,
    /// The receiver refused it before running it; another instance may accept it.
    rejected,
    /// It was not run, and no other instance would run it either.
    not_retryable,
    /// Its deadline has passed.
    deadline_passed,
    /// It ran and failed, or its input is invalid; a retry would fail again.
    failed,
    /// Its idempotency key has been used already.
    used_key,
};
constexpr std::size_t failure_kind_count = 7;

failure_kind classify(error_code code) {
    switch (code) {
    case error_code::connect_failed:
    case error_code::request_refused:
        return failure_kind::not_processed;
    case error_code::stale_term:
    case error_code::not_primary:
    case error_code::replica_behind:
    case error_code::connection_limit:
    case error_code::no_free_slot:
    case error_code::leaving:
    case error_code::draining:
        return failure_kind::rejected;
    case error_code::queue_full:
    case error_code::no_primary:
    case error_code::replicas_not_acknowledging:
    case error_code::no_eligible_instance:
    case error_code::retry_budget_spent:
    case error_code::key_cancelled:
        return failure_kind::not_retryable;
    case error_code::deadline_exceeded:
        return failure_kind::deadline_passed;
    case error_code::duplicate_key:
        return failure_kind::used_key;
    case error_code::bad_json:
    case error_code::missing_field:
    case error_code::unknown_field:
    case error_code::bad_type:
    case error_code::out_of_range:
    case error_code::bad_value:
    case error_code::bad_signature:
    case error_code::unknown_group:
    case error_code::unknown_team:
    case error_code::unknown_instance:
    case error_code::unknown_path:
    case error_code::statement_failed:
    case error_code::transaction_unknown:
    case error_code::transaction_closed:
    case error_code::token_ahead_of_history:
    case error_code::token_foreign_group:
    case error_code::key_reused:
    case error_code::key_expired:
        return failure_kind::failed;
    default:
        // Lost connections, timeouts, malformed answers, missing majorities and all codes not listed above:
        // a wrong "not run" is worse than an unknown outcome.
        return failure_kind::indeterminate;
    }
}

using action_row = std::array<retry_action, failure_kind_count>;
constexpr retry_action elsewhere = retry_action::retry_elsewhere;
constexpr retry_action by_key = retry_action::resolve_by_key;
constexpr retry_action not_run = retry_action::answer_not_run;
constexpr retry_action unknown = retry_action::answer_outcome_unknown;
constexpr retry_action failed = retry_action::answer_error;

// Columns: not_processed, indeterminate, rejected, not_retryable, deadline_passed, failed, used_key.
// Rows: request_class. A request that was not sent can't have had an effect, whatever the error code.
constexpr std::array<action_row, 5> not_sent_table{
    action_row{elsewhere, elsewhere, elsewhere, not_run, not_run, failed, failed}, // read
    action_row{elsewhere, elsewhere, elsewhere, not_run, not_run, failed, by_key}, // keyed_write
    action_row{elsewhere, elsewhere, elsewhere, not_run, not_run, failed, failed}, // unkeyed_write
    action_row{not_run, not_run, not_run, not_run, not_run, failed, failed},       // transaction_statement
    action_row{not_run, not_run, not_run, not_run, not_run, failed, failed},       // transaction_commit
};
// Sent, but no complete matching answer arrived: only a transport error that guarantees that nothing was
// processed is certain. The connection of a transaction is closed after such a failure, which rolls back its
// statements.
constexpr std::array<action_row, 5> sent_table{
    action_row{elsewhere, elsewhere, elsewhere, unknown, unknown, unknown, unknown}, // read
    action_row{elsewhere, by_key, by_key, by_key, unknown, by_key, by_key},          // keyed_write
    action_row{elsewhere, unknown, unknown, unknown, unknown, unknown, unknown},     // unkeyed_write
    action_row{not_run, not_run, not_run, not_run, not_run, not_run, not_run},       // transaction_statement
    action_row{not_run, unknown, unknown, unknown, unknown, unknown, unknown},       // transaction_commit
};
// The instance answered with this error.
constexpr std::array<action_row, 5> answered_table{
    action_row{elsewhere, elsewhere, elsewhere, not_run, unknown, failed, failed}, // read
    action_row{elsewhere, by_key, elsewhere, not_run, unknown, failed, by_key},    // keyed_write
    action_row{elsewhere, unknown, elsewhere, not_run, unknown, failed, failed},   // unkeyed_write
    action_row{not_run, not_run, not_run, not_run, not_run, failed, failed},       // transaction_statement
    action_row{not_run, unknown, not_run, not_run, unknown, failed, failed},       // transaction_commit
};

const std::array<action_row, 5>& table_for(request_progress progress) {
    switch (progress) {
    case request_progress::not_sent:
        return not_sent_table;
    case request_progress::sent:
        return sent_table;
    case request_progress::answered:
        break;
    }
    return answered_table;
}

} // namespace

std::string_view to_string(request_class value) {
    constexpr std::array<std::string_view, 5> names{"read", "keyed_write", "unkeyed_write",
                                                    "transaction_statement", "transaction_commit"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view to_string(request_progress value) {
    constexpr std::array<std::string_view, 3> names{"not_sent", "sent", "answered"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view to_string(retry_action value) {
    constexpr std::array<std::string_view, 5> names{"retry_elsewhere", "resolve_by_key", "answer_not_run",
                                                    "answer_outcome_unknown", "answer_error"};
    return names[static_cast<std::size_t>(value)];
}

retry_policy::retry_policy(const retry_policy_settings& settings) : settings_(settings) {}

retry_action retry_policy::action_for(request_class kind, request_progress progress, error_code code) {
    const action_row& actions = table_for(progress)[static_cast<std::size_t>(kind)];
    return actions[static_cast<std::size_t>(classify(code))];
}

retry_action retry_policy::answer_without_retry(request_class kind, request_progress progress,
                                                error_code code) {
    const retry_action action = action_for(kind, progress, code);
    if (action != retry_action::retry_elsewhere && action != retry_action::resolve_by_key) {
        return action;
    }
    // Answer "not run" only if that is certain. A used key may come from an earlier attempt that took effect,
    // so it is never certain.
    const failure_kind failure = classify(code);
    const bool is_certain =
        failure != failure_kind::used_key &&
        (progress == request_progress::not_sent || failure == failure_kind::not_processed ||
         (progress == request_progress::answered && failure == failure_kind::rejected));
    return is_certain ? retry_action::answer_not_run : retry_action::answer_outcome_unknown;
}

retry_action retry_policy::adjust_for_earlier_attempts(const failed_attempt& attempt, retry_action action) {
    const bool is_key_cancelled = attempt.code == error_code::key_cancelled;
    if (!attempt.earlier_outcome_unknown || is_key_cancelled) {
        return action;
    }
    if (action == retry_action::retry_elsewhere && attempt.kind == request_class::keyed_write) {
        return retry_action::resolve_by_key;
    }
    return action == retry_action::answer_not_run ? retry_action::answer_outcome_unknown : action;
}

retry_action retry_policy::decide(const failed_attempt& attempt, retry_budget& budget) const {
    assert(attempt.attempts >= 1);
    const retry_action action =
        adjust_for_earlier_attempts(attempt, action_for(attempt.kind, attempt.progress, attempt.code));
    if (action != retry_action::retry_elsewhere && action != retry_action::resolve_by_key) {
        return action;
    }
    const bool has_time = attempt.now + settings_.min_remaining <= attempt.deadline;
    if (has_time && attempt.attempts < settings_.max_attempts && budget.try_spend(attempt.now)) {
        return action;
    }
    return adjust_for_earlier_attempts(attempt,
                                       answer_without_retry(attempt.kind, attempt.progress, attempt.code));
}

} // namespace gentianhill
