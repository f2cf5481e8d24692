#include "gentianhill/proxy/client_session.h"

#include "gentianhill/proxy/caller_refusal.h"
#include "gentianhill/proxy/proxy_instance.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Delay before a statement of a transaction is retried at an instance that answered busy.
constexpr duration busy_backoff = 12ms;
constexpr std::uint32_t max_pinned_attempts = 8;
/// Time after which a statement that was refused as busy is given up. Before it is sent again, the log of the
/// instance must have grown, since a further refusal could not be told from a copy of the first.
constexpr duration busy_limit = 100ms;
constexpr std::string_view too_large_detail = "too long under the name that sessions share";
constexpr std::string_view stopping_detail = "the daemon is stopping";
constexpr std::string_view timeout_detail = "timeout of the route reached";
constexpr std::string_view owner_lost_detail = "the daemon that runs the statements of the group is lost";
/// Time after a route's timeout by which the owner of a group, which counts it from the receipt, has
/// answered.
constexpr duration hand_on_margin = 50ms;

constexpr std::string_view session_full_detail = "the session keeps too many values and statements";

std::size_t size_of(const statement& sized) {
    return sized.id.size() + sized.text.size() + sized.name.size() + sized.argument.size();
}

bool guarantees_no_effect(statement_outcome outcome) {
    return outcome >= statement_outcome::busy && outcome <= statement_outcome::denied;
}

std::string_view team_name(const std::shared_ptr<const team>& caller) {
    return caller != nullptr ? std::string_view(caller->name) : std::string_view{};
}

/// True for statements that run at an instance, or begin a transaction there.
bool needs_instance(statement_kind kind) {
    switch (kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
    case statement_kind::commit:
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        return true;
    default:
        return false;
    }
}

} // namespace

client_session::client_session(std::string database, std::optional<key_digest> key,
                               const session_environment& environment, logger& log, proxy_counters& counters)
    : database_(std::move(database)), key_(key), environment_(environment), log_(log), counters_(counters) {}

client_session::~client_session() {
    if (task_) {
        task_->abandon();
    }
    alive_.reset();
    if (transaction_) {
        release_pinned();
    }
}

void client_session::submit(statement next, time_point received_at) {
    queued_bytes_ += size_of(next);
    queue_.push_back({std::move(next), received_at});
    run_next();
}

void client_session::adopt(const session_snapshot& snapshot) {
    position_ = snapshot.position;
    fresh_after_ = snapshot.fresh_after;
    if (!snapshot.in_transaction) {
        return;
    }
    open_transaction opened;
    opened.reads_only = snapshot.reads_only;
    opened.begin_id = snapshot.begin_id;
    opened.begun_at = snapshot.begun_at;
    opened.last_activity = environment_.now();
    opened.selected_route = snapshot.selected_route;
    opened.group = environment_.find_group(snapshot.selected_route->group);
    transaction_ = std::move(opened);
}

void client_session::adopt_values(const session_state::value_map* values, const std::string& name,
                                  const prepared_statement* prepared) {
    if (values != nullptr) {
        values_.replace_values(*values);
    }
    if (prepared != nullptr) {
        // One name only, so the number of names is no limit.
        static_cast<void>(values_.prepare(name, *prepared));
    }
}

transaction_state client_session::state() const {
    if (!transaction_) {
        return transaction_state::idle;
    }
    return transaction_->failed ? transaction_state::failed : transaction_state::open;
}

void client_session::run_next() {
    // Statements answered locally call this again; the loop avoids recursion.
    if (running_) {
        return;
    }
    running_ = true;
    const std::weak_ptr<bool> alive = alive_;
    while (!busy_ && !queue_.empty() && (!may_run || may_run())) {
        current_ = std::move(queue_.front().client_statement);
        // The time that a statement waits for those before it is not its own.
        received_at_ = environment_.counts_statements ? environment_.now() : queue_.front().received_at;
        queue_.pop_front();
        current_bytes_ = size_of(current_);
        queued_bytes_ -= current_bytes_;
        busy_ = true;
        pinned_attempts_ = 0;
        busy_since_.reset();
        if (transaction_) {
            if (transaction_->connection != nullptr) {
                transaction_->group->on_transaction_pause(environment_.now() - transaction_->last_activity);
            }
            transaction_->last_activity = environment_.now();
        }
        run(current_);
        if (alive.expired()) {
            return;
        }
    }
    running_ = false;
}

