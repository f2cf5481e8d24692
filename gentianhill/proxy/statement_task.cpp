#include "gentianhill/proxy/statement_task.h"

#include "gentianhill/proxy/caller_refusal.h"
#include "gentianhill/proxy/database_group.h"
#include "gentianhill/proxy/proxy_instance.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Limit on the attempts of one statement, to bound the load added by retries.
constexpr std::uint32_t max_attempts = 8;
/// Number of kinds of work that latencies are told apart by.
constexpr std::size_t work_kinds = 1024;
/// Concurrent attempts of one read.
constexpr std::size_t max_parallel_reads = 2;
/// An instance that answered busy receives no new statements for this time.
constexpr duration busy_backoff = 20ms;
/// A second read starts when the first has taken this share of the route's target latency, and this multiple
/// of the instance's expected response time.
constexpr double second_read_share = 0.45;
constexpr double second_read_factor = 3.0;
/// Wait limit of a statement that no instance can serve, as a share of the route's target latency.
constexpr double unservable_wait_share = 0.2;
/// Wait limit of a statement that waits for a free connection or an expected primary, as a share of the
/// route's timeout.
constexpr double queue_share = 0.8;
constexpr double microseconds_per_ms = 1000.0;
constexpr std::string_view too_large_detail = "too long with the position that the read needs";
constexpr std::string_view unservable_detail = "can't be served before its timeout";
constexpr std::string_view stopping_detail = "the daemon is stopping";

duration share_of(duration length, double share) {
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * share));
}

} // namespace

statement_task::statement_task(database_group& group, request parameters, result_handler done)
    : group_(group), request_(std::move(parameters)), done_(std::move(done)) {}

bool statement_task::is_transaction() const {
    return request_.access == access_kind::transaction || request_.access == access_kind::read_transaction;
}

bool statement_task::may_repeat() const {
    // A transaction has no effect if its connection ends before the commit.
    const bool commits = request_.client_statement.kind == statement_kind::commit;
    return is_transaction() ? !commits || !request_.writes : request_.access == access_kind::read;
}

const prepared_statement* statement_task::required_statement() const {
    return request_.client_statement.kind == statement_kind::execute
               ? request_.session->find_prepared(request_.client_statement.name)
               : nullptr;
}

placement_query statement_task::query() const {
    placement_query query;
    query.access = request_.access;
    query.consistency = request_.selected_route->consistency;
    query.begun_at = request_.begun_at;
    query.max_staleness = request_.selected_route->max_staleness;
    query.session_position = request_.session_position;
    query.fresh_after = request_.fresh_after;
    query.session = request_.session;
    query.team = request_.team;
    query.excluded_instances = &excluded_instances_;
    return query;
}

void statement_task::start() {
    self_ = shared_from_this();
    waiting_ = true;
    waiting_since_ = group_.now();
    group_.track(self_);
    // Those that wait may come first.
    const bool others_wait = group_.has_waiting_tasks();
    wait_reason_ = placement_wait::no_connection;
    if (!others_wait && try_place()) {
        return;
    }
    const std::shared_ptr<statement_task> keep = self_;
    group_.enqueue(keep);
    if (others_wait) {
        group_.place_waiting_tasks();
        group_.refuse_if_unservable(keep);
    }
}

bool statement_task::try_place() {
    if (!is_waiting()) {
        return true;
    }
    const placement placed = group_.place(query());
    if (placed.connection == nullptr) {
        wait_reason_ = placed.wait;
        return false;
    }
    waiting_ = false;
    run(placed);
    return true;
}

void statement_task::run(const placement& placed) {
    ++started_attempts_;
    const attempt_pointer current = std::make_shared<attempt>();
    current->connection = placed.connection;
    current->instance = placed.connection->owner().listed().id;
    current->min_position = placed.min_position;
    current->started_at = group_.now();
    placed.connection->work_kind =
        static_cast<std::int64_t>(std::hash<std::string>{}(request_.selected_route->name) % work_kinds);
    attempts_.push_back(current);
    placed.connection->on_lost = [this, current] { on_lost(current); };
    set_up(current);
}

