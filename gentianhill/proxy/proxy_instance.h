#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/proxy/instance_link.h"
#include "gentianhill/proxy/pooled_connection.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/session/session_state.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of the connections to one instance.
struct instance_pool_settings {
    /// Connections that this proxy may hold.
    std::size_t max_connections = 6;
    /// Connections that are being opened at the same time; each takes a slot of the instance for some time.
    std::size_t max_opening = 2;
    /// Statements in flight; the instance queues what exceeds its slots.
    std::size_t max_in_flight = 8;
    /// Time for a connection to be accepted.
    duration open_timeout = std::chrono::milliseconds(400);
    /// First pause after a failed opening; it doubles up to `max_open_pause`.
    duration min_open_pause = std::chrono::milliseconds(60);
    duration max_open_pause = std::chrono::milliseconds(500);
    /// Idle connections beyond `kept_idle` are closed after this time. Few open connections leave room for
    /// daemons that start again while the instance still holds the places of their earlier processes.
    duration idle_limit = std::chrono::milliseconds(2000);
    std::size_t kept_idle = 1;
    /// The control connection is closed after this time without a question.
    duration control_idle_limit = std::chrono::milliseconds(1000);
    /// A connection whose answer is overdue for this time is given up; longer than any route's timeout.
    duration answer_limit = std::chrono::seconds(5);
    /// Silence with unanswered commands after which an instance gets no new work while others can serve it.
    duration suspect_after = std::chrono::milliseconds(350);
};

/// One instance as this proxy sees it: its connections, its load and its health, all from answers to
/// statements.
class proxy_instance {
public:
    /// `network` and `log` must outlive the instance.
    proxy_instance(const listed_instance& listed, instance_network& network, logger& log,
                   const instance_pool_settings& settings, std::function<time_point()> clock);
    ~proxy_instance();
    proxy_instance(const proxy_instance&) = delete;
    proxy_instance& operator=(const proxy_instance&) = delete;

    /// A connection has become free, or another could be opened.
    std::function<void()> on_capacity;
    /// Any answer has arrived.
    std::function<void(proxy_instance&, command_kind, time_point sent_at, const instance_answer&)>
        on_answered;
    /// A connection could not be opened, or has ended.
    std::function<void(proxy_instance&, disconnect_reason)> on_failure;
    /// A connection was opened; for counting.
    std::function<void()> on_opening;

    /// What the list says.
    [[nodiscard]] const listed_instance& listed() const { return listed_; }
    /// Takes over a changed entry; another address or start time ends all connections.
    void update(const listed_instance& listed);
    /// Changes the limits.
    void set_limits(const instance_pool_settings& settings) { settings_ = settings; }
    [[nodiscard]] const instance_pool_settings& limits() const { return settings_; }

    /// An idle connection for the session, taken into use; null when there is none or too much is in flight.
    [[nodiscard]] pooled_connection* take(const session_state& session);
    /// Starts to open a connection when the limits allow one; true when one is being opened.
    bool open_more(std::size_t wanted);
    /// Gives a connection back. One with answers still to come, or not outside a transaction, is ended.
    void give_back(pooled_connection& connection);
    /// Ends all connections.
    void close_all();
    /// Ends a connection.
    void drop(pooled_connection& connection, disconnect_reason end);
    /// Connection for a series of orders of the proxy's own, which statements do not use meanwhile; null
    /// while it is being opened. An idle connection becomes it, since an instance may take no further one.
    [[nodiscard]] pooled_connection* control();
    /// Connection for one question of the proxy's own: an idle one, taken into use until the answer, or else
    /// the control connection. Null while there is none.
    [[nodiscard]] pooled_connection* take_for_question();
    /// Ends the connection of that number, if there is one: its answer is overdue.
    void drop_overdue(std::uint64_t number);
    /// Ends openings that take too long and connections that have been idle for long.
    void tick();

    /// True when new work may be sent, as far as is known.
    [[nodiscard]] bool is_usable() const;
    /// True when an idle connection can be taken at once.
    [[nodiscard]] bool has_idle() const;
    /// Estimate of the time in ms until an answer to a statement sent now.
    [[nodiscard]] double expected_ms() const;
    /// Newest log position stated by the instance.
    [[nodiscard]] const std::optional<log_position>& position() const { return position_; }
    /// Time of the last answer.
    [[nodiscard]] time_point last_answer() const { return last_answer_; }
    /// Statements without an answer.
    [[nodiscard]] std::size_t in_flight() const;
    /// All connections, the control connection included.
    [[nodiscard]] std::size_t connection_count() const { return connections_.size() + (control_ ? 1U : 0U); }
    /// Oldest statement that waits for its answer.
    [[nodiscard]] std::optional<time_point> oldest_unanswered() const;
    /// Oldest write or commit that waits for its answer.
    [[nodiscard]] std::optional<time_point> commit_waiting_since() const;
    /// Keeps the instance from new work for a while, after it has said that it is full.
    void pause_for(duration length) { paused_until_ = now() + length; }
    [[nodiscard]] time_point now() const { return clock_(); }

private:
    friend class pooled_connection;

    std::unique_ptr<pooled_connection> open();
    [[nodiscard]] pooled_connection* find_idle() const;
    void on_opened(pooled_connection& connection, const statement_result& greeting);
    void on_answer(command_kind kind, time_point sent_at, const instance_answer& answer);
    void record_latency(time_point sent_at);
    void close_idle(const std::vector<pooled_connection*>& idle);
    void release(std::unique_ptr<pooled_connection> connection);

    listed_instance listed_;
    instance_network& network_;
    logger& log_;
    instance_pool_settings settings_;
    std::function<time_point()> clock_;
    std::vector<std::unique_ptr<pooled_connection>> connections_;
    std::unique_ptr<pooled_connection> control_;
    /// Ended connections, destroyed once no call is on them any more.
    std::vector<std::unique_ptr<pooled_connection>> ended_;
    std::optional<log_position> position_;
    double latency_ms_;
    time_point last_answer_;
    time_point paused_until_;
    time_point open_after_;
    duration open_pause_;
};

} // namespace gentianhill
