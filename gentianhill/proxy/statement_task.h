#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/proxy/placement.h"
#include "gentianhill/proxy/pooled_connection.h"
#include "gentianhill/routing/route_table.h"
#include "gentianhill/session/session_state.h"
#include "gentianhill/session/statement.h"
#include "gentianhill/teams/caller_check.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

class database_group;

/// Runs one statement that is not pinned to a connection: a statement outside a transaction, or the first one
/// of a transaction. Selects the instance, sets up the connection, and retries an attempt that had no effect
/// or only reads. Produces exactly one result.
class statement_task : public std::enable_shared_from_this<statement_task> {
public:
    /// `connection` is set if a transaction is now open on it; the handler then becomes its user.
    using result_handler = std::function<void(statement_result& result, pooled_connection* connection)>;

    /// Parameters of a task; `session` must outlive the task.
    struct request {
        statement client_statement;
        std::shared_ptr<const route> selected_route;
        const session_state* session = nullptr;
        access_kind access = access_kind::read;
        /// Identifier of the client's BEGIN statement, for a transaction.
        std::string begin_id;
        /// True when the statement writes.
        bool writes = false;
        /// Arrival time of the statement, or of the BEGIN of its transaction.
        time_point begun_at;
        /// Arrival time of the statement.
        time_point received_at;
        /// Log position of the session's last commit.
        std::optional<log_position> session_position;
        /// A read must be at least as fresh as this time, regardless of the route.
        time_point fresh_after;
        /// Team of the caller; empty for a caller without one.
        std::string team;
        /// Checks whether the caller's key allows the statement, right before it is sent; empty when callers
        /// need no key.
        std::function<caller_verdict()> check_caller;
        /// True if a command is short enough to be sent.
        std::function<bool(const instance_command& command)> fits;
    };

    statement_task(database_group& group, request parameters, result_handler done);

    /// Starts the task: places it or queues it in the group.
    void start();
    /// Tries to place a waiting task; false when it still waits.
    bool try_place();
    /// Applies the timeout and the wait limit, and starts a second read if the first is slow.
    void tick(time_point now);
    /// Ends the task without a result, because its client has disconnected.
    void abandon();
    /// Ends the task with the outcome that is certain without the answers to its running attempts.
    void give_up(std::string_view detail);
    /// Refuses the task because it is known that it can't be served in time.
    void refuse_unservable();
    /// True if the task may be refused as not run, because no attempt is running.
    [[nodiscard]] bool may_be_refused() const { return attempts_.empty(); }
    /// What the task has waited for when it was last tried to be placed.
    [[nodiscard]] placement_wait wait_reason() const { return wait_reason_; }
    /// True if there are instances that the task uses only if no other can serve it.
    [[nodiscard]] bool avoids_instances() const { return !excluded_instances_.empty(); }
    /// Entry of the task in the queue of its group; zero when it was never queued.
    [[nodiscard]] std::uint64_t queue_entry() const { return queue_entry_; }
    void set_queue_entry(std::uint64_t entry) { queue_entry_ = entry; }
    /// Refuses the task if it waits and has no running attempt, because the daemon stops.
    void refuse_waiting();

    /// True once the result has been delivered or the task was abandoned.
    [[nodiscard]] bool is_finished() const { return finished_; }
    /// True while the task waits for a connection.
    [[nodiscard]] bool is_waiting() const { return waiting_ && !finished_; }
    [[nodiscard]] const request& task_request() const { return request_; }
    /// Requirements on the instance and connection.
    [[nodiscard]] placement_query query() const;

private:
    struct attempt {
        pooled_connection* connection = nullptr;
        std::string instance;
        std::optional<log_position> min_position;
        time_point started_at;
        bool statement_sent = false;
    };
    using attempt_pointer = std::shared_ptr<attempt>;

    void run(const placement& placed);
    void set_up(const attempt_pointer& current);
    void begin(const attempt_pointer& current);
    void send_statement(const attempt_pointer& current);
    /// Ends an attempt whose statement may not be sent, and the task unless another attempt runs.
    void refuse_attempt(const attempt_pointer& current, statement_outcome outcome, std::string_view detail);
    /// Ends an attempt whose caller may not use the route any more; false if it may.
    [[nodiscard]] bool refuse_caller(const attempt_pointer& current);
    void on_result(const attempt_pointer& current, instance_answer& answer);
    /// Answers an acknowledged write once its instance is confirmed to have been the primary at that time.
    void confirm(const attempt_pointer& current, statement_result result);
    void on_lost(const attempt_pointer& current);
    /// Ends the attempt and returns its connection, after a rollback if a transaction is open.
    void return_connection(const attempt_pointer& current);
    /// Queues another attempt. With `avoid_instance`, `instance` is avoided if any other instance can serve
    /// the statement.
    void retry(const std::string& instance, statement_outcome outcome, bool avoid_instance);
    void refuse_if_waited_too_long(time_point now);
    void start_second_read(time_point now);
    void finish(statement_result result, pooled_connection* connection);
    void refuse(statement_outcome outcome, std::string_view detail);
    [[nodiscard]] bool is_transaction() const;
    [[nodiscard]] bool may_repeat() const;
    [[nodiscard]] const prepared_statement* required_statement() const;
    void remove_attempt(const attempt_pointer& current);

    database_group& group_;
    request request_;
    result_handler done_;
    std::vector<attempt_pointer> attempts_;
    std::vector<std::string> excluded_instances_;
    placement_wait wait_reason_ = placement_wait::none;
    statement_outcome last_failure_ = statement_outcome::busy;
    time_point waiting_since_;
    std::uint64_t queue_entry_ = 0;
    std::uint32_t started_attempts_ = 0;
    bool waiting_ = false;
    bool confirming_ = false;
    bool finished_ = false;
    /// Keeps the task alive while attempts are running, also after the result, since their answers refer to
    /// it.
    std::shared_ptr<statement_task> self_;
};

} // namespace gentianhill
