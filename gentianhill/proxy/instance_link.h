#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/failover/instance_status.h"
#include "gentianhill/session/statement.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Kind of a command sent to an instance.
enum class command_kind : std::uint8_t {
    // Client statements, forwarded with their id
    read,
    write,
    execute,
    commit,
    // Commands issued by the proxy
    begin,
    begin_read,
    rollback,
    set_value,
    prepare,
    reset,
    status,
    fence,
    unfence,
    step_down,
};

/// Returns the name of a kind for logs.
[[nodiscard]] std::string_view to_string(command_kind kind);

/// One command to an instance. The string views must stay valid only during the call that sends it.
struct instance_command {
    command_kind kind = command_kind::status;
    /// Identifier of the client's statement, also for a begin that is forwarded later; empty for commands
    /// issued by the proxy.
    std::string_view id;
    /// Text of a client's read, write or commit, forwarded unchanged.
    std::string_view text;
    /// Name of a session value, or shared name of a prepared statement.
    std::string_view name;
    /// Session value, shape of a prepared statement, or item and data of an execution.
    std::string_view argument;
    /// True when the prepared statement writes.
    bool writes = false;
    /// True for a write or the commit of a transaction that wrote; the answer waits for a replica's
    /// acknowledgement.
    bool changes_data = false;
    /// Log position that the instance must have reached for a read or the begin of a transaction.
    std::optional<log_position> min_position;
    /// Term of a fence or step-down command.
    term_number term = 0;
};

/// Returns the command for a client's read, write, execute or commit. `shared_name` replaces the client's
/// name of a prepared statement; both arguments must outlive the command.
[[nodiscard]] instance_command make_statement_command(const statement& client_statement,
                                                      const std::string& shared_name);

/// Answer of an instance to a command.
struct instance_answer {
    /// The signature is empty unless the instance ran a client's statement.
    statement_result result;
    /// Set for status, fence, unfence and step_down.
    std::optional<instance_status> status;
    /// True if the answer began while no command was unanswered.
    bool is_unsolicited = false;
};

/// Why a connection ended or could not be opened.
enum class disconnect_reason : std::uint8_t {
    /// Nothing listens at the address, or a different instance answers there.
    refused,
    /// The instance answers but does not accept the connection.
    rejected,
    lost,
    timed_out,
    /// The instance answers, but not in the order of the commands.
    out_of_step,
    /// An answer took more memory than one may.
    too_large,
    /// Closed by this process, because it was idle or its statement was abandoned.
    closed_locally,
};

/// Transport connection to an instance. The transport's derived class sets `send`; the owner sets the other
/// callbacks. Destroying the link closes the connection. No callback is invoked from send or the destructor.
class instance_link {
public:
    instance_link() = default;
    virtual ~instance_link() = default;
    instance_link(const instance_link&) = delete;
    instance_link& operator=(const instance_link&) = delete;

    /// Sends a command; answers arrive in the order of the commands.
    std::function<void(const instance_command&)> send;

    /// The instance has accepted the connection, or has rejected it with an outcome other than done.
    std::function<void(const statement_result& startup_result)> on_open;
    /// Called with each answer; returns whether it answers the oldest unanswered command.
    std::function<bool(instance_answer& answer)> on_answer;
    /// The connection has ended; no further answers follow.
    std::function<void(disconnect_reason reason)> on_disconnect;
};

/// Opens connections to instances.
struct instance_network {
    /// Opens a connection to an address; the instance there must have the given group and id. It is told the
    /// team that the connection serves; an empty name stands for the proxy itself.
    std::function<std::unique_ptr<instance_link>(const endpoint& address, const std::string& group,
                                                 const std::string& team, const std::string& id)>
        open;
    /// True if a command is short enough to be sent. Without this hook all commands are.
    std::function<bool(const instance_command& command)> fits;
};

} // namespace gentianhill
