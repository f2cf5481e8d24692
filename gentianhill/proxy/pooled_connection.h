#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/proxy/answer_history.h"
#include "gentianhill/proxy/instance_link.h"
#include "gentianhill/session/connection_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianhill {

class proxy_instance;

/// Pooled connection to an instance. It is either idle or used by exactly one statement or transaction, and
/// returns to the pool only after every answer has arrived.
class pooled_connection {
public:
    using answer_handler = std::function<void(instance_answer& answer)>;

    pooled_connection(proxy_instance& owner, std::uint64_t number, std::string team)
        : owner_(owner), number_(number), team_(std::move(team)) {}

    /// Sends a command; `done` receives the answer and is not called if the connection ends first.
    void send(const instance_command& command, answer_handler done);
    /// Instance that the connection belongs to.
    [[nodiscard]] proxy_instance& owner() const { return owner_; }
    /// Number of the connection, unique within the process.
    [[nodiscard]] std::uint64_t number() const { return number_; }
    /// Team that the instance was told when the connection was opened; empty for the proxy itself.
    [[nodiscard]] const std::string& team() const { return team_; }
    /// True after the instance has accepted the connection, until it ends.
    [[nodiscard]] bool is_open() const { return open_; }
    /// True while a statement or transaction uses it.
    [[nodiscard]] bool is_used() const { return used_; }
    /// True when commands are unanswered.
    [[nodiscard]] bool has_unanswered() const { return !pending_.empty(); }
    /// Transaction state after the last answer.
    [[nodiscard]] transaction_state state() const { return state_; }
    /// True if an error received now could be a copy of the last one, after which it would be unknown whether
    /// the command has run.
    [[nodiscard]] bool may_repeat_error() const;
    /// True while an answer may still come that a refusal has taken the place of. No command may be sent
    /// until then.
    [[nodiscard]] bool is_resting() const;
    /// True if the answer to a statement may still come that a refusal has taken the place of. The next
    /// command must be one that has no signature, as it would then be found to be answered by another
    /// command.
    [[nodiscard]] bool needs_setup() const { return needs_setup_; }
    /// Answers received so far.
    [[nodiscard]] const answer_history& history() const { return history_; }
    /// Time at which the oldest unanswered command was sent.
    [[nodiscard]] std::optional<time_point> waiting_since() const;

    /// Identifies the work of its statements, so that their latencies are compared with their like.
    std::int64_t work_kind = 0;
    /// Session values and prepared statements currently set on the connection.
    connection_state setup;
    /// Called when the connection ends while in use; the connection is destroyed afterwards.
    std::function<void()> on_lost;

private:
    friend class proxy_instance;
    struct pending_command {
        command_kind kind = command_kind::status;
        time_point sent_at;
        bool changes_data = false;
        term_number term = 0;
        /// Connections with unanswered commands when it was sent, with its own.
        std::size_t in_flight = 0;
        answer_handler done;
    };

    /// Handles a refusal that may be a copy, by an instance that is not known to repeat answers. Returns true
    /// if it can be taken at once, as the command is repeated whatever has become of it. Holds it otherwise:
    /// an answer that arrives before release_held_refusal() is the true one.
    [[nodiscard]] bool take_uncertain_refusal(const instance_answer& answer);
    [[nodiscard]] bool holds_refusal() const { return held_refusal_.has_value(); }
    /// Takes the held refusal if the time for a true answer has passed.
    void release_held_refusal();
    /// Passes the answer to the oldest unanswered command on.
    void take(instance_answer& answer);
    /// Takes an answer; returns whether it answers the oldest unanswered command.
    bool receive(instance_answer& answer);

    proxy_instance& owner_;
    std::uint64_t number_;
    std::string team_;
    std::unique_ptr<instance_link> link_;
    std::deque<pending_command> pending_;
    answer_history history_;
    transaction_state state_ = transaction_state::idle;
    time_point opened_at_;
    time_point last_used_;
    /// Time at which its present user has taken it.
    std::optional<time_point> taken_at_;
    time_point rests_until_;
    bool needs_setup_ = false;
    std::optional<instance_answer> held_refusal_;
    bool open_ = false;
    bool used_ = false;
};

} // namespace gentianhill
