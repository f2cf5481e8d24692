#pragma once

#include "gentianhill/caller/caller_endpoint.h"
#include "gentianhill/daemon/service_context.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gentianhill {

/// What all tasks that serve one request of a caller have in common: the session, the deadline and the one
/// answer.
class request_task {
public:
    request_task(service_context& service, group_runtime& group, std::string team, session_token token,
                 time_point deadline, caller_responder respond);

    request_task(const request_task&) = delete;
    request_task& operator=(const request_task&) = delete;

    virtual ~request_task();

    /// Answers now, because the process is about to exit; nothing is sent for the request from then on.
    virtual void give_up_at_stop(const error& reason) = 0;

protected:
    /// Sends the answer; further calls do nothing.
    void finish(const caller_answer& answer);
    /// Answers that the request did not run.
    void refuse(const error& reason) { finish(caller_answer::refused(reason)); }
    /// Answers that the request may have run.
    void leave_unknown(const error& reason);
    /// Raises the session to a confirmed position and puts its token into the answer.
    void add_token(caller_answer& answer, const log_position& confirmed);
    /// Position that the session has seen in the group.
    [[nodiscard]] log_position seen() const { return token_.position_in(group_.name()); }
    [[nodiscard]] duration remaining() const { return deadline_ - event_loop::now(); }
    [[nodiscard]] bool is_late() const { return remaining() <= duration{0}; }
    /// True when the answer was sent, or the group has gone and nothing may be done any more.
    [[nodiscard]] bool is_finished() const { return finished_ || group_alive_.expired(); }
    [[nodiscard]] bool is_group_alive() const { return !group_alive_.expired(); }

    service_context& service_;
    group_runtime& group_;
    std::string team_;
    session_token token_;
    time_point started_;
    time_point deadline_;
    int attempts_ = 0;

private:
    std::weak_ptr<bool> group_alive_;
    std::shared_ptr<std::set<request_task*>> open_tasks_;
    caller_responder respond_;
    bool finished_ = false;
};

} // namespace gentianhill
