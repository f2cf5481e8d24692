#include "gentianhill/daemon/outcome_task.h"

#include <utility>

namespace gentianhill {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

error cancelled_error(const std::string& key) {
    return error{error_code::key_cancelled, "key", key, "a new key, if the request is to run"};
}

} // namespace

outcome_task::outcome_task(service_context& service, group_runtime& group, const outcome_request& request,
                           caller_responder respond)
    : primary_task(service, group, request.team, session_token{}, event_loop::now() + request.deadline,
                   std::move(respond)),
      key_(request.key) {}

std::vector<sql_statement> outcome_task::batch() const {
    return cancel_batch(key_, event_loop::wall_clock_ms() / milliseconds_per_second);
}

void outcome_task::on_confirmed(const database_answer& answer) {
    caller_answer reply = caller_answer::refused(cancelled_error(key_));
    add_token(reply, answer.data_position);
    finish(reply);
}

void outcome_task::on_duplicate(const error& reason) {
    look_up(key_, [this, reason](const std::optional<key_record>& record, const database_answer& answer) {
        if (!record || record->state == key_state::cancelled) {
            caller_answer reply = caller_answer::refused(record ? cancelled_error(key_) : reason);
            add_token(reply, answer.data_position);
            finish(reply);
            return;
        }
        answer_repeated(*record, answer);
    });
}

} // namespace gentianhill
