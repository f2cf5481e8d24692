#include "gentianhill/proxy/pooled_connection.h"

#include "gentianhill/proxy/proxy_instance.h"

#include <cassert>
#include <utility>

namespace gentianhill {

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

void pooled_connection::receive(instance_answer& answer) {
    if (!open_) {
        return;
    }
    const std::optional<command_kind> oldest =
        pending_.empty() || answer.is_unsolicited ? std::nullopt : std::optional(pending_.front().kind);
    const answer_verdict verdict = history_.judge(oldest, state_, answer);
    if (verdict == answer_verdict::accepted) {
        history_.add(answer);
    } else {
        owner_.report_unexpected_answer(*this, oldest, verdict, answer);
    }
    if (pending_.empty()) {
        // Answer without a pending command: the stream is out of sync, so later answers cannot be trusted.
        owner_.drop(*this, disconnect_reason::lost);
        return;
    }
    const pending_command answered = std::move(pending_.front());
    pending_.pop_front();
    state_ = answer.result.state;
    owner_.on_answer(answered.kind, answered.sent_at, answer);
    if (answered.done) {
        answered.done(answer);
    }
}

} // namespace gentianhill
