#include "gentianhill/daemon/request_task.h"

#include <utility>

namespace gentianhill {

request_task::request_task(service_context& service, group_runtime& group, std::string team,
                           session_token token, time_point deadline, caller_responder respond)
    : service_(service),
      group_(group),
      team_(std::move(team)),
      token_(std::move(token)),
      started_(event_loop::now()),
      deadline_(deadline),
      group_alive_(group.alive()),
      open_tasks_(service.open_tasks),
      respond_(std::move(respond)) {
    open_tasks_->insert(this);
}

request_task::~request_task() {
    open_tasks_->erase(this);
}

void request_task::finish(const caller_answer& answer) {
    if (is_finished()) {
        return;
    }
    finished_ = true;
    open_tasks_->erase(this);
    daemon_context& daemon = service_.daemon;
    daemon.metric_registry
        .add_counter("gentianhill_requests_total", "Requests of callers, by status",
                     {{"group", group_.name()}, {"status", std::string{to_string(answer.status)}}})
        .add();
    daemon.metric_registry
        .add_histogram("gentianhill_request_ms", "Time from arrival to answer", {{"group", group_.name()}})
        .record(event_loop::now() - started_);
    if (answer.status != request_status::done) {
        const bool is_unknown = answer.status == request_status::outcome_unknown;
        daemon.record(is_unknown ? event_kind::outcome_unknown : event_kind::request_rejected, group_.name(),
                      {{"team", team_}, {"reason", std::string{to_string(answer.reason.code)}}});
        daemon.log.write(log_level::info, "caller", is_unknown ? "outcome_unknown" : "request_rejected",
                         {{"group", group_.name()}, {"team", team_}, {"reason", answer.reason.describe()}});
    }
    respond_(answer);
}

void request_task::leave_unknown(const error& reason) {
    finish(caller_answer::unknown_outcome(reason));
}

void request_task::add_token(caller_answer& answer, const log_position& confirmed) {
    error reason;
    // Room for the group was checked before anything was sent.
    if (!token_.advance(group_.name(), confirmed, reason)) {
        service_.daemon.log.write(log_level::error, "caller", "token_not_advanced",
                                  {{"reason", reason.describe()}});
        return;
    }
    answer.token = service_.codec.encode(token_, reason).value_or(std::string{});
}

} // namespace gentianhill
