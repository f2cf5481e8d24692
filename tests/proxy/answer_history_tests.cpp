#include "gentianhill/proxy/answer_history.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

instance_answer make_answer(const std::string& signature, transaction_state state,
                            std::uint64_t position = 7) {
    instance_answer answer;
    answer.result.signature = signature;
    answer.result.state = state;
    answer.result.position = log_position{1, position};
    return answer;
}

instance_answer make_status(std::uint64_t position = 7) {
    instance_answer answer = make_answer("", transaction_state::idle, position);
    answer.result.rows = {"replica 1 1.7 0 0 0 1"};
    answer.status = instance_status{};
    return answer;
}

instance_answer make_error(statement_outcome outcome, std::uint64_t position = 7) {
    instance_answer answer = make_answer("", transaction_state::idle, position);
    answer.result.outcome = outcome;
    answer.result.detail = "i-1";
    return answer;
}

struct answer_history_fixture {
    answer_history history;

    answer_verdict judge(command_kind kind, const instance_answer& answer,
                         transaction_state state = transaction_state::idle) const {
        return history.judge(expected_answer{kind, 0, state}, answer);
    }
};

} // namespace

// Guards against a success of a read, write or commit without the instance's signature, or with that of
// another statement.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_statement_is_answered_only_with_a_new_signature") {
    for (const command_kind kind : {command_kind::read, command_kind::write, command_kind::execute}) {
        CHECK(judge(kind, make_answer("s1", transaction_state::idle)) == answer_verdict::accepted);
        CHECK(judge(kind, make_answer("", transaction_state::idle)) == answer_verdict::out_of_step);
        CHECK(judge(kind, make_status()) == answer_verdict::out_of_step);
    }
    history.add(make_answer("s1", transaction_state::idle));
    CHECK(judge(command_kind::read, make_answer("s1", transaction_state::idle)) == answer_verdict::copy);
    CHECK(judge(command_kind::status, make_answer("s1", transaction_state::idle)) == answer_verdict::copy);
    CHECK(judge(command_kind::read, make_answer("s2", transaction_state::idle)) == answer_verdict::accepted);
}

// Guards against a statement that ran outside of its transaction, or inside another one, and is taken for
// done.
TEST_CASE_FIXTURE(answer_history_fixture,
                  "answer_history_statement_in_another_transaction_state_is_out_of_step") {
    CHECK(judge(command_kind::read, make_answer("s1", transaction_state::idle), transaction_state::open) ==
          answer_verdict::out_of_step);
    CHECK(judge(command_kind::write, make_answer("s1", transaction_state::open)) ==
          answer_verdict::out_of_step);
    CHECK(judge(command_kind::commit, make_answer("s1", transaction_state::open), transaction_state::open) ==
          answer_verdict::out_of_step);
    CHECK(judge(command_kind::begin, make_answer("", transaction_state::idle)) ==
          answer_verdict::out_of_step);
    CHECK(judge(command_kind::rollback, make_answer("", transaction_state::open), transaction_state::open) ==
          answer_verdict::out_of_step);
}

// Guards against the late copy of an acknowledgement that becomes the answer of the next command.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_earlier_form_that_does_not_fit_is_a_copy") {
    history.add(make_answer("", transaction_state::open));
    CHECK(judge(command_kind::write, make_answer("", transaction_state::open), transaction_state::open) ==
          answer_verdict::copy);
    CHECK(judge(command_kind::rollback, make_answer("", transaction_state::open), transaction_state::open) ==
          answer_verdict::copy);
    CHECK(judge(command_kind::status, make_answer("", transaction_state::open)) == answer_verdict::copy);
    history.add(make_status());
    CHECK(judge(command_kind::read, make_status()) == answer_verdict::copy);
    CHECK(judge(command_kind::begin, make_status()) == answer_verdict::copy);
}

// Guards against a refusal that is a copy of an earlier one, while the statement it is taken for has run.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_refusal_equal_to_an_earlier_one_is_ambiguous") {
    CHECK(judge(command_kind::write, make_error(statement_outcome::busy)) == answer_verdict::accepted);
    history.add(make_error(statement_outcome::busy));
    CHECK(history.may_repeat_error(std::nullopt));
    CHECK(history.may_repeat_error(log_position{1, 7}));
    CHECK_FALSE(history.may_repeat_error(log_position{1, 8}));
    CHECK(judge(command_kind::write, make_error(statement_outcome::busy)) == answer_verdict::ambiguous);
    CHECK(judge(command_kind::begin, make_error(statement_outcome::busy)) == answer_verdict::ambiguous);
    CHECK(judge(command_kind::write, make_error(statement_outcome::lagging)) == answer_verdict::accepted);
    CHECK(judge(command_kind::write, make_error(statement_outcome::busy, 8)) == answer_verdict::accepted);
}

