#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"
#include "gentianhill/routing/route_table.h"
#include "gentianhill/session/session_state.h"
#include "gentianhill/session/statement.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// What the sender of a hand-on message wants of the owner of a group.
enum class hand_on_kind : std::uint8_t {
    /// Run a statement outside a transaction, or the first one of a transaction.
    run,
    /// Run a further statement of a transaction that is open at the owner.
    resume,
    /// Roll back a transaction that is open at the owner.
    end,
    /// Answer at once. Shows that the owner is alive, and to it that the sender is.
    probe,
};

/// Why an owner has not run a statement. In each case it certainly did not run.
enum class hand_on_refusal : std::uint8_t {
    none,
    /// The owner stops.
    draining,
    /// The owner holds as many statements as it may.
    overloaded,
    /// The owner has acted on a newer configuration, in which the route differs.
    old_configuration,
    /// The owner knows no instance of the group.
    unknown_group,
    /// The owner has no such transaction; it is rolled back.
    unknown_transaction,
    /// The message could not be read.
    malformed,
};

/// Returns the name of a refusal for logs and metrics.
[[nodiscard]] std::string_view to_string(hand_on_refusal refusal);

/// Statement that the daemon of the client's session hands on to the owner of its group. Times are sent as
/// ages. The receiver counts them back from its own receipt, so a delay on the way makes a read fresher than
/// it has to be, never staler.
struct hand_on_request {
    hand_on_kind kind = hand_on_kind::probe;
    /// Name of the sender, and the incarnation of its process.
    std::string daemon;
    std::string incarnation;
    /// Identifies the transaction at the owner; 0 unless the kind is resume or end.
    std::uint64_t handle = 0;
    /// Incarnation of the owner's process that gave the handle; empty unless the kind is resume or end. Each
    /// process gives the same handles out again.
    std::string owner_incarnation;

    // A statement, for the kinds run and resume
    statement client_statement;
    /// Statement that an execution names, as the client prepared it.
    std::optional<prepared_statement> prepared;
    /// Values of the session; nothing when they are those of the last message about the transaction.
    std::optional<session_state::value_map> values;
    /// Arrival time of the statement.
    time_point received_at;

    // Its session and route, for the kind run
    /// Name of the team that the session belongs to; empty when the deployment has no teams.
    std::string team;
    /// Version of the configuration that `selected_route` is from.
    std::uint64_t configuration_version = 0;
    std::shared_ptr<const route> selected_route;
    bool in_transaction = false;
    bool reads_only = false;
    /// Identifier of the client's BEGIN, and its arrival time.
    std::string begin_id;
    time_point begun_at;
    /// Log position of the session's last commit.
    std::optional<log_position> session_position;
    /// Reads must be at least as fresh; the epoch when there is no such time.
    time_point fresh_after;

    /// Message as of `now`.
    [[nodiscard]] std::string encode(time_point now) const;
    /// Reads a message that was received at `now`. Errors: bad_value.
    [[nodiscard]] static std::optional<hand_on_request> decode(std::string_view bytes, time_point now,
                                                               error& reason);
};

/// Answer of an owner.
struct hand_on_answer {
    /// Name of the owner, and the incarnation of its process.
    std::string daemon;
    std::string incarnation;
    hand_on_refusal refusal = hand_on_refusal::none;
    /// Identifies the transaction that is open at the owner; 0 when there is none.
    std::uint64_t handle = 0;
    /// Result, unless the statement was refused.
    statement_result result;

    [[nodiscard]] std::string encode() const;
    /// Errors: bad_value.
    [[nodiscard]] static std::optional<hand_on_answer> decode(std::string_view bytes, error& reason);
};

/// Largest message, in bytes: a statement of the largest size with its session.
constexpr std::size_t max_hand_on_bytes = 1280U << 10U;

} // namespace gentianhill
