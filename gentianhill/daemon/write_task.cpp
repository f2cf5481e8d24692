#include "gentianhill/daemon/write_task.h"

#include <utility>

namespace gentianhill {

write_task::write_task(service_context& service, group_runtime& group, const statement_request& request,
                       session_token token, caller_responder respond)
    : primary_task(service, group, request.team, std::move(token), event_loop::now() + request.deadline,
                   std::move(respond)),
      request_(request) {
    if (request.key) {
        key_ = idempotency_key{*request.key, request.issued_at,
                               statements_digest({sql_statement{request.sql, request.params}})};
    }
}

std::vector<sql_statement> write_task::batch() const {
    const sql_statement statement{request_.sql, request_.params};
    return key_ ? keyed_batch(*key_, statement) : std::vector<sql_statement>{statement};
}

request_class write_task::kind() const {
    return key_ ? request_class::keyed_write : request_class::unkeyed_write;
}

void write_task::on_confirmed(const database_answer& answer) {
    const std::size_t index = key_ ? statement_index_in_batch : 0;
    caller_answer reply;
    reply.status = request_status::done;
    if (answer.results.size() > index && answer.results[index].is_object()) {
        const nlohmann::json& result = answer.results[index];
        reply.columns = result.value("columns", nlohmann::json::array());
        reply.rows = result.value("rows", nlohmann::json::array());
        reply.changes = result.value("changes", std::int64_t{0});
    }
    if (answer.report) {
        reply.served_by = answer.report->instance;
    }
    add_token(reply, answer.data_position);
    finish(reply);
}

void write_task::on_duplicate(const error& reason) {
    if (!key_) {
        refuse(reason);
        return;
    }
    look_up(key_->key,
            [this, reason](const std::optional<key_record>& record, const database_answer& answer) {
                answer_from_record(record, answer, reason);
            });
}

void write_task::answer_from_record(const std::optional<key_record>& record, const database_answer& answer,
                                    const error& duplicate) {
    // Without a record of the key, the caller's own statement violated a constraint. An earlier attempt that
    // got no answer may still arrive and find the constraint satisfied, so the outcome is then unknown.
    if (!record) {
        give_up(duplicate);
        return;
    }
    if (record->state == key_state::cancelled) {
        refuse(error{error_code::key_cancelled, "key", key_->key,
                     "a new key: an outcome query has cancelled this one"});
        return;
    }
    if (record->digest != key_->digest) {
        refuse(error{error_code::key_reused, "key", key_->key,
                     "a new key: this one belongs to another statement"});
        return;
    }
    answer_repeated(*record, answer);
}

} // namespace gentianhill