bool client_session::refuse_while_stopping(const statement& next) {
    if (environment_.accepts_statements()) {
        return false;
    }
    if (!needs_instance(next.kind)) {
        return false;
    }
    if (!transaction_) {
        answer_failure(statement_outcome::busy, stopping_detail);
        return true;
    }
    if (transaction_->failed) {
        return false;
    }
    release_pinned();
    transaction_->failed = true;
    if (next.kind == statement_kind::commit) {
        transaction_.reset();
    }
    answer_failure(statement_outcome::aborted, stopping_detail);
    return true;
}

bool client_session::refuse_caller(const statement& next) {
    if (!needs_instance(next.kind) || (transaction_ && transaction_->failed)) {
        return false;
    }
    const std::shared_ptr<const route> used =
        transaction_ ? transaction_->selected_route : environment_.find_route(database_);
    if (used == nullptr || !environment_.check_caller) {
        return false;
    }
    caller_check check = environment_.check_caller(*used, key_, received_at_);
    if (check.verdict == caller_verdict::allowed) {
        if (!transaction_ || (transaction_->connection == nullptr && !transaction_->remote)) {
            caller_ = check.caller;
            return false;
        }
        if (team_name(check.caller) == team_name(caller_)) {
            return false;
        }
        // The connection of the transaction belongs to the team that held the key before.
        check.verdict = caller_verdict::denied;
    }
    counters_.callers_refused.add();
    const bool in_transaction = transaction_.has_value();
    if (in_transaction) {
        release_pinned();
        transaction_->failed = true;
        if (next.kind == statement_kind::commit) {
            transaction_.reset();
        }
    }
    answer_failure(caller_refusal(check.verdict, in_transaction), caller_detail(check.verdict));
    return true;
}

bool client_session::may_stay() const {
    const std::shared_ptr<const route> used = environment_.find_route(database_);
    return used == nullptr || !environment_.check_caller ||
           environment_.check_caller(*used, key_, environment_.now()).verdict != caller_verdict::denied;
}

void client_session::run(const statement& next) {
    if (refuse_while_stopping(next) || refuse_caller(next)) {
        return;
    }
    if (transaction_ && transaction_->rollback_unreported && next.kind != statement_kind::commit &&
        next.kind != statement_kind::rollback) {
        transaction_->rollback_unreported = false;
        answer_failure(statement_outcome::aborted, "the transaction was rolled back");
        return;
    }
    if (transaction_ && transaction_->failed && next.kind != statement_kind::commit &&
        next.kind != statement_kind::rollback) {
        answer_failure(statement_outcome::malformed, "the transaction has failed; roll it back");
        return;
    }
    switch (next.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        run_begin(next);
        return;
    case statement_kind::rollback:
        run_rollback();
        return;
    case statement_kind::set_value:
    case statement_kind::prepare:
    case statement_kind::deallocate:
        run_local(next);
        return;
    case statement_kind::malformed:
        answer_failure(statement_outcome::malformed, next.text);
        return;
    default:
        run_remote(next);
        return;
    }
}

void client_session::run_local(const statement& next) {
    if (next.kind != statement_kind::deallocate && may_keep &&
        !may_keep(session_state::bytes_of(next.name, next.argument))) {
        answer_failure(statement_outcome::too_large, session_full_detail);
        return;
    }
    switch (next.kind) {
    case statement_kind::set_value:
        values_.set_value(next.name, next.argument);
        values_changed_ = true;
        break;
    case statement_kind::prepare:
        if (!fits_message(next)) {
            answer_failure(statement_outcome::too_large, too_large_detail);
            return;
        }
        if (!values_.prepare(next.name, {next.argument, next.writes})) {
            answer_failure(statement_outcome::too_large, "too many prepared statements");
            return;
        }
        break;
    default:
        if (!values_.deallocate(next.name)) {
            answer_failure(statement_outcome::no_statement, next.name);
            return;
        }
        break;
    }
    answer_done();
}

