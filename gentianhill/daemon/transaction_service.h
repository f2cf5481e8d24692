#pragma once

#include "gentianhill/backend/idempotency.h"
#include "gentianhill/caller/caller_endpoint.h"
#include "gentianhill/daemon/service_context.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// Open transactions of callers. Each is bound to the caller's connection and to one pinned connection of the
/// primary under one term; when either goes, the database rolls back.
class transaction_service {
public:
    /// Finds out what became of a keyed commit whose answer was lost.
    using outcome_resolver =
        std::function<void(group_runtime&, const outcome_request&, const caller_responder&)>;

    transaction_service(service_context& service, outcome_resolver resolve);
    transaction_service(const transaction_service&) = delete;
    transaction_service& operator=(const transaction_service&) = delete;

    /// Begins a transaction for the caller's connection.
    void begin(http2::connection_id caller, const transaction_request& request, group_runtime& group,
               const session_token& token, const caller_responder& respond);
    /// Runs a statement in a transaction.
    void run(http2::connection_id caller, const statement_request& request, const caller_responder& respond);
    /// Commits; answered only when the commit is confirmed.
    void commit(http2::connection_id caller, const transaction_request& request,
                const caller_responder& respond);
    /// Rolls back.
    void roll_back(http2::connection_id caller, const transaction_request& request,
                   const caller_responder& respond);
    /// Rolls back all transactions of a caller's connection that has gone.
    void on_caller_closed(http2::connection_id caller);
    /// Rolls back transactions that were idle for too long; they hold scarce connections.
    void tick(time_point now);
    /// Begins no transaction any more, rolls back those that are idle, and the others after the request that
    /// is in flight.
    void end_all();
    /// Answers the requests in flight, because the process is about to exit.
    void give_up_at_stop(const error& reason);
    /// Transactions that are open or about to begin, and those whose last request is not answered.
    [[nodiscard]] std::size_t open_count() const;

private:
    struct transaction {
        std::string id;
        http2::connection_id caller = 0;
        group_runtime* group = nullptr;
        std::shared_ptr<connection_lease> lease;
        term_number term = 0;
        std::string team;
        session_token token;
        /// Statements that ran, for the digest of the key.
        std::vector<sql_statement> statements;
        bool busy = false;
        /// True from the moment at which a commit is sent.
        bool may_be_committed = false;
        /// True from the moment at which a rollback is sent.
        bool is_rolling_back = false;
        /// True when the begin was answered with an error before it was sent.
        bool is_abandoned = false;
        time_point used_at;
    };
    using transaction_ptr = std::shared_ptr<transaction>;
    struct open_request {
        transaction_ptr target;
        caller_responder respond;
    };

    [[nodiscard]] transaction_ptr find(http2::connection_id caller, const std::string& id, error& reason);
    [[nodiscard]] bool is_open(const transaction_ptr& target) const { return open_.contains(target->id); }
    void close(const transaction_ptr& target);
    /// Returns a responder that counts the request as open until it is answered.
    [[nodiscard]] caller_responder track(const transaction_ptr& target, const caller_responder& respond);
    void begin_on(const transaction_ptr& created, duration timeout, const caller_responder& respond);
    void on_statement_answer(const transaction_ptr& target, const sql_statement& statement,
                             const std::optional<database_answer>& answer, const backend_failure& failure,
                             time_point deadline, const caller_responder& respond);
    void record_key(const transaction_ptr& target, const transaction_request& request, time_point deadline,
                    const caller_responder& respond);
    void send_commit(const transaction_ptr& target, const transaction_request& request, time_point deadline,
                     const caller_responder& respond);
    void on_commit_answer(const transaction_ptr& target, const transaction_request& request,
                          time_point deadline, const std::optional<database_answer>& answer,
                          const backend_failure& failure, const caller_responder& respond);
    void resolve(const transaction_ptr& target, const transaction_request& request, time_point deadline,
                 const caller_responder& respond);
    void refuse(const caller_responder& respond, const transaction_ptr& target, const error& reason);

    service_context& service_;
    outcome_resolver resolve_;
    std::map<std::string, transaction_ptr> open_;
    std::map<std::uint64_t, open_request> requests_;
    std::uint64_t next_request_ = 1;
    bool is_ending_ = false;
};

} // namespace gentianhill
