#include "gentianhill/daemon/read_task.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace gentianhill {

namespace {

/// Pause before an instance is chosen again when none can serve now.
constexpr duration choice_interval = std::chrono::milliseconds{20};
/// Shortest time granted to one attempt, so that a slow replica does not use up the whole deadline.
constexpr duration min_attempt_time = std::chrono::milliseconds{200};

} // namespace

read_task::read_task(service_context& service, group_runtime& group, const statement_request& request,
                     session_token token, caller_responder respond)
    : request_task(service, group, request.team, std::move(token), event_loop::now() + request.deadline,
                   std::move(respond)),
      request_(request),
      primary_only_(request.consistency == read_consistency::latest) {
    if (!request_.max_age) {
        request_.max_age = service.team_max_age(request.team);
    }
}

void read_task::attempt() {
    if (is_finished()) {
        return;
    }
    if (is_late()) {
        const error reason{error_code::deadline_exceeded,
                           "deadline_ms",
                           {},
                           "a longer deadline, or an instance that can serve the read"};
        was_sent_ ? leave_unknown(reason) : refuse(reason);
        return;
    }
    const time_point now = event_loop::now();
    const std::vector<read_candidate>& candidates = group_.candidates(now);
    read_request request;
    request.required_position = seen();
    request.max_age = request_.max_age;
    request.primary_only = primary_only_;
    request.zone = service_.daemon.settings.zone;
    request.waited = waited_;
    request.deadline = deadline_;
    request.now = now;
    const read_decision decision = service_.selector.choose(request, candidates);
    if (const use_replica* serve = std::get_if<use_replica>(&decision)) {
        run_at(std::string{candidates[serve->index].instance});
    } else if (const use_primary* use = std::get_if<use_primary>(&decision)) {
        run_at(std::string{candidates[use->index].instance});
    } else if (const wait_for_replica* wait = std::get_if<wait_for_replica>(&decision)) {
        wait_for_candidate(std::string{candidates[wait->index].instance}, wait->limit);
    } else {
        const error& reason = std::get<refuse_read>(decision).reason;
        const bool may_change =
            reason.code == error_code::no_eligible_instance || reason.code == error_code::no_primary;
        // A promotion or a report may make an instance eligible before the deadline.
        may_change&& remaining() > choice_interval ? pause_then_attempt(choice_interval) : refuse(reason);
    }
}

void read_task::wait_for_candidate(const std::string& instance, duration limit) {
    const time_point began = event_loop::now();
    const std::shared_ptr<read_task> self = shared_from_this();
    group_.wait_until(
        [self, instance] {
            const instance_report* report = self->group_.view().positions().report_of(instance);
            return report != nullptr && check_eligibility(*report, self->seen()) == eligibility::eligible;
        },
        std::min(began + limit, deadline_),
        [self, began](bool /*reached*/) {
            self->waited_ += event_loop::now() - began;
            self->attempt();
        });
}

void read_task::pause_then_attempt(duration pause) {
    const std::shared_ptr<read_task> self = shared_from_this();
    service_.daemon.loop.run_after(pause, [self] { self->attempt(); });
}

void read_task::run_at(const std::string& instance) {
    const std::shared_ptr<read_task> self = shared_from_this();
    ++attempts_;
    group_.gateway(instance)->submit(
        team_, deadline_, [self](const std::shared_ptr<connection_lease>& lease) { self->send(lease); },
        [self](const error& reason) {
            if (reason.code == error_code::leaving || reason.code == error_code::no_primary) {
                self->attempt();
            } else {
                self->refuse(reason);
            }
        });
}

void read_task::send(const std::shared_ptr<connection_lease>& lease) {
    // A request that was answered while it was queued must not run.
    if (is_finished()) {
        return;
    }
    const instance_report* report = group_.view().positions().report_of(lease->instance());
    if (report == nullptr) {
        pause_then_attempt(choice_interval);
        return;
    }
    execute_request batch;
    batch.term = report->accepted_term;
    batch.statements = {sql_statement{request_.sql, request_.params}};
    batch.read_only = true;
    was_sent_ = true;
    const duration timeout = std::min(remaining(), std::max(remaining() / 2, min_attempt_time));
    const std::shared_ptr<read_task> self = shared_from_this();
    lease->call("/v1/execute", batch.to_json(), std::max(timeout, duration{std::chrono::milliseconds{1}}),
                [self, lease](const std::optional<database_answer>& answer, const backend_failure& failure) {
                    answer ? self->on_answer(lease->instance(), *answer) : self->on_failure(failure);
                });
}