void client_session::run_begin(const statement& next) {
    if (transaction_) {
        answer_failure(statement_outcome::malformed, "a transaction is open already");
        return;
    }
    std::shared_ptr<const route> selected_route = environment_.find_route(database_);
    database_group* group = selected_route ? environment_.find_group(selected_route->group) : nullptr;
    if (selected_route == nullptr) {
        answer_failure(statement_outcome::unknown_database, database_);
        return;
    }
    if (group == nullptr) {
        answer_failure(statement_outcome::busy, "no instance is known");
        return;
    }
    // The transaction is opened at the instance with its first statement, so that until then it holds no
    // connection.
    open_transaction opened;
    opened.reads_only = next.kind == statement_kind::begin_read;
    opened.begin_id = next.id;
    opened.begun_at = received_at_;
    opened.last_activity = received_at_;
    opened.selected_route = std::move(selected_route);
    opened.group = group;
    opened.configuration_version = environment_.configuration_version();
    transaction_ = opened;
    answer_done();
}

void client_session::run_rollback() {
    if (transaction_) {
        release_pinned();
        transaction_.reset();
    }
    answer_done();
}

bool client_session::writes(const statement& client_statement) const {
    if (client_statement.kind == statement_kind::execute) {
        const prepared_statement* prepared = values_.find_prepared(client_statement.name);
        return prepared != nullptr && prepared->writes;
    }
    return client_statement.kind == statement_kind::write;
}

const prepared_statement* client_session::required_statement() const {
    return current_.kind == statement_kind::execute ? values_.find_prepared(current_.name) : nullptr;
}

void client_session::run_remote(const statement& next) {
    if (next.kind == statement_kind::execute && values_.find_prepared(next.name) == nullptr) {
        answer_failure(statement_outcome::no_statement, next.name);
        return;
    }
    if (next.kind == statement_kind::commit) {
        if (!transaction_) {
            answer_failure(statement_outcome::malformed, "no transaction is open");
            return;
        }
        if (transaction_->failed) {
            release_pinned();
            transaction_.reset();
            answer_failure(statement_outcome::aborted, "the transaction was rolled back");
            return;
        }
    }
    if (transaction_ && transaction_->reads_only && writes(next)) {
        answer_failure(statement_outcome::read_only, "the transaction only reads");
        return;
    }
    if (!fits_message(next)) {
        answer_failure(statement_outcome::too_large, too_large_detail);
        return;
    }
    if (transaction_ && transaction_->remote) {
        hand_on_pinned(next);
    } else if (transaction_ && transaction_->connection != nullptr) {
        run_pinned(next);
    } else {
        run_unpinned(next);
    }
}

bool client_session::fits_message(const statement& next) const {
    if (next.kind == statement_kind::prepare) {
        const std::string shared_name = shared_statement_name({next.argument, next.writes});
        instance_command command;
        command.kind = command_kind::prepare;
        command.name = shared_name;
        command.argument = next.argument;
        command.writes = next.writes;
        return environment_.fits(command);
    }
    const std::string shared_name =
        required_statement() != nullptr ? shared_statement_name(*required_statement()) : std::string{};
    return environment_.fits(make_statement_command(next, shared_name));
}

statement_task::request client_session::make_request(const statement& next) const {
    statement_task::request request;
    request.client_statement = next;
    request.session = &values_;
    request.writes = writes(next);
    request.received_at = received_at_;
    request.session_position = position_;
    request.fresh_after = fresh_after_;
    request.fits = environment_.fits;
    request.team = team_name(caller_);
    if (transaction_) {
        request.selected_route = transaction_->selected_route;
        request.begin_id = transaction_->begin_id;
        request.begun_at = transaction_->begun_at;
        request.access = transaction_->reads_only ? access_kind::read_transaction : access_kind::transaction;
    } else {
        request.begun_at = received_at_;
        request.access = request.writes ? access_kind::write : access_kind::read;
    }
    return request;
}

void client_session::run_unpinned(const statement& next) {
    if (caller_ == nullptr || !caller_->rate || !environment_.quota.admit) {
        start_unpinned(next);
        return;
    }
    // Whichever comes first answers the statement: the quota, or give_up().
    awaiting_admission_ = ++admissions_;
    environment_.quota.admit(
        caller_, [this, number = admissions_, alive = std::weak_ptr<bool>(alive_)](bool admitted) {
            if (!alive.expired() && awaiting_admission_ == number) {
                awaiting_admission_.reset();
                on_admission(admitted);
            }
        });
}

void client_session::on_admission(bool admitted) {
    if (admitted) {
        start_unpinned(current_);
        return;
    }
    answer_failure(transaction_ ? statement_outcome::aborted : statement_outcome::busy,
                   "the team's limit is reached");
}

void client_session::start_unpinned(const statement& next) {
    if (!hand_on(next)) {
        run_here(next);
    }
}

