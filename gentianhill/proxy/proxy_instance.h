#pragma once

#include "gentianhill/admission/concurrency_limit.h"
#include "gentianhill/admission/error_avoidance.h"
#include "gentianhill/admission/service_estimate.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/freshness/lag_avoidance.h"
#include "gentianhill/proxy/instance_link.h"
#include "gentianhill/proxy/pooled_connection.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/session/session_state.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Limits and timeouts of the connections to one instance.
struct instance_pool_settings {
    /// Maximum number of pooled connections of this proxy.
    std::size_t max_connections = 6;
    /// Connections opened concurrently; opening one occupies a slot of the instance for some time.
    std::size_t max_opening = 2;
    /// Statements in flight; the instance queues those that exceed its slots.
    std::size_t max_in_flight = 8;
    /// Time after which an unaccepted connection attempt is given up.
    duration open_timeout = std::chrono::milliseconds(400);
    /// First delay after a failed opening; doubles with each failure, up to `max_open_backoff`.
    duration min_open_backoff = std::chrono::milliseconds(60);
    duration max_open_backoff = std::chrono::milliseconds(500);
    /// Idle connections are closed after this time as long as more than `min_idle` connections remain.
    /// Daemons that restart need free connections while the instance still counts those of their previous
    /// processes.
    duration idle_timeout = std::chrono::milliseconds(2000);
    std::size_t min_idle = 1;
    /// The control connection is closed after this time without use.
    duration control_idle_timeout = std::chrono::milliseconds(1000);
    /// A connection with a command unanswered for this time is closed. Longer than any route's timeout.
    duration answer_timeout = std::chrono::seconds(5);
    /// An instance that has unanswered commands and has answered nothing for this time receives no new
    /// statements.
    duration suspect_after = std::chrono::milliseconds(350);
};

/// One instance: its connection pool, and its load and health as derived from its answers.
class proxy_instance {
public:
    /// `network` and `log` must outlive the instance.
    proxy_instance(const listed_instance& listed, instance_network& network, logger& log,
                   const instance_pool_settings& settings, std::function<time_point()> clock);
    ~proxy_instance();
    proxy_instance(const proxy_instance&) = delete;
    proxy_instance& operator=(const proxy_instance&) = delete;

    /// Called when a connection has become free or another may be opened.
    std::function<void()> on_capacity;
    /// Called for every answer.
    std::function<void(proxy_instance&, command_kind, time_point sent_at, const instance_answer&)>
        on_answered;
    /// Called when a connection could not be opened or has failed.
    std::function<void(proxy_instance&, disconnect_reason)> on_failure;
    /// Called when the instance is found to send answers twice, so that what was learned from its answers is
    /// uncertain.
    std::function<void(proxy_instance&)> on_repeated_answers;
    /// Called for every answer that does not answer a command, for metrics.
    std::function<void(answer_verdict)> on_unexpected;
    /// Called for every connection attempt, for metrics.
    std::function<void()> on_connection_attempt;

    /// Entry of the instance in the metadata store.
    [[nodiscard]] const listed_instance& listed() const { return listed_; }
    /// Applies a changed entry; closes all connections if the address or start time has changed.
    void update(const listed_instance& listed);
    /// Changes the limits.
    void set_limits(const instance_pool_settings& settings);
    [[nodiscard]] const instance_pool_settings& limits() const { return settings_; }

    /// Takes an idle connection, preferring one that already has the session's values, and one on which no
    /// error could be repeated; null when the team has none or the limit of statements in flight is reached.
    [[nodiscard]] pooled_connection* take(const session_state& session, std::string_view team);
    /// Opens connections for a team until `wanted` are being opened for it, within the limits; true when any
    /// is being opened. Closes an idle connection of another team where the limit leaves no room.
    bool open_more(std::size_t wanted, std::string_view team);
    /// Returns a connection to the pool. Closes it instead if it has unanswered commands or an open
    /// transaction.
    void return_to_pool(pooled_connection& connection);
    /// Closes all connections.
    void close_all();
    /// Closes a connection and notifies its user.
    void drop(pooled_connection& connection, disconnect_reason reason);
    /// Connection reserved for commands issued by the proxy; null while it is being opened. Takes an idle
    /// connection out of the pool if there is one, since the instance may have reached its connection limit.
    [[nodiscard]] pooled_connection* control_connection();
    /// Control connection for a fence. If the instance sends answers twice, the connection is one without
    /// earlier status rows.
    [[nodiscard]] pooled_connection* fence_connection();
    /// Connection for one status call: the control connection if it is open, or else an idle one, marked as
    /// used until the answer. If the instance sends answers twice, the connection is one without earlier
    /// status rows. Null while there is none.
    [[nodiscard]] pooled_connection* take_for_status_call();
    /// Closes the connection with that number, if it still exists, because its answer is overdue.
    void drop_overdue(std::uint64_t number);
    /// Closes connections that time out while opening, have an overdue answer, or have been idle for too
    /// long.
    void tick();

