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
    return 2 * static_cast<std::size_t>(form.state) + (form.has_status ? 1U : 0U);
}

bool answer_history::has_begun() const {
    return unsigned_forms_.at(index_of({false, transaction_state::open}));
}

bool answer_history::has_status() const {
    return unsigned_forms_.at(index_of({true, transaction_state::idle})) ||
           unsigned_forms_.at(index_of({true, transaction_state::open})) ||
           unsigned_forms_.at(index_of({true, transaction_state::failed}));
}

bool answer_history::fits(command_kind kind, transaction_state state, const instance_answer& answer) {
    const statement_result& result = answer.result;
    const bool is_signed = !result.signature.empty();
    const bool is_plain = !is_signed && result.rows.empty() && !answer.status;
    switch (kind) {
    case command_kind::read:
    case command_kind::write:
    case command_kind::execute:
        // A different state shows that the statement has not run in the transaction, or not outside of one.
        return is_signed && result.state == state;
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
        return is_plain && result.state == state;
    case command_kind::status:
    case command_kind::fence:
    case command_kind::unfence:
    case command_kind::step_down:
        return !is_signed && answer.status.has_value();
    }
    return false;
}

answer_verdict answer_history::judge(std::optional<command_kind> oldest, transaction_state state,
                                     const instance_answer& answer) const {
    const statement_result& result = answer.result;
    const bool is_signed = !result.signature.empty();
    // An instance never uses a signature twice.
    if (is_signed && signatures_.count(hash_of(result.signature)) > 0) {
        return answer_verdict::copy;
    }
    const bool may_be_copy = !is_signed && was_seen(answer);
    if (!oldest) {
        // If the last answer may have been a copy, this may be the true one. Whichever of two equal answers
        // is the copy, the last command was answered truthfully.
        const bool is_known = is_in_step_ || last_ == hash_of_answer(result);
        return may_be_copy && is_known ? answer_verdict::copy : answer_verdict::out_of_step;
    }
    if (result.outcome != statement_outcome::done) {
        return may_be_copy ? answer_verdict::ambiguous : answer_verdict::accepted;
    }
    if (!fits(*oldest, state, answer)) {
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
    return result.outcome == statement_outcome::done
               ? unsigned_forms_.at(index_of({answer.status.has_value(), result.state}))
               : errors_.count(hash_of_error(result)) > 0;
}

void answer_history::add(const instance_answer& answer) {
    const statement_result& result = answer.result;
    is_in_step_ = !result.signature.empty() || !was_seen(answer);
    if (result.outcome != statement_outcome::done) {
        errors_.insert(hash_of_error(result));
        last_error_position_ = result.position;
    } else if (!result.signature.empty()) {
        signatures_.insert(hash_of(result.signature));
    } else {
        unsigned_forms_.at(index_of({answer.status.has_value(), result.state})) = true;
    }
    last_ = hash_of_answer(result);
    if (result.position && (!newest_position_ || *newest_position_ < *result.position)) {
        newest_position_ = result.position;
    }
}

} // namespace gentianhill
