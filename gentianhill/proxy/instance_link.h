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

/// What is sent to an instance.
enum class command_kind : std::uint8_t {
    // Statements of clients, passed on with their id
    read,
    write,
    execute,
    commit,
    // Statements of the proxy's own
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

/// One command; the views need to last only for the call that sends it.
struct instance_command {
    command_kind kind = command_kind::status;
    /// Identifier that the client gave, also to a begin that is passed on later; empty for the proxy's own
    /// commands.
    std::string_view id;
    /// Text of a client's read, write or commit, passed on unchanged.
    std::string_view text;
    /// Name of a value, or shared name of a prepared statement.
    std::string_view name;
    /// Value, shape, or item and data of an execution.
    std::string_view argument;
    /// True when the statement to be prepared writes.
    bool writes = false;
    /// True for a write, or for the commit of a transaction that wrote: its answer waits for a replica.
    bool changes_data = false;
    /// Position that the instance must hold for a read or the begin of a transaction.
    std::optional<log_position> min_position;
    /// Term of a fence or a step down.
    term_number term = 0;
};

/// Command that runs a client's read, write, execution or commit. `shared_name` replaces the name that the
/// client gave a prepared statement; both arguments must outlive the command.
[[nodiscard]] instance_command make_statement_command(const statement& text, const std::string& shared_name);

/// Answer of an instance to one command.
struct instance_answer {
    statement_result result;
    /// Answer to status, fence, unfence and step_down.
    std::optional<instance_status> status;
};

/// How a connection ended, or why it could not be opened.
enum class disconnect_reason : std::uint8_t {
    /// Nothing listens at the address, or another instance does.
    refused,
    /// The instance answers, but takes no further connection.
    rejected,
    lost,
    timed_out,
    /// Ended by this process, since it was idle or its exchange was broken off.
    closed_here,
};

/// One connection to an instance. Another package derives from it and fills the first group; destroying it
/// closes the connection. No hook is called from within send or the destructor.
class instance_link {
public:
    instance_link() = default;
    virtual ~instance_link() = default;
    instance_link(const instance_link&) = delete;
    instance_link& operator=(const instance_link&) = delete;

    /// Sends a command; answers arrive in the order of the commands.
    std::function<void(const instance_command&)> send;

    /// The instance has accepted the connection, or has refused it with an outcome other than done.
    std::function<void(const statement_result& greeting)> on_open;
    /// Answer to the oldest command without one.
    std::function<void(instance_answer& answer)> on_answer;
    /// The connection has ended; it gives no further answers.
    std::function<void(disconnect_reason end)> on_disconnect;
};

/// Opens connections to instances.
struct instance_network {
    /// Opens a connection to an instance that must be of that group and have that id.
    std::function<std::unique_ptr<instance_link>(const endpoint& address, const std::string& group,
                                                 const std::string& id)>
        open;
};

} // namespace gentianhill
