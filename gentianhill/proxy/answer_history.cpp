#include "gentianhill/proxy/answer_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace gentianhill {

namespace {

using verdict_name = std::pair<answer_verdict, std::string_view>;
constexpr std::array<verdict_name, 4> verdict_names{{
    {answer_verdict::accepted, "accepted"},
    {answer_verdict::copy, "copy"},
    {answer_verdict::ambiguous, "ambiguous"},
    {answer_verdict::out_of_step, "out_of_step"},
}};

std::size_t hash_of(std::string_view text) {
    return std::hash<std::string_view>{}(text);
}

std::size_t hash_of_answer(const statement_result& result) {
    const log_position position = result.position.value_or(log_position{});
    return hash_of(fmt::format("{} {} {} {}.{} {} {}", to_string(result.outcome), result.detail,
                               static_cast<int>(result.state), position.term, position.position,
                               result.signature, fmt::join(result.rows, "\r\n")));
}

std::size_t hash_of_error(const statement_result& result) {
    const log_position position = result.position.value_or(log_position{});
    return hash_of(fmt::format("{} {} {}.{} {}", to_string(result.outcome), static_cast<int>(result.state),
                               position.term, position.position, result.detail));
}

} // namespace

std::string_view to_string(answer_verdict verdict) {
    for (const verdict_name& entry : verdict_names) {
        if (entry.first == verdict) {
            return entry.second;
        }
    }
    return "unknown";
}

std::size_t answer_history::index_of(unsigned_form form) {
    return 2 * static_cast<std::size_t>(form.state) + (form.has_row ? 1U : 0U);
}

answer_history::unsigned_form answer_history::form_of(const instance_answer& answer) {
    return {answer.status.has_value() || !answer.result.rows.empty(), answer.result.state};
}

bool answer_history::has_begun() const {
    return unsigned_forms_.at(index_of({false, transaction_state::open}));
}

bool answer_history::has_status() const {
    return unsigned_forms_.at(index_of({true, transaction_state::idle})) ||
           unsigned_forms_.at(index_of({true, transaction_state::open})) ||
           unsigned_forms_.at(index_of({true, transaction_state::failed}));
}

bool answer_history::fits(const expected_answer& expected, const instance_answer& answer) {
    const statement_result& result = answer.result;
    const bool is_signed = !result.signature.empty();
    const bool is_plain = !is_signed && !form_of(answer).has_row;
    const bool has_status = !is_signed && form_of(answer).has_row;
    switch (expected.kind) {
    case command_kind::read:
    case command_kind::write:
    case command_kind::execute:
        // A different state shows that the statement has not run in the transaction, or not outside of one.
        return is_signed && result.state == expected.state;
    case command_kind::commit:
        return is_signed && result.state == transaction_state::idle;
    case command_kind::begin:
    case command_kind::begin_read:
        return is_plain && result.state == transaction_state::open;
    case command_kind::rollback:
        return is_plain && result.state == transaction_state::idle;
    case command_kind::set_value:
    case command_kind::prepare:
    case command_kind::reset:
        return is_plain && result.state == expected.state;
    case command_kind::status:
    case command_kind::step_down:
        return has_status;
    case command_kind::fence:
        // A fence has no effect on an instance that leads or follows the term already.
        return has_status &&
               (!answer.status || answer.status->is_primary || answer.status->fenced_term >= expected.term ||
                answer.status->term >= expected.term);
    case command_kind::unfence:
        return has_status && (!answer.status || answer.status->accepts_replication());
    }
    return false;
}

answer_verdict answer_history::judge_error(const expected_answer& expected,
                                           const instance_answer& answer) const {
    // An error inside a transaction does not end it, unless it is that of its commit.
    const bool has_lost_transaction = expected.state == transaction_state::open &&
                                      expected.kind != command_kind::commit &&
                                      answer.result.state == transaction_state::idle;
    if (has_lost_transaction) {
        return answer_verdict::out_of_step;
    }
    return was_seen(answer) ? answer_verdict::ambiguous : answer_verdict::accepted;
}

answer_verdict answer_history::judge(const std::optional<expected_answer>& oldest,
                                     const instance_answer& answer) const {
    const statement_result& result = answer.result;
    const bool is_signed = !result.signature.empty();
    // An instance never uses a signature twice.
    const std::unordered_map<std::size_t, std::size_t>::const_iterator same_signature =
        is_signed ? signatures_.find(hash_of(result.signature)) : signatures_.end();
    if (same_signature != signatures_.end()) {
        // Rows of another answer may have joined the copy.
        return same_signature->second == hash_of_answer(result) ? answer_verdict::copy
                                                                : answer_verdict::out_of_step;
    }
    const bool may_be_copy = !is_signed && was_seen(answer);
    if (!oldest) {
        // If the last answer may have been a copy, this may be the true one. Whichever of two equal answers
        // is the copy, the last command was answered truthfully.
        const bool is_known = is_in_step_ || last_ == hash_of_answer(result);
        return may_be_copy && is_known ? answer_verdict::copy : answer_verdict::out_of_step;
    }
    if (result.outcome != statement_outcome::done) {
        return judge_error(*oldest, answer);
    }
    if (!fits(*oldest, answer)) {
        return may_be_copy ? answer_verdict::copy : answer_verdict::out_of_step;
    }
    // The log of an instance grows, so an older position belongs to an earlier answer. After a promotion it
    // may also be the log that the instance has taken over.
    const bool is_older = result.position && newest_position_ && *result.position < *newest_position_;
    return !is_signed && is_older ? answer_verdict::ambiguous : answer_verdict::accepted;
}

bool answer_history::may_repeat_error(const std::optional<log_position>& position) const {
    return !errors_.empty() && (!position || !last_error_position_ || *last_error_position_ >= *position);
}

bool answer_history::was_seen(const instance_answer& answer) const {
    const statement_result& result = answer.result;
    return result.outcome == statement_outcome::done ? unsigned_forms_.at(index_of(form_of(answer)))
                                                     : errors_.count(hash_of_error(result)) > 0;
}

void answer_history::add(const instance_answer& answer) {
    const statement_result& result = answer.result;
    is_in_step_ = !result.signature.empty() || !was_seen(answer);
    if (result.outcome != statement_outcome::done) {
        errors_.insert(hash_of_error(result));
        last_error_position_ = result.position;
    } else if (!result.signature.empty()) {
        signatures_.emplace(hash_of(result.signature), hash_of_answer(result));
    } else {
        unsigned_forms_.at(index_of(form_of(answer))) = true;
    }
    last_ = hash_of_answer(result);
    if (result.position && (!newest_position_ || *newest_position_ < *result.position)) {
        newest_position_ = result.position;
    }
}

} // namespace gentianhill