void client_session::run_here(const statement& next) {
    statement_task::request request = make_request(next);
    database_group* group = transaction_ ? transaction_->group : nullptr;
    group_name_ = group != nullptr ? group->name() : group_name_;
    if (!transaction_) {
        request.selected_route = environment_.find_route(database_);
        if (request.selected_route == nullptr) {
            answer_failure(statement_outcome::unknown_database, database_);
            return;
        }
        group_name_ = request.selected_route->group;
        group = environment_.find_group(group_name_);
        if (group == nullptr) {
            answer_failure(statement_outcome::busy, "no instance is known");
            return;
        }
    }
    if (environment_.check_caller) {
        // A caller that has moved to another team meanwhile must not use a connection of the former one.
        request.check_caller = [check = environment_.check_caller, used = request.selected_route, key = key_,
                                received_at = received_at_, named = request.team] {
            const caller_check result = check(*used, key, received_at);
            return result.verdict == caller_verdict::allowed && team_name(result.caller) != named
                       ? caller_verdict::denied
                       : result.verdict;
        };
    }
    task_ = std::make_shared<statement_task>(
        *group, std::move(request),
        [this, alive = std::weak_ptr<bool>(alive_)](statement_result& result, pooled_connection* connection) {
            if (!alive.expired()) {
                on_unpinned_result(result, connection);
            }
        });
    const std::shared_ptr<statement_task> started = task_;
    started->start();
}

void client_session::on_unpinned_result(statement_result& result, pooled_connection* connection) {
    task_.reset();
    if (apply_unpinned_result(result, connection != nullptr)) {
        pin(*connection);
    }
    result.state = state();
    answer(std::move(result));
}

bool client_session::apply_unpinned_result(const statement_result& result, bool stays_open) {
    const bool wrote = writes(current_);
    if (!transaction_) {
        if (result.outcome == statement_outcome::done && wrote) {
            after_commit(result, true);
        }
        return false;
    }
    if (result.outcome != statement_outcome::done) {
        if (current_.kind == statement_kind::commit) {
            transaction_.reset();
        } else {
            transaction_->failed = true;
        }
        return false;
    }
    if (!stays_open) {
        transaction_.reset();
        return false;
    }
    transaction_->wrote = wrote;
    return true;
}

hand_on_request client_session::make_hand_on_request(const statement& next,
                                                     std::shared_ptr<const route> selected_route) const {
    hand_on_request request;
    request.client_statement = next;
    if (const prepared_statement* prepared = required_statement()) {
        request.prepared = *prepared;
    }
    request.received_at = received_at_;
    request.selected_route = std::move(selected_route);
    return request;
}

statement_forwarder::handler
client_session::make_hand_on_handler(void (client_session::*on_outcome)(hand_on_outcome& outcome)) {
    return [this, on_outcome, number = ++hand_ons_, forwarder = environment_.forwarder,
            alive = std::weak_ptr<bool>(alive_)](hand_on_outcome outcome) {
        if (alive.expired() || !handed_on_ || number != hand_ons_) {
            // The client has gone, or the statement was given up, and with it a transaction that is open now.
            if (outcome.transaction) {
                forwarder->end(*outcome.transaction);
            }
            return;
        }
        handed_on_ = false;
        (this->*on_outcome)(outcome);
    };
}

bool client_session::hand_on(const statement& next) {
    if (environment_.forwarder == nullptr) {
        return false;
    }
    const std::shared_ptr<const route> selected_route =
        transaction_ ? transaction_->selected_route : environment_.find_route(database_);
    if (selected_route == nullptr || !environment_.hands_on(selected_route->group)) {
        return false;
    }
    group_name_ = selected_route->group;
    handed_on_timeout_ = selected_route->timeout;
    hand_on_request request = make_hand_on_request(next, selected_route);
    request.values = values_.values();
    request.team = team_name(caller_);
    request.session_position = position_;
    request.fresh_after = fresh_after_;
    request.begun_at = received_at_;
    request.configuration_version = environment_.configuration_version();
    if (transaction_) {
        request.configuration_version = transaction_->configuration_version;
        request.in_transaction = true;
        request.reads_only = transaction_->reads_only;
        request.begin_id = transaction_->begin_id;
        request.begun_at = transaction_->begun_at;
    }
    // A transaction without a commit has no effect if its connection ends.
    const bool may_repeat = transaction_ || !writes(next);
    values_changed_ = false;
    handed_on_ = true;
    handed_on_ = environment_.forwarder->run(std::move(request), may_repeat,
                                             make_hand_on_handler(&client_session::on_handed_on));
    return handed_on_;
}

