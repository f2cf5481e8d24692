#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/ownership/statement_forwarder.h"
#include "gentianhill/proxy/database_group.h"
#include "gentianhill/proxy/statement_task.h"
#include "gentianhill/quota/quota_port.h"
#include "gentianhill/routing/route_table.h"
#include "gentianhill/session/session_state.h"
#include "gentianhill/session/statement.h"
#include "gentianhill/teams/caller_check.h"
#include "gentianhill/teams/key_digest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Lookups and limits that the proxy provides to its sessions.
struct session_environment {
    /// Returns the route of a database, or null when there is none.
    std::function<std::shared_ptr<const route>(const std::string& database)> find_route;
    /// Checks whether a caller with a key, or without one, may run a statement on a route that it sent at
    /// `received_at` or before.
    std::function<caller_check(const route& used, const std::optional<key_digest>& key,
                               time_point received_at)>
        check_caller;
    /// Admits the operations of teams that have a limit.
    quota_port quota;
    /// Returns a route's database group, or null when the group is unknown.
    std::function<database_group*(const std::string& group)> find_group;
    /// Idle time after which a transaction is rolled back; zero disables the limit.
    std::function<duration()> transaction_idle_limit;
    /// Returns false once a daemon that stops runs no further statements.
    std::function<bool()> accepts_statements;
    /// True if a command is short enough to be sent to an instance.
    std::function<bool(const instance_command& command)> fits;
    std::function<time_point()> now;
    /// Version of the configuration in effect.
    std::function<std::uint64_t()> configuration_version;
    /// Hands statements on to the owners of their groups; null when this daemon runs all of its own.
    statement_forwarder* forwarder = nullptr;
    /// True if statements of a group are handed on at present.
    std::function<bool(const std::string& group)> hands_on;
    /// False for a session of another daemon, which counts its statements itself.
    bool counts_statements = true;
};

/// State of a session at another daemon that has handed a statement on.
struct session_snapshot {
    std::optional<log_position> position;
    time_point fresh_after;
    /// Transaction of the statement, if any.
    bool in_transaction = false;
    bool reads_only = false;
    std::string begin_id;
    time_point begun_at;
    std::shared_ptr<const route> selected_route;
};

/// One client's session. Holds its session values, prepared statements and transaction, and runs its
/// statements in order. Statements that need no instance are answered locally.
class client_session {
public:
    /// `environment`, `log` and `counters` must outlive the session.
    client_session(std::string database, std::optional<key_digest> key,
                   const session_environment& environment, logger& log, proxy_counters& counters);
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    /// Called with the result of the oldest unanswered statement.
    std::function<void(const statement_result& result)> on_answer;

    /// Asked before a value or a prepared statement is kept, with the bytes that it takes; if false, the
    /// statement is refused. May be empty.
    std::function<bool(std::size_t bytes)> may_keep;
    /// Asked before a queued statement runs; if false, it waits until resume(). May be empty.
    std::function<bool()> may_run;

    /// Queues a statement; statements run one at a time, in order.
    void submit(statement next) { submit(std::move(next), environment_.now()); }
    /// Queues a statement that another daemon received at that time.
    void submit(statement next, time_point received_at);
    /// Takes over the session of another daemon, before the first statement.
    void adopt(const session_snapshot& snapshot);
    /// Takes over the values of the session of another daemon, and the statement that it has prepared under a
    /// name; null keeps either.
    void adopt_values(const session_state::value_map* values, const std::string& name,
                      const prepared_statement* prepared);
    /// Runs queued statements that had to wait for may_run.
    void resume() { run_next(); }
    /// Ends a transaction that exceeds the idle limit, and a statement that exceeds its timeout.
    void tick();
    /// Rolls back the open transaction and releases its connection, unless a statement is running. The next
    /// statement of the client is answered as aborted.
    void end_transaction();
    /// Answers the running statement without waiting for its result.
    void give_up(std::string_view detail);
    /// True when no statement is running or queued and no transaction is open.
    [[nodiscard]] bool is_idle() const { return !busy_ && queue_.empty() && !transaction_; }
    /// False once no team holds the caller's key any more.
    [[nodiscard]] bool may_stay() const;
    /// True while a statement is running or queued.
    [[nodiscard]] bool has_unanswered() const { return busy_ || !queue_.empty(); }
    /// Number of statements that are running or queued.
    [[nodiscard]] std::size_t unanswered() const { return queue_.size() + (busy_ ? 1 : 0); }
    /// Size of the texts of these statements, in bytes.
    [[nodiscard]] std::size_t statement_bytes() const { return queued_bytes_ + (busy_ ? current_bytes_ : 0); }
    /// Memory that values and prepared statements take, in bytes.
    [[nodiscard]] std::size_t state_bytes() const { return values_.bytes(); }

private:
    struct open_transaction {
        bool reads_only = false;
        /// Ended by an error; only a commit or rollback by the client closes it.
        bool failed = false;
        /// Rolled back between two statements of the client, which the next answer reports.
        bool rollback_unreported = false;
        /// A write succeeded, so a lost commit has an unknown outcome.
        bool wrote = false;
        /// Identifier of the client's BEGIN statement.
        std::string begin_id;
        time_point begun_at;
        time_point last_activity;
        std::shared_ptr<const route> selected_route;
        /// Instance connection the transaction is pinned to; null before its first statement and after a
        /// failure.
        pooled_connection* connection = nullptr;
        database_group* group = nullptr;
        /// Transaction at the owner of the group, when it was opened there.
        std::optional<remote_transaction> remote;
        /// Version of the configuration that `selected_route` is from.
        std::uint64_t configuration_version = 0;
    };
    struct queued_statement {
        statement client_statement;
        time_point received_at;
    };