void statement_task::set_up(const attempt_pointer& current) {
    const connection_state& setup = current->connection->setup;
    const std::vector<setup_step> steps = current->connection->needs_setup()
                                              ? setup.plan_some(*request_.session, required_statement())
                                              : setup.plan(*request_.session, required_statement());
    if (steps.empty()) {
        begin(current);
        return;
    }
    group_.send_setup(*current->connection, steps, [this, current](bool ready) {
        const std::shared_ptr<statement_task> keep = self_;
        if (!ready) {
            // Closing the connection ends the attempt through on_lost.
            current->connection->owner().drop(*current->connection, disconnect_reason::lost);
            return;
        }
        if (finished_) {
            return_connection(current);
            return;
        }
        begin(current);
    });
}

void statement_task::begin(const attempt_pointer& current) {
    if (!is_transaction()) {
        send_statement(current);
        return;
    }
    if (refuse_caller(current)) {
        return;
    }
    instance_command command;
    command.kind =
        request_.access == access_kind::transaction ? command_kind::begin : command_kind::begin_read;
    command.id = request_.begin_id;
    command.min_position = current->min_position;
    current->connection->send(command, [this, current](instance_answer& answer) {
        const std::shared_ptr<statement_task> keep = self_;
        if (finished_ || answer.result.outcome != statement_outcome::done) {
            on_result(current, answer);
            return;
        }
        send_statement(current);
    });
}

void statement_task::send_statement(const attempt_pointer& current) {
    const std::string shared_name =
        required_statement() != nullptr ? shared_statement_name(*required_statement()) : std::string{};
    instance_command command = make_statement_command(request_.client_statement, shared_name);
    if (!is_transaction()) {
        command.min_position = current->min_position;
        command.changes_data = request_.writes;
    }
    if (!request_.fits(command)) {
        refuse_attempt(current, statement_outcome::too_large, too_large_detail);
        return;
    }
    if (refuse_caller(current)) {
        return;
    }
    current->statement_sent = true;
    current->connection->send(command,
                              [this, current](instance_answer& answer) { on_result(current, answer); });
}

void statement_task::refuse_attempt(const attempt_pointer& current, statement_outcome outcome,
                                    std::string_view detail) {
    const std::shared_ptr<statement_task> keep = self_;
    return_connection(current);
    if (!finished_ && attempts_.empty()) {
        refuse(outcome, detail);
    }
}

bool statement_task::refuse_caller(const attempt_pointer& current) {
    const caller_verdict verdict = request_.check_caller ? request_.check_caller() : caller_verdict::allowed;
    if (verdict == caller_verdict::allowed) {
        return false;
    }
    refuse_attempt(current, caller_refusal(verdict, is_transaction()), caller_detail(verdict));
    return true;
}

void statement_task::on_result(const attempt_pointer& current, instance_answer& answer) {
    const std::shared_ptr<statement_task> keep = self_;
    if (finished_) {
        return_connection(current);
        return;
    }
    const statement_outcome outcome = answer.result.outcome;
    if (outcome == statement_outcome::done) {
        if (request_.writes && !is_transaction()) {
            confirm(current, std::move(answer.result));
            return;
        }
        const bool stays_open = is_transaction() && answer.result.state == transaction_state::open;
        pooled_connection* connection = stays_open ? current->connection : nullptr;
        if (stays_open) {
            connection->on_lost = nullptr;
            remove_attempt(current);
        } else {
            return_connection(current);
        }
        finish(std::move(answer.result), connection);
        return;
    }
    const std::string instance = current->instance;
    proxy_instance& owner = current->connection->owner();
    const std::string detail = answer.result.detail;
    const std::optional<log_position> min_position = current->min_position;
    if (outcome == statement_outcome::no_statement && required_statement() != nullptr) {
        current->connection->setup.forget(shared_statement_name(*required_statement()));
    }
    return_connection(current);
    group_.log_failed_attempt(request_.client_statement.id, instance, outcome, started_attempts_);
    switch (outcome) {
    case statement_outcome::busy:
        owner.pause_for(busy_backoff);
        retry(instance, outcome, true);
        return;
    case statement_outcome::lagging:
        if (min_position) {
            group_.on_lagging(instance, *min_position);
        }
        retry(instance, outcome, true);
        return;
    case statement_outcome::read_only:
        group_.on_not_primary(instance);
        retry(instance, outcome, false);
        return;
    case statement_outcome::no_statement:
        retry(instance, outcome, false);
        return;
    case statement_outcome::failed:
    case statement_outcome::timed_out:
        if (may_repeat()) {
            retry(instance, outcome, true);
            return;
        }
        refuse(outcome, detail);
        return;
    default:
        refuse(outcome, detail);
        return;
    }
}

