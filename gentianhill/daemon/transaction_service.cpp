#include "gentianhill/daemon/transaction_service.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

/// A transaction holds a connection of the primary, so an idle one is rolled back.
constexpr duration idle_limit = std::chrono::seconds{10};
constexpr duration min_timeout = std::chrono::milliseconds{1};

duration time_until(time_point deadline) {
    return std::max(deadline - event_loop::now(), min_timeout);
}

error stopping() {
    return error{error_code::draining, "daemon", {}, "a new transaction at another daemon"};
}

void put_result(caller_answer& reply, const nlohmann::json& results) {
    if (!results.empty() && results[0].is_object()) {
        reply.columns = results[0].value("columns", nlohmann::json::array());
        reply.rows = results[0].value("rows", nlohmann::json::array());
        reply.changes = results[0].value("changes", std::int64_t{0});
    }
}

} // namespace

transaction_service::transaction_service(service_context& service, outcome_resolver resolve)
    : service_(service), resolve_(std::move(resolve)) {}

transaction_service::transaction_ptr transaction_service::find(http2::connection_id caller,
                                                               const std::string& id, error& reason) {
    const std::map<std::string, transaction_ptr>::iterator found = open_.find(id);
    // The connection is part of the identity: another caller that knows the id must not join the transaction.
    if (found == open_.end() || found->second->caller != caller) {
        reason = error{error_code::transaction_unknown, "transaction", id,
                       "a transaction that was begun on this connection and is still open"};
        return nullptr;
    }
    if (found->second->busy) {
        reason = error{error_code::bad_value, "transaction", id,
                       "one statement at a time: wait for the answer to the previous one"};
        return nullptr;
    }
    return found->second;
}

void transaction_service::close(const transaction_ptr& target) {
    open_.erase(target->id);
    // A pinned connection that is given back is closed, and the database rolls back.
    target->lease.reset();
}

caller_responder transaction_service::track(const transaction_ptr& target, const caller_responder& respond) {
    const std::uint64_t number = next_request_++;
    requests_.emplace(number, open_request{target, respond});
    return [this, number](const caller_answer& reply) {
        const std::map<std::uint64_t, open_request>::iterator found = requests_.find(number);
        if (found == requests_.end()) {
            return;
        }
        const open_request answered = std::move(found->second);
        requests_.erase(found);
        answered.respond(reply);
        // The stop rolls back each transaction after the request that was in flight.
        if (is_ending_ && is_open(answered.target) && !answered.target->busy) {
            close(answered.target);
        }
    };
}

std::size_t transaction_service::open_count() const {
    const std::ptrdiff_t outside =
        std::count_if(requests_.begin(), requests_.end(),
                      [this](const std::pair<const std::uint64_t, open_request>& entry) {
                          return !is_open(entry.second.target);
                      });
    return open_.size() + static_cast<std::size_t>(outside);
}

void transaction_service::end_all() {
    is_ending_ = true;
    const std::map<std::string, transaction_ptr> open = open_;
    for (const std::pair<const std::string, transaction_ptr>& entry : open) {
        if (!entry.second->busy) {
            service_.daemon.log.write(log_level::info, "caller", "transaction_ended_by_stop",
                                      {{"transaction", entry.first}, {"group", entry.second->group->name()}});
            close(entry.second);
        }
    }
}

void transaction_service::give_up_at_stop(const error& reason) {
    const std::map<std::uint64_t, open_request> requests = std::exchange(requests_, {});
    for (const std::pair<const std::uint64_t, open_request>& entry : requests) {
        const transaction_ptr& target = entry.second.target;
        // A transaction whose connection is closed before the commit is sent rolls back.
        target->is_abandoned = true;
        close(target);
        if (target->may_be_committed) {
            entry.second.respond(caller_answer::unknown_outcome(reason));
        } else if (target->is_rolling_back) {
            caller_answer reply;
            reply.status = request_status::done;
            reply.transaction = target->id;
            entry.second.respond(reply);
        } else {
            refuse(entry.second.respond, target, reason);
        }
    }
}