    void run_next();
    void run(const statement& next);
    /// Refuses a statement that must not run because the daemon stops; false if it may run.
    [[nodiscard]] bool refuse_while_stopping(const statement& next);
    /// Refuses a statement that the caller's key does not allow; false if it may run.
    [[nodiscard]] bool refuse_caller(const statement& next);
    void give_up_pinned(std::string_view detail);
    void give_up_confirming();
    void run_local(const statement& next);
    void run_begin(const statement& next);
    void run_rollback();
    void run_remote(const statement& next);
    /// True if the statement can be sent to an instance under its shared name.
    [[nodiscard]] bool fits_message(const statement& next) const;
    /// Runs a statement that is not pinned to a connection once the quota of the caller's team admits it.
    void run_unpinned(const statement& next);
    void on_admission(bool admitted);
    /// Runs it at the owner of its group, or here.
    void start_unpinned(const statement& next);
    void run_here(const statement& next);
    void run_pinned(const statement& next);
    void send_pinned(const statement& next);
    void on_unpinned_result(statement_result& result, pooled_connection* connection);
    /// Ends the running statement of a session without a transaction, or the transaction's first one. Returns
    /// true if the transaction is open.
    [[nodiscard]] bool apply_unpinned_result(const statement_result& result, bool stays_open);
    /// Hands a statement that is not pinned on to the owner of its group; false if it runs here.
    [[nodiscard]] bool hand_on(const statement& next);
    /// Hands a statement of a transaction on to where the transaction is open.
    void hand_on_pinned(const statement& next);
    [[nodiscard]] hand_on_request make_hand_on_request(const statement& next,
                                                       std::shared_ptr<const route> selected_route) const;
    [[nodiscard]] statement_forwarder::handler
    make_hand_on_handler(void (client_session::*on_outcome)(hand_on_outcome& outcome));
    void on_handed_on(hand_on_outcome& outcome);
    void on_pinned_handed_on(hand_on_outcome& outcome);
    void give_up_handed_on(std::string_view detail);
    void on_pinned_answer(instance_answer& answer);
    void on_pinned_lost();
    void pin(pooled_connection& connection);
    void release_pinned();
    void after_commit(const statement_result& result, bool wrote);
    /// Answers an acknowledged commit once its instance is confirmed to have been the primary at that time.
    void confirm_commit(statement_result result);
    void on_commit_confirmed(bool confirmed, statement_result result);
    void answer(statement_result result);
    void answer_done();
    void answer_failure(statement_outcome outcome, std::string_view detail);
    [[nodiscard]] transaction_state state() const;
    [[nodiscard]] bool writes(const statement& client_statement) const;
    [[nodiscard]] const prepared_statement* required_statement() const;
    [[nodiscard]] statement_task::request make_request(const statement& next) const;

    std::string database_;
    /// Key that the client has stated; nothing when it has stated none.
    std::optional<key_digest> key_;
    /// Team of the caller as of its last check; null when it has none.
    std::shared_ptr<const team> caller_;
    /// Group of the last statement that used one, for logging.
    std::string group_name_;
    const session_environment& environment_;
    logger& log_;
    proxy_counters& counters_;
    session_state values_;
    std::deque<queued_statement> queue_;
    std::size_t queued_bytes_ = 0;
    /// Size of the running statement, in bytes.
    std::size_t current_bytes_ = 0;
    std::optional<open_transaction> transaction_;
    std::shared_ptr<statement_task> task_;
    /// Request to the quota that is not answered yet; `admissions_` numbers them, so that a late answer to an
    /// earlier one is ignored.
    std::optional<std::uint64_t> awaiting_admission_;
    std::uint64_t admissions_ = 0;
    /// Running statement.
    statement current_;
    time_point received_at_;
    time_point sent_at_;
    std::optional<time_point> retry_at_;
    /// Time at which the instance first refused the statement as busy.
    std::optional<time_point> busy_since_;
    std::uint32_t pinned_attempts_ = 0;
    /// True while an acknowledged commit waits for confirmation. `commits_` identifies the commit, so that a
    /// late confirmation of an earlier one is ignored.
    bool confirming_ = false;
    std::uint64_t commits_ = 0;
    /// True while the running statement is at the owner of its group. `hand_ons_` identifies it, so that a
    /// late answer to an earlier one is ignored.
    bool handed_on_ = false;
    std::uint64_t hand_ons_ = 0;
    duration handed_on_timeout_{0};
    /// Values have changed since the last message about the open transaction.
    bool values_changed_ = false;
    bool busy_ = false;
    bool running_ = false;
    /// Log position of the session's last acknowledged change.
    std::optional<log_position> position_;
    /// Time of the last acknowledged change that came without a log position; reads must be at least as
    /// fresh.
    time_point fresh_after_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