void client_session::on_handed_on(hand_on_outcome& outcome) {
    if (outcome.fate == hand_on_fate::lost) {
        answer_failure(statement_outcome::in_doubt, owner_lost_detail);
        return;
    }
    if (outcome.fate == hand_on_fate::not_run) {
        if (outcome.refusal == hand_on_refusal::overloaded) {
            answer_failure(transaction_ ? statement_outcome::aborted : statement_outcome::busy,
                           to_string(outcome.refusal));
        } else if (!refuse_while_stopping(current_) && !refuse_caller(current_)) {
            run_here(current_);
        }
        return;
    }
    if (apply_unpinned_result(outcome.result, outcome.transaction.has_value())) {
        transaction_->remote = outcome.transaction;
    }
    outcome.result.state = state();
    answer(std::move(outcome.result));
}

void client_session::hand_on_pinned(const statement& next) {
    hand_on_request request = make_hand_on_request(next, transaction_->selected_route);
    if (values_changed_) {
        request.values = values_.values();
        values_changed_ = false;
    }
    handed_on_ = true;
    environment_.forwarder->resume(*transaction_->remote, std::move(request),
                                   make_hand_on_handler(&client_session::on_pinned_handed_on));
}

void client_session::on_pinned_handed_on(hand_on_outcome& outcome) {
    const bool commits = current_.kind == statement_kind::commit;
    const bool unknown = outcome.fate == hand_on_fate::lost && commits && transaction_->wrote;
    if (outcome.fate != hand_on_fate::answered) {
        // Whether it was not sent or its owner was lost, the transaction is rolled back.
        transaction_->remote.reset();
        transaction_->failed = true;
        if (commits) {
            transaction_.reset();
        }
        answer_failure(unknown ? statement_outcome::in_doubt : statement_outcome::aborted, owner_lost_detail);
        return;
    }
    statement_result& result = outcome.result;
    transaction_->remote = outcome.transaction;
    if (result.outcome == statement_outcome::done && commits) {
        after_commit(result, transaction_->wrote);
        transaction_.reset();
    } else if (result.outcome == statement_outcome::done) {
        transaction_->wrote = transaction_->wrote || writes(current_);
    } else if (commits) {
        transaction_.reset();
    } else {
        transaction_->failed = true;
    }
    result.state = state();
    answer(std::move(result));
}

void client_session::give_up_handed_on(std::string_view detail) {
    handed_on_ = false;
    const bool commits = current_.kind == statement_kind::commit;
    if (!transaction_) {
        answer_failure(writes(current_) ? statement_outcome::in_doubt : statement_outcome::timed_out, detail);
        return;
    }
    const bool unknown = commits && transaction_->wrote;
    release_pinned();
    transaction_->failed = true;
    if (commits) {
        transaction_.reset();
    }
    answer_failure(unknown ? statement_outcome::in_doubt : statement_outcome::aborted, detail);
}

void client_session::pin(pooled_connection& connection) {
    transaction_->connection = &connection;
    connection.on_lost = [this] { on_pinned_lost(); };
}

void client_session::run_pinned(const statement& next) {
    retry_at_.reset();
    pooled_connection& connection = *transaction_->connection;
    const std::vector<setup_step> steps = connection.setup.plan(values_, required_statement());
    if (steps.empty()) {
        send_pinned(next);
        return;
    }
    transaction_->group->send_setup(
        connection, steps, [this, alive = std::weak_ptr<bool>(alive_)](bool ready) {
            if (alive.expired() || !transaction_ || transaction_->connection == nullptr) {
                return;
            }
            if (!ready) {
                release_pinned();
                transaction_->failed = true;
                answer_failure(statement_outcome::aborted, "the session could not be set up");
                return;
            }
            send_pinned(current_);
        });
}

void client_session::send_pinned(const statement& next) {
    if (refuse_caller(next)) {
        return;
    }
    ++pinned_attempts_;
    sent_at_ = environment_.now();
    const std::string shared_name =
        required_statement() != nullptr ? shared_statement_name(*required_statement()) : std::string{};
    instance_command command = make_statement_command(next, shared_name);
    command.changes_data = next.kind == statement_kind::commit && transaction_->wrote;
    transaction_->connection->send(command,
                                   [this, alive = std::weak_ptr<bool>(alive_)](instance_answer& answer) {
                                       if (!alive.expired()) {
                                           on_pinned_answer(answer);
                                       }
                                   });
}