void transaction_service::refuse(const caller_responder& respond, const transaction_ptr& target,
                                 const error& reason) {
    caller_answer reply = caller_answer::refused(reason);
    reply.transaction = target->id;
    service_.daemon.record(event_kind::request_rejected, target->group->name(),
                           {{"team", target->team}, {"reason", std::string{to_string(reason.code)}}},
                           std::nullopt, target->id);
    respond(reply);
}

void transaction_service::begin(http2::connection_id caller, const transaction_request& request,
                                group_runtime& group, const session_token& token,
                                const caller_responder& responder) {
    const time_point deadline = event_loop::now() + request.deadline;
    const transaction_ptr created = std::make_shared<transaction>();
    created->id = service_.daemon.next_request_id();
    created->caller = caller;
    created->group = &group;
    created->team = request.team;
    created->token = token;
    const caller_responder respond = track(created, responder);
    if (!group.accepts_writes(event_loop::now())) {
        refuse(respond, created,
               error{error_code::replicas_not_acknowledging, "group", group.name(), "retry later"});
        return;
    }
    group.wait_until(
        [&group] {
            const instance_gateway* gateway = group.primary_gateway();
            return gateway != nullptr && !gateway->is_leaving();
        },
        deadline,
        [this, created, deadline, respond](bool reached) {
            if (created->is_abandoned) {
                return;
            }
            if (!reached) {
                refuse(respond, created,
                       error{error_code::no_primary, "group", created->group->name(),
                             "retry when the group has a primary again"});
                return;
            }
            created->group->primary_gateway()->submit(
                created->team, deadline,
                [this, created, deadline, respond](std::shared_ptr<connection_lease> lease) {
                    if (created->is_abandoned) {
                        return;
                    }
                    created->lease = std::move(lease);
                    begin_on(created, time_until(deadline), respond);
                },
                [this, created, respond](const error& reason) { refuse(respond, created, reason); });
        });
}

void transaction_service::begin_on(const transaction_ptr& created, duration timeout,
                                   const caller_responder& respond) {
    created->term = created->group->view().positions().primary_term();
    // Pinned before the call: if its answer is lost, the connection must not return to the pool.
    created->lease->pin();
    created->lease->call("/v1/begin", nlohmann::json{{"term", created->term}}, timeout,
                         [this, created, respond](const std::optional<database_answer>& answer,
                                                  const backend_failure& failure) {
                             if (!answer || is_ending_) {
                                 created->lease.reset();
                                 refuse(respond, created, answer ? stopping() : failure.reason);
                                 return;
                             }
                             created->used_at = event_loop::now();
                             open_.emplace(created->id, created);
                             caller_answer reply;
                             reply.status = request_status::done;
                             reply.transaction = created->id;
                             reply.served_by = created->lease->instance();
                             respond(reply);
                         });
}

void transaction_service::run(http2::connection_id caller, const statement_request& request,
                              const caller_responder& responder) {
    error reason;
    const transaction_ptr target = find(caller, request.transaction.value_or(""), reason);
    if (target == nullptr) {
        responder(caller_answer::refused(reason));
        return;
    }
    if (target->group->name() != request.group) {
        refuse(responder, target,
               error{error_code::bad_value, "group", request.group, target->group->name()});
        return;
    }
    const caller_responder respond = track(target, responder);
    const time_point deadline = event_loop::now() + request.deadline;
    const sql_statement statement{request.sql, request.params};
    execute_request batch;
    batch.term = target->term;
    batch.statements = {statement};
    batch.read_only = request.read_only;
    batch.in_transaction = true;
    target->busy = true;
    target->lease->call("/v1/execute", batch.to_json(), time_until(deadline),
                        [this, target, statement, deadline, respond](
                            const std::optional<database_answer>& answer, const backend_failure& failure) {
                            on_statement_answer(target, statement, answer, failure, deadline, respond);
                        });
}

