#pragma once

#include "gentianhill/admission/connection_pool.h"
#include "gentianhill/admission/fair_queue.h"
#include "gentianhill/backend/backend_connection.h"
#include "gentianhill/consistency/group_configuration.h"
#include "gentianhill/daemon/connection_lease.h"
#include "gentianhill/daemon/daemon_context.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// What a gateway tells the owner about its instance.
struct instance_gateway_hooks {
    /// A report arrived with any answer.
    std::function<void(const instance_report&)> on_report;
    /// A request was sent to the instance.
    std::function<void()> on_sent;
    /// It answered anything.
    std::function<void()> on_answer;
    /// A connection was refused.
    std::function<void()> on_refused;
    /// A request got no answer.
    std::function<void()> on_no_answer;
};

/// All traffic of this daemon with one instance: a fair queue in front of a bounded pool of statement
/// connections, and one control connection.
class instance_gateway {
public:
    using ready_handler = std::function<void(std::shared_ptr<connection_lease>)>;
    using refused_handler = std::function<void(const error&)>;

    instance_gateway(daemon_context& context, const instance_configuration& configuration,
                     instance_gateway_hooks hooks);
    ~instance_gateway();
    instance_gateway(const instance_gateway&) = delete;
    instance_gateway& operator=(const instance_gateway&) = delete;

    /// Queues a request for a connection. Exactly one handler is called, from the loop, unless the gateway
    /// goes. Errors: unknown_team, queue_full, deadline_exceeded, leaving.
    void submit(const std::string& team, time_point deadline, ready_handler on_ready,
                refused_handler on_refused);
    /// Refuses all requests that wait, such as writes after a change of primary.
    void refuse_waiting(const error& reason);
    /// Sends a control call, such as status or fence, past the queue. The handler is called once.
    void control(std::string_view path, nlohmann::json body, duration timeout,
                 backend_connection::answer_handler on_answer);

    /// Adds a team or changes its weight.
    void set_team(const std::string& team, double weight) { queue_.set_team(team, weight); }
    /// Takes over a changed number of entry hosts; connections above the new part are closed when idle.
    void apply_settings();
    /// Stops new work, or resumes it.
    void set_leaving(bool leaving);
    /// Closes idle connections, expires requests, opens connections; to be called every few milliseconds.
    void tick(time_point now);

    [[nodiscard]] const instance_configuration& configuration() const { return configuration_; }
    /// Requests in flight and queued, divided by the slots of the instance.
    [[nodiscard]] double load() const;
    /// True while the instance answers.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    [[nodiscard]] bool is_leaving() const { return pool_.is_draining(); }
    [[nodiscard]] std::vector<team_queue_stats> shares() const { return queue_.team_stats(); }
    [[nodiscard]] connection_counts counts(time_point now) { return pool_.counts(now); }
    /// Requests that wait for a connection.
    [[nodiscard]] std::size_t queued() const { return waiting_.size(); }
    /// Bytes of control calls.
    [[nodiscard]] std::uint64_t control_bytes() const;

private:
    friend class connection_lease;
    struct waiting_request {
        ready_handler on_ready;
        refused_handler on_refused;
    };

    void schedule_pump();
    void pump();
    void serve_waiting(time_point now);
    void open(connection_pool::connection_id id);
    void on_opened(connection_pool::connection_id id, const std::optional<database_answer>& answer,
                   const backend_failure& failure);
    void give_back(connection_pool::connection_id id, bool usable);
    void drop(connection_pool::connection_id id);
    void refuse(fair_queue::entry_id id, const error& reason);
    void refuse_expired(const std::vector<fair_queue::entry_id>& expired);
    void note_answer(const std::optional<database_answer>& answer, const backend_failure& failure);
    void ensure_control_connection();

    daemon_context& context_;
    instance_configuration configuration_;
    instance_gateway_hooks hooks_;
    connection_pool pool_;
    fair_queue queue_;
    std::map<fair_queue::entry_id, waiting_request> waiting_;
    std::map<connection_pool::connection_id, std::shared_ptr<backend_connection>> connections_;
    std::shared_ptr<backend_connection> control_;
    time_point control_not_before_;
    std::uint64_t closed_control_bytes_ = 0;
    std::size_t in_flight_ = 0;
    bool reachable_ = false;
    bool pumping_ = false;
    bool pump_again_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
