#include "gentianhill/daemon/statement_service.h"

#include "gentianhill/daemon/outcome_task.h"
#include "gentianhill/daemon/read_task.h"
#include "gentianhill/daemon/write_task.h"

#include <fmt/format.h>

#include <memory>
#include <set>

namespace gentianhill {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// Clocks of callers may be ahead of ours by this much.
constexpr std::int64_t max_clock_lead_s = 300;

} // namespace

statement_service::statement_service(service_context& service)
    : service_(service),
      transactions_(service,
                    [this](group_runtime& group, const outcome_request& request,
                           const caller_responder& respond) { resolve_outcome(group, request, respond); }) {}

caller_handlers statement_service::handlers() {
    caller_handlers result;
    result.on_statement = [this](http2::connection_id caller, const statement_request& request,
                                 const caller_responder& respond) { on_statement(caller, request, respond); };
    result.on_transaction = [this](http2::connection_id caller, transaction_operation step,
                                   const transaction_request& request, const caller_responder& respond) {
        on_transaction(caller, step, request, respond);
    };
    result.on_outcome = [this](const outcome_request& request, const caller_responder& respond) {
        query_outcome(request, respond);
    };
    result.on_close = [this](http2::connection_id caller) { transactions_.on_caller_closed(caller); };
    return result;
}

group_runtime* statement_service::find_group(const std::string& group, const std::string& team,
                                             error& reason) const {
    group_runtime* found = service_.find_group(group);
    if (found == nullptr) {
        reason = error{error_code::unknown_group, "group", group, "a group of a ticket that is in effect"};
        return nullptr;
    }
    if (!found->has_team(team)) {
        reason = error{error_code::unknown_team, "team", team,
                       fmt::format("a team that the ticket of group {} names", group)};
        return nullptr;
    }
    return found;
}

std::optional<session_token> statement_service::read_token(const std::optional<std::string>& text,
                                                           const std::string& group, error& reason) const {
    std::optional<session_token> token =
        text ? service_.codec.decode(*text, reason) : std::optional<session_token>{session_token{}};
    if (token && !service_.codec.has_room_for(*token, group)) {
        reason = error{error_code::too_large, "token", *text, "a token of fewer groups: begin a new session"};
        return std::nullopt;
    }
    return token;
}

bool statement_service::check_key_age(const std::string& key, std::int64_t issued_at, error& reason) const {
    const std::int64_t now = event_loop::wall_clock_ms() / milliseconds_per_second;
    const std::int64_t retention =
        std::chrono::duration_cast<std::chrono::seconds>(service_.daemon.settings.key_retention).count();
    if (issued_at < now - retention) {
        reason = error{error_code::key_expired, "issued_at", std::to_string(issued_at),
                       fmt::format("a key issued within the last {} s, key {}", retention, key)};
        return false;
    }
    if (issued_at > now + max_clock_lead_s) {
        reason = error{error_code::bad_value, "issued_at", std::to_string(issued_at),
                       fmt::format("at most {} s ahead of this host", max_clock_lead_s)};
        return false;
    }
    return true;
}

error statement_service::stopping() const {
    return error{error_code::draining, "daemon", service_.daemon.settings.name, "another daemon"};
}

void statement_service::begin_refusing() {
    refusing_ = true;
    transactions_.end_all();
}

void statement_service::give_up_at_stop() {
    const std::set<request_task*> open = *service_.open_tasks;
    service_.daemon.log.write(log_level::warning, "daemon", "requests_given_up",
                              {{"requests", open.size()}, {"open_transactions", transactions_.open_count()}});
    for (request_task* task : open) {
        // An answer to one request may end another.
        if (service_.open_tasks->contains(task)) {
            task->give_up_at_stop(stopping());
        }
    }
    transactions_.give_up_at_stop(stopping());
}

void statement_service::on_statement(http2::connection_id caller, const statement_request& request,
                                     const caller_responder& respond) {
    if (refusing_) {
        respond(caller_answer::refused(stopping()));
        return;
    }
    service_.budget.add_request(event_loop::now());
    error reason;
    group_runtime* group = find_group(request.group, request.team, reason);
    std::optional<session_token> token =
        group != nullptr ? read_token(request.token, request.group, reason) : std::nullopt;
    if (!token || (request.key && !check_key_age(*request.key, request.issued_at, reason))) {
        respond(caller_answer::refused(reason));
        return;
    }
    if (request.transaction) {
        transactions_.run(caller, request, respond);
    } else if (request.read_only) {
        std::make_shared<read_task>(service_, *group, request, *token, respond)->start();
    } else {
        std::make_shared<write_task>(service_, *group, request, *token, respond)->start();
    }
}

void statement_service::on_transaction(http2::connection_id caller, transaction_operation step,
                                       const transaction_request& request, const caller_responder& respond) {
    error reason;
    // While requests are refused, idle transactions have been rolled back, so nothing can be committed.
    if (refusing_ || (draining_ && step == transaction_operation::begin)) {
        respond(caller_answer::refused(stopping()));
        return;
    }
    if (step == transaction_operation::commit) {
        if (request.key && !check_key_age(*request.key, request.issued_at, reason)) {
            respond(caller_answer::refused(reason));
            return;
        }
        transactions_.commit(caller, request, respond);
        return;
    }
    if (step == transaction_operation::rollback) {
        transactions_.roll_back(caller, request, respond);
        return;
    }
    group_runtime* group = find_group(request.group, request.team, reason);
    const std::optional<session_token> token =
        group != nullptr ? read_token(request.token, request.group, reason) : std::nullopt;
    if (!token) {
        respond(caller_answer::refused(reason));
        return;
    }
    transactions_.begin(caller, request, *group, *token, respond);
}

void statement_service::query_outcome(const outcome_request& request, const caller_responder& respond) {
    if (refusing_) {
        // Nothing is known of the request with this key.
        respond(caller_answer::unknown_outcome(stopping()));
        return;
    }
    error reason;
    group_runtime* group = find_group(request.group, request.team, reason);
    if (group == nullptr) {
        respond(caller_answer::refused(reason));
        return;
    }
    resolve_outcome(*group, request, respond);
}

void statement_service::resolve_outcome(group_runtime& group, const outcome_request& request,
                                        const caller_responder& respond) {
    std::make_shared<outcome_task>(service_, group, request, respond)->start();
}

} // namespace gentianhill