void transaction_service::on_statement_answer(const transaction_ptr& target, const sql_statement& statement,
                                              const std::optional<database_answer>& answer,
                                              const backend_failure& failure, time_point deadline,
                                              const caller_responder& respond) {
    if (!answer) {
        target->busy = false;
        target->used_at = event_loop::now();
        const bool stays_open = failure.progress == request_progress::answered &&
                                (failure.reason.code == error_code::statement_failed ||
                                 failure.reason.code == error_code::duplicate_key);
        if (!stays_open) {
            close(target);
        }
        // A transaction that was closed rolls back, so the statement has no effect.
        refuse(respond, target, failure.reason);
        return;
    }
    // The statement may have read entries that are not confirmed yet and may vanish.
    target->group->wait_confirmed(
        answer->data_position, deadline,
        [this, target, statement, results = answer->results, respond](confirm_result result) {
            target->busy = false;
            target->used_at = event_loop::now();
            if (!is_open(target)) {
                refuse(respond, target,
                       error{error_code::transaction_closed, "transaction", target->id, "a new transaction"});
                return;
            }
            if (result != confirm_result::confirmed) {
                close(target);
                refuse(respond, target,
                       error{error_code::transaction_closed, "transaction", target->id,
                             "a new transaction: this one read data that could not be confirmed"});
                return;
            }
            target->statements.push_back(statement);
            caller_answer reply;
            reply.status = request_status::done;
            reply.transaction = target->id;
            put_result(reply, results);
            respond(reply);
        });
}

void transaction_service::commit(http2::connection_id caller, const transaction_request& request,
                                 const caller_responder& responder) {
    error reason;
    const transaction_ptr target = find(caller, request.transaction, reason);
    if (target == nullptr) {
        responder(caller_answer::refused(reason));
        return;
    }
    const caller_responder respond = track(target, responder);
    const time_point deadline = event_loop::now() + request.deadline;
    target->busy = true;
    if (!target->group->accepts_writes(event_loop::now())) {
        close(target);
        refuse(respond, target,
               error{error_code::replicas_not_acknowledging, "group", target->group->name(), "retry later"});
        return;
    }
    if (request.key) {
        record_key(target, request, deadline, respond);
    } else {
        send_commit(target, request, deadline, respond);
    }
}

void transaction_service::record_key(const transaction_ptr& target, const transaction_request& request,
                                     time_point deadline, const caller_responder& respond) {
    execute_request batch;
    batch.term = target->term;
    batch.statements = record_key_statements(
        idempotency_key{*request.key, request.issued_at, statements_digest(target->statements)});
    batch.in_transaction = true;
    target->lease->call("/v1/execute", batch.to_json(), time_until(deadline),
                        [this, target, request, deadline, respond](
                            const std::optional<database_answer>& answer, const backend_failure& failure) {
                            if (answer) {
                                send_commit(target, request, deadline, respond);
                                return;
                            }
                            close(target);
                            if (failure.reason.code == error_code::duplicate_key) {
                                // An earlier commit with this key may have taken effect.
                                target->may_be_committed = true;
                                resolve(target, request, deadline, respond);
                                return;
                            }
                            // The commit was not sent, and the closed connection rolls back.
                            refuse(respond, target, failure.reason);
                        });
}

void transaction_service::send_commit(const transaction_ptr& target, const transaction_request& request,
                                      time_point deadline, const caller_responder& respond) {
    // The transaction was closed, and so rolled back, while its key was recorded.
    if (target->lease == nullptr) {
        refuse(respond, target,
               error{error_code::transaction_closed, "transaction", target->id, "a new transaction"});
        return;
    }
    target->may_be_committed = true;
    target->group->note_write_sent();
    target->lease->call("/v1/commit", nlohmann::json{{"term", target->term}}, time_until(deadline),
                        [this, target, request, deadline, respond](
                            const std::optional<database_answer>& answer, const backend_failure& failure) {
                            on_commit_answer(target, request, deadline, answer, failure, respond);
                        });
}

