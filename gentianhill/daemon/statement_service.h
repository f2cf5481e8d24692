#pragma once

#include "gentianhill/caller/caller_endpoint.h"
#include "gentianhill/daemon/service_context.h"
#include "gentianhill/daemon/transaction_service.h"

#include <optional>
#include <string>

namespace gentianhill {

/// Takes the checked requests of callers, looks up group, team and session, and starts the task that serves
/// each.
class statement_service {
public:
    explicit statement_service(service_context& service);
    statement_service(const statement_service&) = delete;
    statement_service& operator=(const statement_service&) = delete;

    /// Handlers for the endpoint of callers.
    [[nodiscard]] caller_handlers handlers();
    /// Answers an outcome query; also used by operators.
    void query_outcome(const outcome_request& request, const caller_responder& respond);
    /// Takes no new transactions; everything else goes on until the endpoint has been shut down.
    void set_draining(bool draining) { draining_ = draining; }
    /// Refuses new requests as not run from now on, and ends the transactions.
    void begin_refusing();
    /// Answers all requests in flight, because the process is about to exit.
    void give_up_at_stop();
    void tick(time_point now) { transactions_.tick(now); }
    [[nodiscard]] std::size_t open_transactions() const { return transactions_.open_count(); }

private:
    [[nodiscard]] error stopping() const;
    void on_statement(http2::connection_id caller, const statement_request& request,
                      const caller_responder& respond);
    void on_transaction(http2::connection_id caller, transaction_operation step,
                        const transaction_request& request, const caller_responder& respond);
    [[nodiscard]] group_runtime* find_group(const std::string& group, const std::string& team,
                                            error& reason) const;
    [[nodiscard]] std::optional<session_token> read_token(const std::optional<std::string>& text,
                                                          const std::string& group, error& reason) const;
    [[nodiscard]] bool check_key_age(const std::string& key, std::int64_t issued_at, error& reason) const;
    void resolve_outcome(group_runtime& group, const outcome_request& request,
                         const caller_responder& respond);

    service_context& service_;
    transaction_service transactions_;
    bool draining_ = false;
    bool refusing_ = false;
};

} // namespace gentianhill
