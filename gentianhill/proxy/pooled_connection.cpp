#include "gentianhill/proxy/pooled_connection.h"

#include "gentianhill/proxy/proxy_instance.h"

#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

/// An instance that runs a statement has answered it by then, unless it is slow.
constexpr duration rest_after_refusal = std::chrono::milliseconds(100);

} // namespace

void pooled_connection::send(const instance_command& command, answer_handler done) {
    assert(open_);
    pending_.push_back({command.kind, owner_.now(), command.changes_data, std::move(done)});
    link_->send(command);
}

std::optional<time_point> pooled_connection::waiting_since() const {
    if (pending_.empty()) {
        return std::nullopt;
    }
    return pending_.front().sent_at;
}

bool pooled_connection::is_resting() const {
    return owner_.now() < rests_until_;
}

bool pooled_connection::may_accept_refusal(const instance_answer& answer) const {
    return answer.result.outcome != statement_outcome::done && state_ == transaction_state::idle &&
           !pending_.front().changes_data && !owner_.repeats_answers();
}

bool pooled_connection::receive(instance_answer& answer) {
    if (!open_) {
        return false;
    }
    const std::optional<command_kind> oldest =
        pending_.empty() || answer.is_unsolicited ? std::nullopt : std::optional(pending_.front().kind);
    const answer_verdict verdict = history_.judge(oldest, state_, answer);
    if (verdict == answer_verdict::ambiguous && may_accept_refusal(answer)) {
        rests_until_ = owner_.now() + rest_after_refusal;
    } else if (verdict != answer_verdict::accepted) {
        owner_.on_unexpected_answer(*this, oldest, verdict, answer);
        return false;
    }
    history_.add(answer);
    const pending_command answered = std::move(pending_.front());
    pending_.pop_front();
    state_ = answer.result.state;
    owner_.on_answer(answered.kind, answered.sent_at, answer);
    if (answered.done) {
        answered.done(answer);
    }
    return true;
}

} // namespace gentianhill
