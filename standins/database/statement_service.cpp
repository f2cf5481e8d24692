#include "standins/database/statement_service.h"

#include <cassert>
#include <utility>

namespace gentianhill::standins {

statement_service::statement_service(event_loop& loop, const database_settings& settings,
                                     const term_rules& rules, sql_store& store)
    : loop_(loop),
      idle_limit_(settings.transaction_idle_limit),
      rules_(rules),
      store_(store),
      slots_(loop, settings.slots, settings.service_time),
      lock_(loop, settings.lock_wait) {}

error statement_service::lock_not_granted() {
    return error{error_code::no_free_slot, "transaction", "",
                 "a request while no transaction of another connection is open; this one was not run"};
}

// Batches

bool statement_service::may_execute(const execute_request& request, error& reason) const {
    return request.read_only && !request.in_transaction ? rules_.may_read(request.term, reason)
                                                        : rules_.may_write(request.term, reason);
}

void statement_service::execute(const database_call& received) {
    error reason;
    const std::optional<execute_request> request = read_execute(received.envelope, reason);
    if (!request || !may_execute(*request, reason)) {
        refuse(received, reason);
        return;
    }
    if (request->in_transaction) {
        execute_in_transaction(received, *request);
    } else {
        execute_alone(received, *request);
    }
}

void statement_service::execute_alone(const database_call& received, const execute_request& request) {
    if (request.read_only) {
        slots_.run(request.statements.size(), [this, received, request] { run_alone(received, request); });
        return;
    }
    if (refuse_commit_) {
        ++counters_.withheld_commits;
        return;
    }
    // The lock comes before the slot: a batch that waits for a transaction must not take the slot that the
    // transaction needs.
    lock_.acquire(received.connection, lock_mode::shared, [this, received, request](bool granted) {
        if (!granted) {
            refuse(received, lock_not_granted());
            return;
        }
        slots_.run(request.statements.size(), [this, received, request] {
            run_alone(received, request);
            lock_.release(lock_mode::shared);
        });
    });
}

void statement_service::run_alone(const database_call& received, const execute_request& request) {
    error reason;
    // The term may have changed while the batch waited.
    if (!may_execute(request, reason)) {
        refuse(received, reason);
        return;
    }
    if (refuse_commit_ && !request.read_only) {
        ++counters_.withheld_commits;
        return;
    }
    ++counters_.executed;
    const std::optional<sql_store::results> results =
        request.read_only ? store_.read(request.statements, reason)
                          : store_.write(request.term, request.statements, reason);
    if (!results) {
        refuse(received, reason);
        return;
    }
    answer_results(received, *results);
    if (!request.read_only) {
        on_log_changed();
    }
}

void statement_service::answer_results(const database_call& received, const sql_store::results& results) {
    nlohmann::json list = nlohmann::json::array();
    for (const statement_result& result : results) {
        list.push_back(
            nlohmann::json{{"columns", result.columns}, {"rows", result.rows}, {"changes", result.changes}});
    }
    const log_position last = store_.log().last();
    answer(received, nlohmann::json{
                         {"results", std::move(list)}, {"log_term", last.term}, {"position", last.position}});
}

// Transactions

bool statement_service::is_open(http2::connection_id connection) const {
    return open_ && open_->connection == connection;
}

bool statement_service::check_open(http2::connection_id connection, error& reason) const {
    if (is_open(connection)) {
        return true;
    }
    if (aborted_.count(connection) > 0) {
        reason = error{error_code::transaction_closed, "transaction", "aborted",
                       "rollback, then a new transaction"};
    } else {
        reason = error{error_code::transaction_unknown, "transaction", "", "begin on this connection first"};
    }
    return false;
}

void statement_service::execute_in_transaction(const database_call& received,
                                               const execute_request& request) {
    error reason;
    if (!check_open(received.connection, reason)) {
        refuse(received, reason);
        return;
    }
    restart_idle_limit();
    slots_.run(request.statements.size(), [this, received, request, number = open_->number] {
        run_in_transaction(received, request, number);
    });
}

void statement_service::run_in_transaction(const database_call& received, const execute_request& request,
                                           std::uint64_t number) {
    error reason;
    if (!open_ || open_->number != number) {
        refuse(received,
               error{error_code::transaction_closed, "transaction", "", "a transaction that is still open"});
        return;
    }
    ++counters_.executed;
    const batch_mode mode = request.read_only ? batch_mode::read_only : batch_mode::read_write;
    const std::optional<sql_store::results> results =
        store_.run_in_transaction(request.statements, mode, reason);
    if (!store_.is_open()) {
        // ON CONFLICT ROLLBACK ended it.
        abort();
    }
    if (!results) {
        refuse(received, reason);
        return;
    }
    answer_results(received, *results);
}

void statement_service::begin(const database_call& received) {
    error reason;
    const std::optional<term_number> term = read_term(received.envelope, reason);
    if (!term || !rules_.may_write(*term, reason)) {
        refuse(received, reason);
        return;
    }
    if (is_open(received.connection) || beginning_.count(received.connection) > 0) {
        refuse(received, error{error_code::bad_value, "transaction", "open",
                               "one transaction at a time on a connection"});
        return;
    }
    aborted_.erase(received.connection);
    beginning_.insert(received.connection);
    lock_.acquire(received.connection, lock_mode::exclusive, [this, received, term = *term](bool granted) {
        beginning_.erase(received.connection);
        if (granted) {
            begin_granted(received, term);
        } else {
            refuse(received, lock_not_granted());
        }
    });
}

void statement_service::begin_granted(const database_call& received, term_number term) {
    error reason;
    // The term may have changed while the request waited for the lock.
    if (!rules_.may_write(term, reason)) {
        lock_.release(lock_mode::exclusive);
        refuse(received, reason);
        return;
    }
    assert(!open_);
    open_ = open_transaction{received.connection, next_number_++, timer{}};
    ++counters_.started_transactions;
    store_.begin();
    restart_idle_limit();
    answer(received, nlohmann::json::object());
}

void statement_service::restart_idle_limit() {
    open_->idle = loop_.call_after(idle_limit_, [this] { abort(); });
}

void statement_service::commit(const database_call& received) {
    error reason;
    const std::optional<term_number> term = read_term(received.envelope, reason);
    if (!term || !rules_.may_write(*term, reason) || !check_open(received.connection, reason)) {
        refuse(received, reason);
        return;
    }
    if (refuse_commit_) {
        ++counters_.withheld_commits;
        return;
    }
    store_.commit(*term);
    ++counters_.committed_transactions;
    const log_position last = store_.log().last();
    answer(received, nlohmann::json{{"log_term", last.term}, {"position", last.position}});
    on_log_changed();
    close_transaction();
}

void statement_service::roll_back(const database_call& received) {
    error reason;
    if (aborted_.erase(received.connection) > 0) {
        answer(received, nlohmann::json::object());
        return;
    }
    if (!check_open(received.connection, reason)) {
        refuse(received, reason);
        return;
    }
    store_.roll_back();
    ++counters_.rolled_back_transactions;
    answer(received, nlohmann::json::object());
    close_transaction();
}

void statement_service::connection_closed(http2::connection_id connection) {
    if (is_open(connection)) {
        abort();
    }
    aborted_.erase(connection);
    beginning_.erase(connection);
    lock_.drop(connection);
}

void statement_service::abort_open() {
    if (open_) {
        abort();
    }
}

void statement_service::abort() {
    assert(open_);
    ++counters_.aborted_transactions;
    aborted_.insert(open_->connection);
    store_.roll_back();
    close_transaction();
}

void statement_service::close_transaction() {
    open_.reset();
    lock_.release(lock_mode::exclusive);
}

} // namespace gentianhill::standins
