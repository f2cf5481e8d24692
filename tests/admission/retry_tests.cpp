#include "gentianhill/admission/retry_budget.h"
#include "gentianhill/admission/retry_policy.h"

#include <doctest/doctest.h>

#include <array>
#include <string_view>
#include <vector>

using namespace gentianhill;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array all_classes{request_class::read, request_class::keyed_write,
                                 request_class::unkeyed_write, request_class::transaction_statement,
                                 request_class::transaction_commit};
constexpr std::array all_progress{request_progress::not_sent, request_progress::sent,
                                  request_progress::answered};

/// E = retry elsewhere, K = resolve by key, N = not run, U = outcome unknown, F = failed with the error.
char letter_of(retry_action action) {
    constexpr std::string_view letters = "EKNUF";
    return letters[static_cast<std::size_t>(action)];
}

struct retry_fixture {
    time_point start{seconds{5}};
    retry_policy policy;
    retry_budget budget{{}, start};
    failed_attempt attempt{request_class::read,
                           request_progress::sent,
                           error_code::timed_out,
                           1,
                           false,
                           start + seconds{1},
                           start};
};

} // namespace

// Guards against unintended changes to any cell of the decision table (docs/design.md, section 4.7).
TEST_CASE_FIXTURE(retry_fixture, "action_for_every_cell_matches_the_table") {
    // Error codes by kind of failure, in the column order of the table.
    const std::array<std::vector<error_code>, 7> columns{
        std::vector{error_code::connect_failed, error_code::request_refused},
        std::vector{error_code::connection_lost, error_code::timed_out, error_code::bad_answer,
                    error_code::mismatched_answer, error_code::too_large, error_code::no_majority,
                    error_code::outcome_unknown, error_code::unexpected, error_code::log_mismatch},
        std::vector{error_code::stale_term, error_code::not_primary, error_code::replica_behind,
                    error_code::connection_limit, error_code::no_free_slot, error_code::leaving,
                    error_code::draining},
        std::vector{error_code::queue_full, error_code::no_primary, error_code::replicas_not_acknowledging,
                    error_code::no_eligible_instance, error_code::retry_budget_spent,
                    error_code::key_cancelled},
        std::vector{error_code::deadline_exceeded},
        std::vector{error_code::statement_failed, error_code::transaction_unknown,
                    error_code::transaction_closed, error_code::key_reused, error_code::key_expired,
                    error_code::token_ahead_of_history, error_code::token_foreign_group,
                    error_code::bad_value, error_code::unknown_group, error_code::missing_field},
        std::vector{error_code::duplicate_key}};
    const std::array<std::array<std::string_view, 5>, 3> expected{{
        {"EEENNFF", "EEENNFK", "EEENNFF", "NNNNNFF", "NNNNNFF"},
        {"EEEUUUU", "EKKKUKK", "EUUUUUU", "NNNNNNN", "NUUUUUU"},
        {"EEENUFF", "EKENUFK", "EUENUFF", "NNNNNFF", "NUNNUFF"},
    }};
    for (std::size_t progress = 0; progress < expected.size(); ++progress) {
        for (std::size_t kind = 0; kind < all_classes.size(); ++kind) {
            for (std::size_t column = 0; column < columns.size(); ++column) {
                for (const error_code code : columns[column]) {
                    CAPTURE(to_string(all_classes[kind]));
                    CAPTURE(to_string(all_progress[progress]));
                    CAPTURE(to_string(code));
                    const retry_action action =
                        retry_policy::action_for(all_classes[kind], all_progress[progress], code);
                    CHECK(letter_of(action) == expected[progress][kind][column]);
                }
            }
        }
    }
}

// Guards against a write that may have taken effect being reported as not run, or being run again.
TEST_CASE_FIXTURE(retry_fixture, "action_for_any_code_never_repeats_or_denies_a_write_with_unknown_outcome") {
    for (int number = 0; number <= static_cast<int>(error_code::unexpected); ++number) {
        const error_code code = static_cast<error_code>(number);
        for (const request_class kind : all_classes) {
            const retry_action sent = retry_policy::action_for(kind, request_progress::sent, code);
            const retry_action last = retry_policy::answer_without_retry(kind, request_progress::sent, code);
            const bool may_be_applied =
                kind != request_class::transaction_statement && !certainly_not_processed(code);
            CHECK(last != retry_action::retry_elsewhere);
            CHECK(last != retry_action::resolve_by_key);
            if (may_be_applied) {
                CHECK(last == retry_action::answer_outcome_unknown);
                CHECK((sent != retry_action::retry_elsewhere || kind == request_class::read));
            }
        }
    }
}

// Guards against answering "not run" when a later attempt fails before it is sent, but an earlier one may
// have taken effect.
TEST_CASE_FIXTURE(retry_fixture, "decide_after_attempt_with_unknown_outcome_is_never_not_run") {
    attempt.kind = request_class::keyed_write;
    attempt.progress = request_progress::not_sent;
    attempt.code = error_code::connect_failed;
    CHECK(policy.decide(attempt, budget) == retry_action::retry_elsewhere);
    attempt.earlier_outcome_unknown = true;
    attempt.attempts = 2;
    CHECK(policy.decide(attempt, budget) == retry_action::resolve_by_key);
    attempt.attempts = 3;
    CHECK(policy.decide(attempt, budget) == retry_action::answer_outcome_unknown);
    // With a cancelled key the outcome is certain: the request can no longer run.
    attempt.progress = request_progress::answered;
    attempt.code = error_code::key_cancelled;
    CHECK(policy.decide(attempt, budget) == retry_action::answer_not_run);
}

// Guards against retries beyond the deadline, the maximum number of attempts or the budget.
TEST_CASE_FIXTURE(retry_fixture, "decide_without_time_attempts_or_budget_answers_what_is_certain") {
    CHECK(policy.decide(attempt, budget) == retry_action::retry_elsewhere);
    attempt.now = attempt.deadline - milliseconds{9};
    CHECK(policy.decide(attempt, budget) == retry_action::answer_outcome_unknown);
    attempt.now = start;
    attempt.attempts = 3;
    CHECK(policy.decide(attempt, budget) == retry_action::answer_outcome_unknown);
    attempt.attempts = 1;
    while (budget.try_spend(start)) {
    }
    CHECK(policy.decide(attempt, budget) == retry_action::answer_outcome_unknown);
    attempt.code = error_code::connect_failed;
    CHECK(policy.decide(attempt, budget) == retry_action::answer_not_run);
}

// Guards against retries multiplying the load when every request fails (retry storm).
TEST_CASE_FIXTURE(retry_fixture, "retry_budget_every_request_failing_grants_a_tenth") {
    time_point now = start;
    int granted = 0;
    constexpr int requests = 100000;
    for (int request = 0; request < requests; ++request) {
        now += duration{100};
        budget.add_request(now);
        granted += budget.try_spend(now) ? 1 : 0;
    }
    CHECK(granted <= requests / 10);
    CHECK(granted >= requests / 10 - 1);
}

// Guards against a daemon with little traffic never being able to retry, and against unbounded accumulation
// of tokens.
TEST_CASE_FIXTURE(retry_fixture, "retry_budget_quiet_time_refills_up_to_the_capacity") {
    while (budget.try_spend(start)) {
    }
    CHECK_FALSE(budget.try_spend(start + milliseconds{900}));
    CHECK(budget.try_spend(start + milliseconds{1000}));
    CHECK(budget.available(start + seconds{3600}) == doctest::Approx(20.0));
    // An earlier time adds no tokens.
    CHECK_FALSE(budget.try_spend(start));
}
