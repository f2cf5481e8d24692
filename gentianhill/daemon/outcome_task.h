#pragma once

#include "gentianhill/daemon/primary_task.h"

namespace gentianhill {

/// Answers what became of a keyed request. A key that is absent is first recorded as cancelled and confirmed,
/// so that a request still on its way is refused and "not run" stays true.
class outcome_task : public primary_task {
public:
    outcome_task(service_context& service, group_runtime& group, const outcome_request& request,
                 caller_responder respond);

protected:
    [[nodiscard]] std::vector<sql_statement> batch() const override;
    [[nodiscard]] request_class kind() const override { return request_class::keyed_write; }
    void on_confirmed(const database_answer& answer) override;
    void on_duplicate(const error& reason) override;
    /// That the query did not run says nothing about the request that it asks for.
    void give_up(const error& reason) override { leave_unknown(reason); }

private:
    std::string key_;
};

} // namespace gentianhill
