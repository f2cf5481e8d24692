#pragma once

#include "gentianhill/daemon/request_task.h"

#include <memory>

namespace gentianhill {

/// Serves one read: chooses an instance, runs the statement there, and holds the answer until everything that
/// it shows is confirmed and young enough.
class read_task : public request_task, public std::enable_shared_from_this<read_task> {
public:
    read_task(service_context& service, group_runtime& group, const statement_request& request,
              session_token token, caller_responder respond);

    /// Begins; the task keeps itself alive until it has answered.
    void start() { attempt(); }
    void give_up_at_stop(const error& reason) override { was_sent_ ? leave_unknown(reason) : refuse(reason); }

private:
    void attempt();
    void wait_for_candidate(const std::string& instance, duration limit);
    void pause_then_attempt(duration pause);
    void run_at(const std::string& instance);
    void send(const std::shared_ptr<connection_lease>& lease);
    void on_answer(const std::string& instance, const database_answer& answer);
    void on_failure(const backend_failure& failure);
    void hold_until_fresh(const std::string& instance, const database_answer& answer);
    [[nodiscard]] bool is_fresh(const database_answer& answer, time_point now) const;
    void complete(const std::string& instance, const database_answer& answer);

    statement_request request_;
    duration waited_{0};
    bool primary_only_ = false;
    bool was_sent_ = false;
};

} // namespace gentianhill