// Guards against an acknowledgement or a status of before that is taken for a new one.
TEST_CASE_FIXTURE(answer_history_fixture,
                  "answer_history_unsigned_answer_of_an_older_position_is_ambiguous") {
    history.add(make_answer("s1", transaction_state::idle, 9));
    CHECK(judge(command_kind::status, make_status(8)) == answer_verdict::ambiguous);
    CHECK(judge(command_kind::set_value, make_answer("", transaction_state::idle, 8)) ==
          answer_verdict::ambiguous);
    CHECK(judge(command_kind::status, make_status(9)) == answer_verdict::accepted);
}

// Guards against an answer without a command that stays unnoticed, and one that ends a connection in order.
TEST_CASE_FIXTURE(answer_history_fixture,
                  "answer_history_answer_without_a_command_is_a_copy_or_out_of_step") {
    const auto judge_unsolicited = [this](const instance_answer& answer) {
        return history.judge(std::nullopt, answer);
    };
    history.add(make_answer("s1", transaction_state::idle));
    CHECK(judge_unsolicited(make_answer("s1", transaction_state::idle)) == answer_verdict::copy);
    CHECK(judge_unsolicited(make_status(7)) == answer_verdict::out_of_step);
    history.add(make_status(7));
    CHECK(judge_unsolicited(make_status(7)) == answer_verdict::copy);
    // Either of two status rows may have been a copy, and the true second one still to come.
    history.add(make_status(8));
    CHECK(judge_unsolicited(make_status(8)) == answer_verdict::copy);
    CHECK(judge_unsolicited(make_status(7)) == answer_verdict::out_of_step);
    // After a new signature, everything before has been answered.
    history.add(make_answer("s3", transaction_state::idle, 8));
    CHECK(judge_unsolicited(make_status(7)) == answer_verdict::copy);
    CHECK(judge_unsolicited(make_answer("s2", transaction_state::idle)) == answer_verdict::out_of_step);
    CHECK(judge_unsolicited(make_error(statement_outcome::busy)) == answer_verdict::out_of_step);
}

// Guards against a history that grows without a limit on a connection that is always in use.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_maximum_of_signatures_is_reported_as_full") {
    for (std::size_t i = 0; i < answer_history::max_signatures; ++i) {
        CHECK_FALSE(history.is_full());
        history.add(make_answer("s" + std::to_string(i), transaction_state::idle));
    }
    CHECK(history.is_full());
}

// Guards against rows that were received before a copy and are lost with it, so that an answer is not whole.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_known_signature_with_other_rows_is_out_of_step") {
    instance_answer first = make_answer("s1", transaction_state::idle);
    first.result.rows = {"a"};
    history.add(first);
    CHECK(judge(command_kind::read, first) == answer_verdict::copy);
    first.result.rows = {"b", "a"};
    CHECK(judge(command_kind::read, first) == answer_verdict::out_of_step);
}

// Guards against the refusal of a BEGIN that is taken for that of the statement after it, which then runs
// alone.
TEST_CASE_FIXTURE(answer_history_fixture,
                  "answer_history_error_that_has_left_the_transaction_is_out_of_step") {
    const instance_answer lagging = make_error(statement_outcome::lagging);
    CHECK(judge(command_kind::read, lagging, transaction_state::open) == answer_verdict::out_of_step);
    CHECK(judge(command_kind::commit, lagging, transaction_state::open) == answer_verdict::accepted);
    CHECK(judge(command_kind::read, lagging) == answer_verdict::accepted);
}

// Guards against the row of an earlier call that is taken for a fence, or for its removal.
TEST_CASE_FIXTURE(answer_history_fixture, "answer_history_row_without_the_effect_of_its_call_does_not_fit") {
    const auto judge_fence = [this](const instance_answer& answer) {
        return history.judge(expected_answer{command_kind::fence, 3, transaction_state::idle}, answer);
    };
    instance_answer row = make_status();
    row.status->term = 2;
    CHECK(judge_fence(row) == answer_verdict::out_of_step);
    CHECK(judge(command_kind::unfence, row) == answer_verdict::accepted);
    row.status->fenced_term = 3;
    CHECK(judge_fence(row) == answer_verdict::accepted);
    CHECK(judge(command_kind::unfence, row) == answer_verdict::out_of_step);
    history.add(make_status());
    CHECK(judge(command_kind::unfence, row) == answer_verdict::copy);
}
