#pragma once

#include "gentianhill/admission/retry_budget.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <string_view>

namespace gentianhill {

/// Class of a request, by the effect of repeating it.
enum class request_class : std::uint8_t {
    /// Has no side effects.
    read,
    /// Write with an idempotency key.
    keyed_write,
    /// Write without an idempotency key; must run at most once.
    unkeyed_write,
    /// Statement inside a transaction; bound to the connection, whose loss rolls it back.
    transaction_statement,
    /// Commit of a transaction.
    transaction_commit,
};

/// How far a request got before it failed.
enum class request_progress : std::uint8_t {
    /// Nothing was sent.
    not_sent,
    /// It was sent, but no complete matching answer arrived.
    sent,
    /// The instance answered with the error.
    answered,
};

/// What to do with a failed request.
enum class retry_action : std::uint8_t {
    /// Run it again on another instance, or on the new primary.
    retry_elsewhere,
    /// Query the database for the outcome by the idempotency key of the request.
    resolve_by_key,
    /// Answer not_run: the request certainly had no effect.
    answer_not_run,
    /// Answer outcome_unknown: the request may have taken effect.
    answer_outcome_unknown,
    /// Answer with the error of the database: the request ran and failed, without effect.
    answer_error,
};

[[nodiscard]] std::string_view to_string(request_class value);
[[nodiscard]] std::string_view to_string(request_progress value);
[[nodiscard]] std::string_view to_string(retry_action value);

/// One failed attempt of a request.
struct failed_attempt {
    /// Class of the request.
    request_class kind = request_class::read;
    /// How far the request got.
    request_progress progress = request_progress::not_sent;
    /// Error of the attempt.
    error_code code = error_code::unexpected;
    /// Number of attempts made so far, at least 1.
    int attempts = 1;
    /// True when an earlier attempt was sent and its outcome is unknown; "not run" is then uncertain for the
    /// request as a whole.
    bool earlier_outcome_unknown = false;
    /// Time by which the caller needs the answer.
    time_point deadline;
    /// Current time.
    time_point now;
};

/// Limits on retries in addition to the budget.
struct retry_policy_settings {
    /// Maximum number of attempts per request, including the first.
    int max_attempts = 3;
    /// Minimum time left before the deadline for a retry to be worth its load.
    duration min_remaining = std::chrono::milliseconds{10};
};

/// Decides what to do after a failed attempt; the decision table is in docs/design.md, section 4.7.
class retry_policy {
public:
    explicit retry_policy(const retry_policy_settings& settings = {});

    /// Looks up the action in the decision table, without regard to deadline, attempts and budget.
    [[nodiscard]] static retry_action action_for(request_class kind, request_progress progress,
                                                 error_code code);
    /// Returns the answer to give when a retry is no longer possible; never a retry itself.
    [[nodiscard]] static retry_action answer_without_retry(request_class kind, request_progress progress,
                                                           error_code code);
    /// Decides what to do; a retry takes a token from the budget.
    [[nodiscard]] retry_action decide(const failed_attempt& attempt, retry_budget& budget) const;

private:
    /// Replaces actions that would repeat a write or answer "not run" although an earlier attempt may have
    /// taken effect.
    [[nodiscard]] static retry_action adjust_for_earlier_attempts(const failed_attempt& attempt,
                                                                  retry_action action);

    retry_policy_settings settings_;
};

} // namespace gentianhill