void statement_task::confirm(const attempt_pointer& current, statement_result result) {
    proxy_instance& owner = current->connection->owner();
    const time_point sent_at = current->started_at;
    confirming_ = true;
    return_connection(current);
    const std::shared_ptr<statement_result> pending_result =
        std::make_shared<statement_result>(std::move(result));
    group_.confirm_commit(owner, *pending_result, sent_at, request_.selected_route->target_latency,
                          [this, keep = shared_from_this(), pending_result](bool confirmed) {
                              if (finished_) {
                                  return;
                              }
                              if (confirmed) {
                                  finish(std::move(*pending_result), nullptr);
                              } else {
                                  refuse(statement_outcome::in_doubt,
                                         "acknowledged, but not known to be kept by a replica");
                              }
                          });
}

void statement_task::on_lost(const attempt_pointer& current) {
    const std::shared_ptr<statement_task> keep = self_;
    const bool outcome_unknown = current->statement_sent && !may_repeat();
    remove_attempt(current);
    if (finished_) {
        return;
    }
    group_.log_failed_attempt(request_.client_statement.id, current->instance, statement_outcome::in_doubt,
                              started_attempts_);
    if (outcome_unknown) {
        refuse(statement_outcome::in_doubt, "connection to the instance lost");
        return;
    }
    retry(current->instance, statement_outcome::busy, true);
}

void statement_task::return_connection(const attempt_pointer& current) {
    const std::shared_ptr<statement_task> keep = self_;
    pooled_connection* connection = current->connection;
    remove_attempt(current);
    connection->on_lost = nullptr;
    group_.return_connection(*connection);
}

void statement_task::remove_attempt(const attempt_pointer& current) {
    attempts_.erase(std::remove(attempts_.begin(), attempts_.end(), current), attempts_.end());
    if (finished_ && attempts_.empty()) {
        self_.reset();
    }
}

void statement_task::retry(const std::string& instance, statement_outcome outcome, bool avoid_instance) {
    last_failure_ = outcome;
    if (avoid_instance && std::find(excluded_instances_.begin(), excluded_instances_.end(), instance) ==
                              excluded_instances_.end()) {
        excluded_instances_.push_back(instance);
    }
    if (!attempts_.empty() || waiting_) {
        return;
    }
    if (started_attempts_ >= max_attempts) {
        refuse(outcome, "every attempt failed");
        return;
    }
    if (!group_.accepts_attempts()) {
        refuse(is_transaction() ? statement_outcome::aborted : outcome, stopping_detail);
        return;
    }
    waiting_ = true;
    waiting_since_ = group_.now();
    // Queued rather than placed immediately, so that an instance that refuses everything is not retried in a
    // loop.
    group_.enqueue(shared_from_this());
}

void statement_task::tick(time_point now) {
    if (finished_) {
        return;
    }
    const std::shared_ptr<statement_task> keep = self_;
    if (now >= request_.received_at + request_.selected_route->timeout) {
        give_up("timeout of the route reached");
        return;
    }
    if (attempts_.empty()) {
        if (waiting_) {
            refuse_if_waited_too_long(now);
        }
        return;
    }
    if (request_.access == access_kind::read && !waiting_ && attempts_.size() < max_parallel_reads) {
        start_second_read(now);
    }
}

