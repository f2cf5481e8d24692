#include "gentianhill/proxy/pooled_connection.h"

#include "gentianhill/proxy/proxy_instance.h"

#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

/// By then an instance has answered a command that it runs, unless it is slow. One that is busy gets fewer
/// statements meanwhile.
constexpr duration refusal_hold = std::chrono::milliseconds(100);

} // namespace

void pooled_connection::send(const instance_command& command, answer_handler done) {
    assert(open_);
    pending_.push_back({command.kind, owner_.now(), command.changes_data, command.term, 0, std::move(done)});
    pending_.back().in_flight = owner_.in_flight();
    link_->send(command);
}

std::optional<time_point> pooled_connection::waiting_since() const {
    if (pending_.empty()) {
        return std::nullopt;
    }
    return pending_.front().sent_at;
}

bool pooled_connection::may_repeat_error() const {
    return history_.may_repeat_error(owner_.position());
}

bool pooled_connection::is_resting() const {
    return owner_.now() < rests_until_;
}

bool pooled_connection::take_uncertain_refusal(const instance_answer& answer) {
    const pending_command& refused = pending_.front();
    if (answer.result.outcome == statement_outcome::done || owner_.repeats_answers()) {
        return false;
    }
    if (owner_.on_unexpected) {
        owner_.on_unexpected(answer_verdict::ambiguous);
    }
    const bool is_statement = refused.kind == command_kind::read || refused.kind == command_kind::execute;
    const bool is_quick = refused.kind == command_kind::begin || refused.kind == command_kind::begin_read ||
                          refused.kind == command_kind::status;
    const bool is_repeatable = state_ == transaction_state::idle && !refused.changes_data;
    if (is_repeatable && (is_statement || is_quick)) {
        needs_setup_ = needs_setup_ || is_statement;
        rests_until_ = owner_.now() + refusal_hold;
        return true;
    }
    if (!held_refusal_) {
        held_refusal_ = answer;
        rests_until_ = owner_.now() + refusal_hold;
    }
    return false;
}

void pooled_connection::release_held_refusal() {
    if (!open_ || !held_refusal_ || is_resting()) {
        return;
    }
    if (owner_.repeats_answers()) {
        // Found meanwhile: the refusal may well be a copy.
        owner_.drop(*this, disconnect_reason::out_of_step);
        return;
    }
    instance_answer answer = std::move(*held_refusal_);
    held_refusal_.reset();
    needs_setup_ = true;
    take(answer);
}

bool pooled_connection::receive(instance_answer& answer) {
    if (!open_) {
        return false;
    }
    std::optional<expected_answer> oldest;
    if (!pending_.empty() && !answer.is_unsolicited) {
        oldest = expected_answer{pending_.front().kind, pending_.front().term, state_};
    }
    const answer_verdict verdict = history_.judge(oldest, answer);
    const bool is_taken = verdict == answer_verdict::accepted ||
                          (verdict == answer_verdict::ambiguous && take_uncertain_refusal(answer));
    if (!is_taken) {
        const bool is_held = verdict == answer_verdict::ambiguous && holds_refusal();
        if (!is_held) {
            owner_.on_unexpected_answer(*this, oldest, verdict, answer);
        }
        return false;
    }
    if (holds_refusal()) {
        held_refusal_.reset();
        owner_.on_repetition();
    }
    take(answer);
    return true;
}

void pooled_connection::take(instance_answer& answer) {
    history_.add(answer);
    const bool is_unsigned_success =
        answer.result.outcome == statement_outcome::done && answer.result.signature.empty();
    needs_setup_ = needs_setup_ && !is_unsigned_success;
    const pending_command answered = std::move(pending_.front());
    pending_.pop_front();
    state_ = answer.result.state;
    owner_.learn(*this, answered, answer);
    owner_.on_answer(answered.kind, answered.sent_at, answer);
    if (answered.done) {
        answered.done(answer);
    }
}

} // namespace gentianhill
