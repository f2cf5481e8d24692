#pragma once

#include "gentianhill/backend/idempotency.h"
#include "gentianhill/daemon/request_task.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// A request that runs one atomic batch on the primary and waits until it is confirmed. The batch may be sent
/// again only when the derived class says that a repetition is harmless.
class primary_task : public request_task, public std::enable_shared_from_this<primary_task> {
public:
    primary_task(service_context& service, group_runtime& group, std::string team, session_token token,
                 time_point deadline, caller_responder respond);
    ~primary_task() override;

    /// Begins; the task keeps itself alive until it has answered.
    void start() { attempt(); }
    void give_up_at_stop(const error& reason) final;

protected:
    using batch_handler = std::function<void(const database_answer&)>;

    /// Batch to run.
    [[nodiscard]] virtual std::vector<sql_statement> batch() const = 0;
    /// Class of the request, for the retry policy.
    [[nodiscard]] virtual request_class kind() const = 0;
    /// The batch ran and is confirmed.
    virtual void on_confirmed(const database_answer& answer) = 0;
    /// The instance refused the batch with duplicate_key.
    virtual void on_duplicate(const error& reason) = 0;

    void attempt();
    /// Reads the record of a key at the primary and holds it until it is confirmed; `on_record` gets nothing
    /// when the key is absent.
    void look_up(const std::string& key,
                 std::function<void(const std::optional<key_record>&, const database_answer&)> on_record);
    /// Answers with the recorded outcome of an earlier request with the same key.
    void answer_repeated(const key_record& record, const database_answer& answer);
    /// Answers a request that did not finish before its deadline.
    virtual void give_up(const error& reason);

private:
    void wait_for_primary();
    void wait_for_newer_term();
    void pause_then_attempt();
    void send(const std::shared_ptr<connection_lease>& lease);
    void on_answer(std::uint64_t attempt_number, const std::optional<database_answer>& answer,
                   const backend_failure& failure);
    void on_executed(const database_answer& answer);
    void on_failure(const backend_failure& failure);
    void on_primary_changed();
    void stop_observing();

    /// True once a batch was sent whose fate is not known.
    bool may_have_run_ = false;
    /// Number of the attempt whose answer is awaited; 0 when none is.
    std::uint64_t awaited_ = 0;
    std::uint64_t next_attempt_ = 1;
    term_number sent_term_ = 0;
    std::uint64_t observer_ = 0;
};

} // namespace gentianhill
