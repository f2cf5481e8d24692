#pragma once

#include "gentianhill/daemon/primary_task.h"

#include <optional>

namespace gentianhill {

/// Serves one write outside transactions; with a key it runs at most once.
class write_task : public primary_task {
public:
    write_task(service_context& service, group_runtime& group, const statement_request& request,
               session_token token, caller_responder respond);

protected:
    [[nodiscard]] std::vector<sql_statement> batch() const override;
    [[nodiscard]] request_class kind() const override;
    void on_confirmed(const database_answer& answer) override;
    void on_duplicate(const error& reason) override;

private:
    void answer_from_record(const std::optional<key_record>& record, const database_answer& answer,
                            const error& duplicate);

    statement_request request_;
    std::optional<idempotency_key> key_;
};

} // namespace gentianhill