void client_session::on_pinned_answer(instance_answer& answered) {
    if (!transaction_ || transaction_->connection == nullptr || !busy_) {
        return;
    }
    statement_result& result = answered.result;
    const bool commits = current_.kind == statement_kind::commit;
    if (result.outcome == statement_outcome::busy && result.state == transaction_state::open &&
        pinned_attempts_ < max_pinned_attempts) {
        retry_at_ = environment_.now() + busy_backoff;
        busy_since_ = busy_since_.value_or(environment_.now());
        return;
    }
    if (result.outcome == statement_outcome::read_only) {
        transaction_->group->on_not_primary(transaction_->connection->owner().listed().id);
    }
    if (result.outcome == statement_outcome::done) {
        if (commits && transaction_->wrote) {
            confirm_commit(std::move(result));
            return;
        }
        if (commits) {
            release_pinned();
            transaction_.reset();
        } else if (writes(current_)) {
            transaction_->wrote = true;
        }
        result.state = state();
        answer(std::move(result));
        return;
    }
    log_.write(log_level::info, "transaction", "statement_failed",
               {{"id", current_.id},
                {"group", transaction_->selected_route->group},
                {"instance", transaction_->connection->owner().listed().id},
                {"outcome", to_string(result.outcome)},
                {"commit", commits}});
    // End the transaction at the instance as well, regardless of the state after the failed statement.
    release_pinned();
    if (commits) {
        transaction_.reset();
    } else {
        transaction_->failed = true;
    }
    result.state = state();
    answer(std::move(result));
}

void client_session::confirm_commit(statement_result result) {
    database_group& group = *transaction_->group;
    proxy_instance& owner = transaction_->connection->owner();
    release_pinned();
    confirming_ = true;
    const std::shared_ptr<statement_result> pending_result =
        std::make_shared<statement_result>(std::move(result));
    group.confirm_commit(
        owner, *pending_result, sent_at_, transaction_->selected_route->target_latency,
        [this, pending_result, commit = ++commits_, alive = std::weak_ptr<bool>(alive_)](bool confirmed) {
            if (!alive.expired() && confirming_ && commit == commits_) {
                on_commit_confirmed(confirmed, std::move(*pending_result));
            }
        });
}

void client_session::on_commit_confirmed(bool confirmed, statement_result result) {
    confirming_ = false;
    transaction_.reset();
    if (!confirmed) {
        answer_failure(statement_outcome::in_doubt, "acknowledged, but not known to be kept by a replica");
        return;
    }
    after_commit(result, true);
    result.state = state();
    answer(std::move(result));
}

void client_session::on_pinned_lost() {
    transaction_->connection = nullptr;
    transaction_->failed = true;
    retry_at_.reset();
    if (!busy_) {
        transaction_->rollback_unreported = true;
        return;
    }
    const bool commits = current_.kind == statement_kind::commit;
    const bool unknown = commits && transaction_->wrote;
    log_.write(log_level::info, "transaction", "connection_lost",
               {{"id", current_.id}, {"group", transaction_->selected_route->group}, {"commit", commits}});
    if (commits) {
        transaction_.reset();
    }
    answer_failure(unknown ? statement_outcome::in_doubt : statement_outcome::aborted,
                   "connection to the instance lost");
}

void client_session::release_pinned() {
    if (transaction_ && transaction_->remote) {
        environment_.forwarder->end(*transaction_->remote);
        transaction_->remote.reset();
        return;
    }
    if (!transaction_ || transaction_->connection == nullptr) {
        return;
    }
    pooled_connection* connection = transaction_->connection;
    transaction_->connection = nullptr;
    connection->on_lost = nullptr;
    if (connection->has_unanswered() && connection->is_open()) {
        // A statement is still running; closing the connection rolls it back.
        connection->owner().drop(*connection, disconnect_reason::closed_locally);
        return;
    }
    transaction_->group->return_connection(*connection);
}

void client_session::after_commit(const statement_result& result, bool wrote) {
    if (!wrote) {
        return;
    }
    if (result.position) {
        position_ = position_ ? std::max(*position_, *result.position) : *result.position;
    } else {
        fresh_after_ = environment_.now();
    }
}

