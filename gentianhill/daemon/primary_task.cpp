#include "gentianhill/daemon/primary_task.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

/// Pause before the primary is tried again; short against a failover, long against a round trip.
constexpr duration retry_pause = std::chrono::milliseconds{20};
constexpr duration min_timeout = std::chrono::milliseconds{1};

} // namespace

primary_task::primary_task(service_context& service, group_runtime& group, std::string team,
                           session_token token, time_point deadline, caller_responder respond)
    : request_task(service, group, std::move(team), std::move(token), deadline, std::move(respond)) {}

primary_task::~primary_task() {
    stop_observing();
}

void primary_task::give_up(const error& reason) {
    may_have_run_ ? leave_unknown(reason) : refuse(reason);
}

void primary_task::give_up_at_stop(const error& reason) {
    const bool is_in_flight = awaited_ != 0;
    may_have_run_ = may_have_run_ || is_in_flight;
    give_up(reason);
}

void primary_task::answer_repeated(const key_record& record, const database_answer& answer) {
    caller_answer reply;
    reply.status = request_status::done;
    reply.changes = record.changes;
    reply.repeated = true;
    add_token(reply, answer.data_position);
    finish(reply);
}

void primary_task::attempt() {
    if (is_finished()) {
        return;
    }
    if (is_late()) {
        give_up(error{error_code::deadline_exceeded, "deadline_ms", {}, "a longer deadline"});
        return;
    }
    // While replicas do not acknowledge, a new write would only add an unknown outcome.
    if (!group_.accepts_writes(event_loop::now())) {
        if (may_have_run_) {
            pause_then_attempt();
        } else {
            give_up(error{error_code::replicas_not_acknowledging, "group", group_.name(),
                          "retry when a majority of the group's instances acknowledges writes again"});
        }
        return;
    }
    instance_gateway* gateway = group_.primary_gateway();
    if (gateway == nullptr || gateway->is_leaving()) {
        wait_for_primary();
        return;
    }
    ++attempts_;
    const std::shared_ptr<primary_task> self = shared_from_this();
    gateway->submit(
        team_, deadline_, [self](const std::shared_ptr<connection_lease>& lease) { self->send(lease); },
        [self](const error& reason) {
            const bool may_go_elsewhere =
                reason.code == error_code::leaving || reason.code == error_code::no_primary;
            may_go_elsewhere ? self->attempt() : self->give_up(reason);
        });
}

void primary_task::wait_for_primary() {
    const std::shared_ptr<primary_task> self = shared_from_this();
    group_.wait_until(
        [self] {
            const instance_gateway* gateway = self->group_.primary_gateway();
            return gateway != nullptr && !gateway->is_leaving();
        },
        deadline_,
        [self](bool reached) {
            if (reached) {
                self->attempt();
                return;
            }
            self->give_up(error{error_code::no_primary, "group", self->group_.name(),
                                "retry when the group has a primary again"});
        });
}

void primary_task::wait_for_newer_term() {
    const std::shared_ptr<primary_task> self = shared_from_this();
    const term_number refused = sent_term_;
    group_.wait_until(
        [self, refused] {
            return self->group_.view().positions().primary_term() > refused &&
                   self->group_.primary_gateway() != nullptr;
        },
        deadline_, [self](bool /*reached*/) { self->attempt(); });
}

void primary_task::pause_then_attempt() {
    const std::shared_ptr<primary_task> self = shared_from_this();
    service_.daemon.loop.run_after(retry_pause, [self] { self->attempt(); });
}

void primary_task::send(const std::shared_ptr<connection_lease>& lease) {
    // A request that was answered while it was queued must not run.
    if (is_finished()) {
        return;
    }
    // The primary may have changed while the request was queued.
    const std::optional<std::string> primary = group_.view().positions().primary();
    if (primary != lease->instance()) {
        pause_then_attempt();
        return;
    }
    execute_request request;
    request.term = group_.view().positions().primary_term();
    request.statements = batch();
    sent_term_ = request.term;
    const std::uint64_t number = next_attempt_++;
    awaited_ = number;
    group_.note_write_sent();
    const std::weak_ptr<primary_task> weak = weak_from_this();
    stop_observing();
    observer_ = group_.observe_primary([weak] {
        const std::shared_ptr<primary_task> self = weak.lock();
        if (self != nullptr) {
            self->on_primary_changed();
        }
    });
    const std::shared_ptr<primary_task> self = shared_from_this();
    lease->call(
        "/v1/execute", request.to_json(), std::max(remaining(), min_timeout),
        [self, lease, number](const std::optional<database_answer>& answer, const backend_failure& failure) {
            self->on_answer(number, answer, failure);
        });
}