    /// True when the instance is believed able to run new statements.
    [[nodiscard]] bool is_usable() const;
    /// True if this run of the instance has sent an answer twice or without a command.
    [[nodiscard]] bool repeats_answers() const { return repeats_answers_; }
    /// True when an idle connection of the team is available.
    [[nodiscard]] bool has_idle(std::string_view team) const;
    /// Estimated response time of a statement sent now, in ms.
    [[nodiscard]] double expected_ms() const;
    /// Highest log position reported by the instance.
    [[nodiscard]] const std::optional<log_position>& position() const { return position_; }
    /// Time at which this run of the instance became known to this daemon.
    [[nodiscard]] time_point listed_since() const { return listed_since_; }
    /// Time of the last answer.
    [[nodiscard]] time_point last_answer() const { return last_answer_; }
    /// Number of the control connection while it is open. A restart of the instance ends the connection.
    [[nodiscard]] std::optional<std::uint64_t> control_number() const;
    /// Number of connections with unanswered commands.
    [[nodiscard]] std::size_t in_flight() const;
    /// Number of connections, including the control connection.
    [[nodiscard]] std::size_t connection_count() const {
        return connections_.size() + (control_ ? 1U : 0U) + (single_use_ ? 1U : 0U);
    }
    /// Time at which the oldest unanswered command was sent.
    [[nodiscard]] std::optional<time_point> oldest_unanswered() const;
    /// Time at which the oldest unanswered write or commit was sent.
    [[nodiscard]] std::optional<time_point> commit_waiting_since() const;
    /// True if another statement may be sent without exceeding the learned limit.
    [[nodiscard]] bool has_room() const { return in_flight() < limit_.limit(); }
    /// Statements that may be in flight, as learned from the answers.
    [[nodiscard]] std::size_t in_flight_limit() const { return limit_.limit(); }
    /// True if no connection is free and none may be opened.
    [[nodiscard]] bool is_out_of_connections() const;
    /// Connections of this daemon that become free for the next statement, per second.
    [[nodiscard]] double service_rate() const;
    /// Expected time from sending a statement to its answer.
    [[nodiscard]] duration expected_service() const;
    /// The same for a statement that takes longer than most.
    [[nodiscard]] duration slow_service() const;
    /// Whether the log of the instance is expected to be too short for a read.
    [[nodiscard]] lag_avoidance& lag() { return lag_; }
    [[nodiscard]] const lag_avoidance& lag() const { return lag_; }
    /// Whether the instance is avoided because it fails statements of this daemon.
    [[nodiscard]] error_avoidance& errors() { return errors_; }
    [[nodiscard]] const error_avoidance& errors() const { return errors_; }
    /// Marks the instance as unusable for a while, after it has answered busy.
    void pause_for(duration length) { paused_until_ = now() + length; }
    [[nodiscard]] time_point now() const { return clock_(); }

private:
    friend class pooled_connection;

    std::unique_ptr<pooled_connection> open(std::string_view team);
    /// Closes the idle connection of another team that was unused for the longest time; false when there is
    /// none.
    bool close_idle_of_other_team(std::string_view team);
    /// Idle connection on which a status call may be sent.
    [[nodiscard]] pooled_connection* find_idle() const;
    /// Idle connection on which no status row was received.
    [[nodiscard]] pooled_connection* find_idle_without_status() const;
    /// Connection outside of the pool for one status call; null while it is being opened.
    [[nodiscard]] pooled_connection* single_use_connection();
    /// Records that this run of the instance sends answers twice.
    void on_repetition();
    /// Closes the idle connections on which further commands may not be sent.
    void close_not_reusable();
    /// True if further commands may be sent on an idle connection.
    [[nodiscard]] bool is_reusable(const pooled_connection& connection) const;
    /// Handles an answer that does not answer `oldest`, the oldest unanswered command.
    void on_unexpected_answer(pooled_connection& connection, const std::optional<expected_answer>& oldest,
                              answer_verdict verdict, const instance_answer& answer);
    void on_opened(pooled_connection& connection, const statement_result& startup_result);
    void on_answer(command_kind kind, time_point sent_at, const instance_answer& answer);
    /// Learns from an answer what the instance bears and whether it fails.
    void learn(const pooled_connection& connection, const pooled_connection::pending_command& answered,
               const instance_answer& answer);
    void record_error(bool failed);
    void record_release(pooled_connection& connection);
    void record_latency(time_point sent_at);
    /// Passes on the refusals that were held for long enough.
    void release_held_refusals();
    void close_idle(const std::vector<pooled_connection*>& idle);
    void release(std::unique_ptr<pooled_connection> connection);

    listed_instance listed_;
    instance_network& network_;
    logger& log_;
    instance_pool_settings settings_;
    std::function<time_point()> clock_;
    std::vector<std::unique_ptr<pooled_connection>> connections_;
    std::unique_ptr<pooled_connection> control_;
    std::unique_ptr<pooled_connection> single_use_;
    /// Closed connections, destroyed by the next tick, when none of their callbacks is on the stack.
    std::vector<std::unique_ptr<pooled_connection>> ended_;
    std::optional<log_position> position_;
    double latency_ms_;
    /// Moving average of the deviation from `latency_ms_`.
    double latency_deviation_ms_ = 0;
    concurrency_limit limit_;
    service_estimate estimate_;
    error_avoidance errors_;
    lag_avoidance lag_;
    time_point listed_since_;
    time_point last_answer_;
    time_point paused_until_;
    time_point next_open_at_;
    duration open_backoff_;
    bool repeats_answers_ = false;
};

} // namespace gentianhill