void statement_task::refuse_waiting() {
    if (is_waiting() && attempts_.empty()) {
        refuse(is_transaction() ? statement_outcome::aborted : statement_outcome::busy, stopping_detail);
    }
}

void statement_task::refuse_unservable() {
    refuse(is_transaction() ? statement_outcome::aborted : statement_outcome::busy, unservable_detail);
}

void statement_task::give_up(std::string_view detail) {
    if (finished_) {
        return;
    }
    const bool sent = std::any_of(attempts_.begin(), attempts_.end(),
                                  [](const attempt_pointer& current) { return current->statement_sent; });
    const std::vector<attempt_pointer> ended = attempts_;
    statement_outcome outcome = confirming_ ? statement_outcome::in_doubt : statement_outcome::busy;
    if (sent) {
        outcome = request_.access == access_kind::read ? statement_outcome::timed_out
                  : may_repeat()                       ? statement_outcome::aborted
                                                       : statement_outcome::in_doubt;
    }
    refuse(outcome, detail);
    for (const attempt_pointer& current : ended) {
        current->connection->owner().drop(*current->connection, disconnect_reason::closed_locally);
    }
}

void statement_task::refuse_if_waited_too_long(time_point now) {
    const duration waited = now - waiting_since_;
    const bool unservable = wait_reason_ != placement_wait::no_connection && !group_.is_warming_up();
    duration limit = share_of(request_.selected_route->timeout, queue_share);
    if (unservable) {
        limit = share_of(request_.selected_route->target_latency, unservable_wait_share);
        const std::optional<time_point> expected = group_.primary_expected_at();
        const time_point last =
            request_.received_at + share_of(request_.selected_route->timeout, queue_share);
        if (wait_reason_ == placement_wait::no_primary && expected) {
            // Wait only if the new primary is expected in time for the statement; otherwise refuse
            // immediately.
            limit = *expected < last ? last - waiting_since_ : duration(0);
        }
    }
    if (waited >= limit) {
        // While its lane is full, a waiting task is not tried, and its reason may be out of date.
        if (unservable && (try_place() || wait_reason_ == placement_wait::no_connection)) {
            return;
        }
        if (unservable && wait_reason_ != placement_wait::no_primary) {
            group_.on_unservable_statement();
        }
        refuse(is_transaction() ? statement_outcome::aborted : statement_outcome::busy,
               to_string(wait_reason_));
    }
}

void statement_task::start_second_read(time_point now) {
    const attempt_pointer& first = attempts_.front();
    const double expected =
        first->connection->owner().expected_ms() * second_read_factor * microseconds_per_ms;
    const duration delay = std::max(share_of(request_.selected_route->target_latency, second_read_share),
                                    duration(static_cast<std::int64_t>(expected)));
    if (now - first->started_at < delay || !group_.may_start_second_read()) {
        return;
    }
    excluded_instances_.push_back(first->instance);
    waiting_ = true;
    waiting_since_ = now;
    if (!try_place()) {
        group_.enqueue(shared_from_this());
    }
}

void statement_task::abandon() {
    const std::shared_ptr<statement_task> keep = self_;
    group_.dequeue(*this);
    finished_ = true;
    waiting_ = false;
    done_ = nullptr;
    if (attempts_.empty()) {
        self_.reset();
    }
}

void statement_task::refuse(statement_outcome outcome, std::string_view detail) {
    finish(
        make_refusal(outcome, detail, is_transaction() ? transaction_state::failed : transaction_state::idle),
        nullptr);
}

void statement_task::finish(statement_result result, pooled_connection* connection) {
    const std::shared_ptr<statement_task> keep = self_;
    group_.dequeue(*this);
    finished_ = true;
    waiting_ = false;
    const result_handler done = std::move(done_);
    done_ = nullptr;
    if (attempts_.empty()) {
        self_.reset();
    }
    done(result, connection);
}

} // namespace gentianhill