void client_session::tick() {
    const time_point now = environment_.now();
    if (handed_on_ && now >= received_at_ + handed_on_timeout_ + hand_on_margin) {
        give_up_handed_on(timeout_detail);
        return;
    }
    if (!transaction_) {
        return;
    }
    if (!busy_) {
        const duration limit = environment_.transaction_idle_limit();
        if (limit > duration(0) && now - transaction_->last_activity > limit && !transaction_->failed) {
            log_.write(
                log_level::info, "transaction", "idle_limit_reached",
                {{"group", transaction_->selected_route->group}, {"limit_ms", to_milliseconds(limit)}});
            release_pinned();
            transaction_->failed = true;
        } else if (transaction_->connection != nullptr &&
                   transaction_->group->ends_idle_transaction(*transaction_->connection, limit,
                                                              now - transaction_->last_activity)) {
            end_transaction();
        }
        return;
    }
    if (confirming_ && now >= received_at_ + transaction_->selected_route->timeout) {
        give_up_confirming();
        return;
    }
    if (transaction_->connection == nullptr) {
        return;
    }
    if (now >= received_at_ + transaction_->selected_route->timeout) {
        give_up_pinned(timeout_detail);
        return;
    }
    if (!retry_at_ || now < *retry_at_) {
        return;
    }
    if (!transaction_->connection->may_repeat_error()) {
        run_pinned(current_);
    } else if (now - *busy_since_ >= busy_limit) {
        give_up_pinned("the instance is busy");
    }
}

void client_session::give_up_confirming() {
    confirming_ = false;
    transaction_.reset();
    answer_failure(statement_outcome::in_doubt, "not known whether the primary still leads");
}

void client_session::give_up_pinned(std::string_view detail) {
    const bool commits = current_.kind == statement_kind::commit;
    // A commit that the instance has refused as busy, and that is to be sent again, has not run.
    const bool unknown = commits && transaction_->wrote && !retry_at_;
    retry_at_.reset();
    release_pinned();
    transaction_->failed = true;
    if (commits) {
        transaction_.reset();
    }
    answer_failure(unknown ? statement_outcome::in_doubt : statement_outcome::aborted, detail);
}

void client_session::give_up(std::string_view detail) {
    if (!busy_) {
        return;
    }
    if (task_) {
        const std::shared_ptr<statement_task> running = task_;
        running->give_up(detail);
    } else if (handed_on_) {
        give_up_handed_on(detail);
    } else if (awaiting_admission_) {
        awaiting_admission_.reset();
        answer_failure(transaction_ ? statement_outcome::aborted : statement_outcome::busy, detail);
    } else if (confirming_) {
        give_up_confirming();
    } else if (transaction_ && transaction_->connection != nullptr) {
        give_up_pinned(detail);
    }
}

void client_session::end_transaction() {
    if (!transaction_ || busy_ || transaction_->failed) {
        return;
    }
    release_pinned();
    transaction_->failed = true;
    transaction_->rollback_unreported = true;
}

void client_session::answer_failure(statement_outcome outcome, std::string_view detail) {
    if (transaction_ && !transaction_->failed) {
        release_pinned();
        transaction_->failed = true;
    }
    answer(make_refusal(outcome, detail, state()));
}

void client_session::answer_done() {
    statement_result result;
    result.state = state();
    answer(std::move(result));
}

void client_session::answer(statement_result result) {
    busy_ = false;
    if (environment_.counts_statements) {
        counters_.statements.add();
        counters_.latency.record(environment_.now() - received_at_);
    }
    if (transaction_) {
        transaction_->last_activity = environment_.now();
    }
    if (result.outcome != statement_outcome::done) {
        if (environment_.counts_statements && guarantees_no_effect(result.outcome)) {
            counters_.refused.add();
        } else if (environment_.counts_statements && result.outcome == statement_outcome::in_doubt) {
            counters_.in_doubt.add();
        }
        log_.write(log_level::info, "statement", "refused",
                   {{"id", current_.id},
                    {"database", database_},
                    {"group", group_name_},
                    {"outcome", to_string(result.outcome)},
                    {"detail", result.detail},
                    {"ms", to_milliseconds(environment_.now() - received_at_)}});
    }
    // Its text is not used any more; a long one is not kept until the next statement.
    static_cast<void>(std::exchange(current_, {}));
    const std::weak_ptr<bool> alive = alive_;
    on_answer(result);
    if (!alive.expired()) {
        run_next();
    }
}

} // namespace gentianhill
