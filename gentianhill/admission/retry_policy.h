#pragma once

#include "gentianhill/admission/retry_budget.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <string_view>

namespace gentianhill {

/// What a repetition of a request would do.
enum class request_class : std::uint8_t {
    /// Changes nothing.
    read,
    /// Write with an idempotency key.
    keyed_write,
    /// Write without a key; runs at most once.
    unkeyed_write,
    /// Statement inside a transaction; bound to its connection, and rolled back with it.
    transaction_statement,
    /// Commit of a transaction.
    transaction_commit,
};

/// How far a request got before it failed.
enum class request_progress : std::uint8_t {
    /// No byte of it was sent.
    not_sent,
    /// It was sent, and no complete matching answer arrived.
    sent,
    /// The instance answered with the error.
    answered,
};

/// What to do with a failed request.
enum class retry_action : std::uint8_t {
    /// Run it again at another instance, or at the new primary.
    retry_elsewhere,
    /// Ask the database for the outcome under the request's key.
    resolve_by_key,
    /// Answer not_run: it certainly had no effect.
    answer_not_run,
    /// Answer outcome_unknown.
    answer_outcome_unknown,
    /// Answer the error of the database: the request ran and failed, without effect.
    answer_error,
};

[[nodiscard]] std::string_view to_string(request_class value);
[[nodiscard]] std::string_view to_string(request_progress value);
[[nodiscard]] std::string_view to_string(retry_action value);

/// One failed attempt of a request.
struct failed_attempt {
    /// Class of the request.
    request_class kind = request_class::read;
    /// How far it got.
    request_progress progress = request_progress::not_sent;
    /// How it failed.
    error_code code = error_code::unexpected;
    /// Attempts made so far, at least 1.
    int attempts = 1;
    /// True when an earlier attempt was sent and its outcome is not known; "not run" is then never certain.
    bool earlier_unclear = false;
    /// Moment by which the caller needs the answer.
    time_point deadline;
    /// Current time.
    time_point now;
};

/// Bounds of retries besides the budget.
struct retry_policy_settings {
    /// Most attempts of one request, the first included.
    int max_attempts = 3;
    /// Shortest time before the deadline at which a retry is still worth its load.
    duration min_remaining = std::chrono::milliseconds{10};
};

/// Decides what follows a failed attempt (design page, section 4.7).
class retry_policy {
public:
    explicit retry_policy(const retry_policy_settings& settings = {});

    /// Cell of the table, before deadline, attempts and budget are considered.
    [[nodiscard]] static retry_action action_for(request_class kind, request_progress progress,
                                                 error_code code);
    /// Answer given instead of a retry that is not possible any more; never a retry itself.
    [[nodiscard]] static retry_action answer_without_retry(request_class kind, request_progress progress,
                                                           error_code code);
    /// Decides; a retry is taken from the budget.
    [[nodiscard]] retry_action decide(const failed_attempt& attempt, retry_budget& budget) const;

private:
    [[nodiscard]] static retry_action with_history(const failed_attempt& attempt, retry_action action);

    retry_policy_settings settings_;
};

} // namespace gentianhill
