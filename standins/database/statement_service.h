#pragma once

#include "gentianhill/core/event_loop.h"
#include "standins/database/database_call.h"
#include "standins/database/database_settings.h"
#include "standins/database/slot_queue.h"
#include "standins/database/sql_store.h"
#include "standins/database/term_rules.h"
#include "standins/database/write_lock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace gentianhill::standins {

/// Counts of what an instance has run.
struct statement_counters {
    /// Batches that ran, within transactions or not.
    std::uint64_t executed = 0;
    std::uint64_t started_transactions = 0;
    std::uint64_t committed_transactions = 0;
    /// Rolled back on request.
    std::uint64_t rolled_back_transactions = 0;
    /// Ended by a closed connection, a newer term, a timeout or a statement.
    std::uint64_t aborted_transactions = 0;
    /// Changes that were read but neither run nor answered (refuse_commit).
    std::uint64_t withheld_commits = 0;
};

/// Runs batches and transactions of callers on the store. One transaction per connection; a single
/// transaction is open at a time and other changes wait for it.
class statement_service {
public:
    /// All references must outlive the service.
    statement_service(event_loop& loop, const database_settings& settings, const term_rules& rules,
                      sql_store& store);

    /// Sends the body of a successful answer.
    std::function<void(const database_call&, nlohmann::json)> answer;
    /// Sends an error.
    std::function<void(const database_call&, const error&)> refuse;
    /// Called after an entry was appended to the log.
    std::function<void()> on_log_changed;

    /// The calls /v1/execute, /v1/begin, /v1/commit and /v1/rollback. Errors: as of term_rules, sql_engine
    /// and object_reader; transaction_unknown, transaction_closed; no_free_slot when a transaction of another
    /// connection stayed open for too long.
    void execute(const database_call& received);
    void begin(const database_call& received);
    void commit(const database_call& received);
    void roll_back(const database_call& received);

    /// Rolls back the transaction of a connection that has gone.
    void connection_closed(http2::connection_id connection);
    /// Rolls back the open transaction because the term has changed.
    void abort_open();
    /// While set, changes outside transactions and commits are read but neither run nor answered.
    void set_refuse_commit(bool refused) { refuse_commit_ = refused; }
    void set_service_time(duration service_time) { slots_.set_service_time(service_time); }

    [[nodiscard]] const slot_queue& slots() const { return slots_; }
    [[nodiscard]] const statement_counters& counters() const { return counters_; }

private:
    /// The open transaction; the number tells it from an earlier one of the same connection.
    struct open_transaction {
        http2::connection_id connection = 0;
        std::uint64_t number = 0;
        timer idle;
    };

    [[nodiscard]] bool may_execute(const execute_request& request, error& reason) const;
    void execute_alone(const database_call& received, const execute_request& request);
    void execute_in_transaction(const database_call& received, const execute_request& request);
    void run_alone(const database_call& received, const execute_request& request);
    void run_in_transaction(const database_call& received, const execute_request& request,
                            std::uint64_t number);
    void begin_granted(const database_call& received, term_number term);
    [[nodiscard]] bool check_open(http2::connection_id connection, error& reason) const;
    [[nodiscard]] bool is_open(http2::connection_id connection) const;
    void restart_idle_limit();
    void abort();
    void close_transaction();
    void answer_results(const database_call& received, const sql_store::results& results);
    [[nodiscard]] static error lock_not_granted();

    event_loop& loop_;
    duration idle_limit_;
    const term_rules& rules_;
    sql_store& store_;
    slot_queue slots_;
    write_lock lock_;
    bool refuse_commit_ = false;
    std::optional<open_transaction> open_;
    std::uint64_t next_number_ = 1;
    /// Connections whose transaction was aborted and not yet rolled back by the caller.
    std::set<http2::connection_id> aborted_;
    /// Connections that wait for their transaction to begin.
    std::set<http2::connection_id> beginning_;
    statement_counters counters_;
};

} // namespace gentianhill::standins