void read_task::on_failure(const backend_failure& failure) {
    const failed_attempt failed{request_class::read, failure.progress, failure.reason.code, attempts_, false,
                                deadline_,           event_loop::now()};
    switch (service_.policy.decide(failed, service_.budget)) {
    case retry_action::retry_elsewhere:
        pause_then_attempt(choice_interval);
        return;
    case retry_action::answer_not_run:
    case retry_action::answer_error:
        refuse(failure.reason);
        return;
    case retry_action::resolve_by_key:
    case retry_action::answer_outcome_unknown:
        leave_unknown(failure.reason);
        return;
    }
}

void read_task::on_answer(const std::string& instance, const database_answer& answer) {
    // The instance may have lost part of its log since its last report.
    if (answer.data_position < seen()) {
        pause_then_attempt(choice_interval);
        return;
    }
    const std::shared_ptr<read_task> self = shared_from_this();
    group_.wait_confirmed(answer.data_position, deadline_, [self, instance, answer](confirm_result result) {
        switch (result) {
        case confirm_result::confirmed:
            self->hold_until_fresh(instance, answer);
            return;
        case confirm_result::superseded:
            self->pause_then_attempt(choice_interval);
            return;
        case confirm_result::deadline:
            self->leave_unknown(error{error_code::deadline_exceeded,
                                      "deadline_ms",
                                      {},
                                      "a longer deadline: the data read is not confirmed yet"});
            return;
        }
    });
}

bool read_task::is_fresh(const database_answer& answer, time_point now) const {
    if (request_.consistency == read_consistency::latest) {
        // No newer primary existed at a moment after the request arrived.
        const std::optional<time_point> seen_at =
            group_.view().positions().majority_seen_at(answer.data_position.term);
        return seen_at && *seen_at >= started_ &&
               group_.view().positions().current_term() == answer.data_position.term;
    }
    if (!request_.max_age) {
        return true;
    }
    const std::optional<duration> age = group_.view().age(answer.data_position, now);
    return age && *age <= *request_.max_age;
}

void read_task::hold_until_fresh(const std::string& instance, const database_answer& answer) {
    if (is_fresh(answer, event_loop::now())) {
        complete(instance, answer);
        return;
    }
    const std::optional<std::string> primary = group_.view().positions().primary();
    if (primary != instance && !primary_only_) {
        primary_only_ = true;
        attempt();
        return;
    }
    const std::shared_ptr<read_task> self = shared_from_this();
    group_.wait_until([self, answer] { return self->is_fresh(answer, event_loop::now()); }, deadline_,
                      [self, instance, answer](bool reached) {
                          if (reached) {
                              self->complete(instance, answer);
                              return;
                          }
                          self->leave_unknown(error{error_code::no_majority,
                                                    "max_age_ms",
                                                    {},
                                                    "a majority of the group's instances must be reachable "
                                                    "to show that the data is recent"});
                      });
}

void read_task::complete(const std::string& instance, const database_answer& answer) {
    caller_answer reply;
    reply.status = request_status::done;
    if (!answer.results.empty() && answer.results[0].is_object()) {
        reply.columns = answer.results[0].value("columns", nlohmann::json::array());
        reply.rows = answer.results[0].value("rows", nlohmann::json::array());
    }
    reply.age = group_.view().age(answer.data_position, event_loop::now());
    reply.served_by = instance;
    add_token(reply, answer.data_position);
    const bool at_primary = group_.view().positions().primary() == instance;
    service_.daemon.metric_registry
        .add_counter("gentianhill_reads_total", "Reads answered, by role of the instance",
                     {{"group", group_.name()}, {"role", at_primary ? "primary" : "replica"}})
        .add();
    finish(reply);
}

} // namespace gentianhill