void transaction_service::on_commit_answer(const transaction_ptr& target, const transaction_request& request,
                                           time_point deadline, const std::optional<database_answer>& answer,
                                           const backend_failure& failure, const caller_responder& respond) {
    if (!answer) {
        target->group->note_write_failed(failure.progress);
        close(target);
        if (failure.progress != request_progress::sent) {
            refuse(respond, target, failure.reason);
        } else {
            resolve(target, request, deadline, respond);
        }
        return;
    }
    target->group->note_write_executed(answer->data_position);
    if (target->lease != nullptr) {
        target->lease->unpin();
    }
    close(target);
    const log_position at = answer->data_position;
    target->group->wait_confirmed(
        at, deadline, [this, target, request, deadline, at, respond](confirm_result result) {
            if (result == confirm_result::superseded) {
                resolve(target, request, deadline, respond);
                return;
            }
            if (result == confirm_result::deadline) {
                respond(caller_answer::unknown_outcome(error{
                    error_code::replicas_not_acknowledging, "deadline_ms", {}, "query the outcome by key"}));
                return;
            }
            caller_answer reply;
            reply.status = request_status::done;
            reply.transaction = target->id;
            error reason;
            if (target->token.advance(target->group->name(), at, reason)) {
                reply.token = service_.codec.encode(target->token, reason).value_or(std::string{});
            }
            respond(reply);
        });
}

void transaction_service::resolve(const transaction_ptr& target, const transaction_request& request,
                                  time_point deadline, const caller_responder& respond) {
    if (!request.key || deadline <= event_loop::now()) {
        respond(caller_answer::unknown_outcome(error{error_code::outcome_unknown, "transaction", target->id,
                                                     "commit with a key, and query the outcome by it"}));
        return;
    }
    outcome_request question;
    question.group = target->group->name();
    question.team = target->team;
    question.key = *request.key;
    question.deadline = time_until(deadline);
    resolve_(*target->group, question, respond);
}

void transaction_service::roll_back(http2::connection_id caller, const transaction_request& request,
                                    const caller_responder& responder) {
    error reason;
    const transaction_ptr target = find(caller, request.transaction, reason);
    if (target == nullptr) {
        responder(caller_answer::refused(reason));
        return;
    }
    const caller_responder respond = track(target, responder);
    target->busy = true;
    target->is_rolling_back = true;
    target->lease->call("/v1/rollback", nlohmann::json{{"term", target->term}}, request.deadline,
                        [this, target, respond](const std::optional<database_answer>& answer,
                                                const backend_failure& /*failure*/) {
                            if (answer && target->lease != nullptr) {
                                target->lease->unpin();
                            }
                            // Without an answer the connection is closed, which rolls back as well.
                            close(target);
                            caller_answer reply;
                            reply.status = request_status::done;
                            reply.transaction = target->id;
                            respond(reply);
                        });
}

void transaction_service::on_caller_closed(http2::connection_id caller) {
    const std::map<std::string, transaction_ptr> open = open_;
    for (const std::pair<const std::string, transaction_ptr>& entry : open) {
        if (entry.second->caller == caller) {
            close(entry.second);
        }
    }
}

void transaction_service::tick(time_point now) {
    const std::map<std::string, transaction_ptr> open = open_;
    for (const std::pair<const std::string, transaction_ptr>& entry : open) {
        if (!entry.second->busy && now - entry.second->used_at > idle_limit) {
            service_.daemon.log.write(log_level::info, "caller", "transaction_idle",
                                      {{"transaction", entry.first}, {"group", entry.second->group->name()}});
            close(entry.second);
        }
    }
}

} // namespace gentianhill