void primary_task::on_answer(std::uint64_t attempt_number, const std::optional<database_answer>& answer,
                             const backend_failure& failure) {
    // The group counts each write once, also when the task no longer waits for this answer.
    if (answer) {
        group_.note_write_executed(answer->data_position);
    } else {
        group_.note_write_failed(failure.progress);
    }
    if (awaited_ != attempt_number) {
        return;
    }
    awaited_ = 0;
    stop_observing();
    answer ? on_executed(*answer) : on_failure(failure);
}

void primary_task::on_executed(const database_answer& answer) {
    may_have_run_ = true;
    const std::shared_ptr<primary_task> self = shared_from_this();
    group_.wait_confirmed(answer.data_position, deadline_, [self, answer](confirm_result result) {
        switch (result) {
        case confirm_result::confirmed:
            self->on_confirmed(answer);
            return;
        case confirm_result::superseded:
            self->on_failure(backend_failure{
                error{error_code::connection_lost, "instance", {}, "the primary was superseded"},
                request_progress::sent});
            return;
        case confirm_result::deadline:
            self->leave_unknown(
                error{error_code::replicas_not_acknowledging, "deadline_ms", {}, "query the outcome by key"});
            return;
        }
    });
}

void primary_task::on_failure(const backend_failure& failure) {
    if (failure.reason.code == error_code::duplicate_key) {
        on_duplicate(failure.reason);
        return;
    }
    if (failure.progress == request_progress::sent) {
        may_have_run_ = true;
    }
    const failed_attempt failed{kind(),        failure.progress, failure.reason.code, attempts_,
                                may_have_run_, deadline_,        event_loop::now()};
    switch (service_.policy.decide(failed, service_.budget)) {
    case retry_action::retry_elsewhere:
    case retry_action::resolve_by_key:
        // The batch carries its key, so a repetition runs only if the first one did not.
        if (failure.reason.code == error_code::stale_term || failure.reason.code == error_code::not_primary) {
            wait_for_newer_term();
        } else {
            pause_then_attempt();
        }
        return;
    case retry_action::answer_not_run:
    case retry_action::answer_error:
        give_up(failure.reason);
        return;
    case retry_action::answer_outcome_unknown:
        leave_unknown(failure.reason);
        return;
    }
}

void primary_task::on_primary_changed() {
    if (awaited_ == 0 || group_.view().positions().primary_term() <= sent_term_) {
        return;
    }
    // The old primary may never answer; the new one tells the truth about the key.
    awaited_ = 0;
    on_failure(backend_failure{
        error{error_code::connection_lost, "instance", {}, "the primary was superseded before it answered"},
        request_progress::sent});
}

void primary_task::stop_observing() {
    if (observer_ != 0 && is_group_alive()) {
        group_.forget(observer_);
    }
    observer_ = 0;
}

void primary_task::look_up(
    const std::string& key,
    std::function<void(const std::optional<key_record>&, const database_answer&)> on_record) {
    instance_gateway* gateway = group_.primary_gateway();
    if (gateway == nullptr || is_late()) {
        pause_then_attempt();
        return;
    }
    const std::shared_ptr<primary_task> self = shared_from_this();
    gateway->submit(
        team_, deadline_,
        [self, key, on_record = std::move(on_record)](const std::shared_ptr<connection_lease>& lease) {
            execute_request request;
            request.term = self->group_.view().positions().primary_term();
            request.statements = lookup_batch(key);
            request.read_only = true;
            lease->call("/v1/execute", request.to_json(), std::max(self->remaining(), min_timeout),
                        [self, lease, on_record](const std::optional<database_answer>& answer,
                                                 const backend_failure&) {
                            if (!answer) {
                                self->pause_then_attempt();
                                return;
                            }
                            self->group_.wait_confirmed(
                                answer->data_position, self->deadline_,
                                [self, on_record, found = *answer](confirm_result result) {
                                    error reason;
                                    const std::optional<key_record> record =
                                        parse_key_record(found.results, reason);
                                    if (result != confirm_result::confirmed || reason.failed()) {
                                        self->pause_then_attempt();
                                        return;
                                    }
                                    on_record(record, found);
                                });
                        });
        },
        [self](const error& reason) { self->give_up(reason); });
}

} // namespace gentianhill
