#include "gentianhill/proxy/instance_link.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

using kind_name = std::pair<command_kind, std::string_view>;
constexpr std::array<kind_name, 14> kind_names{{
    {command_kind::read, "read"},
    {command_kind::write, "write"},
    {command_kind::execute, "execute"},
    {command_kind::commit, "commit"},
    {command_kind::begin, "begin"},
    {command_kind::begin_read, "begin_read"},
    {command_kind::rollback, "rollback"},
    {command_kind::set_value, "set_value"},
    {command_kind::prepare, "prepare"},
    {command_kind::reset, "reset"},
    {command_kind::status, "status"},
    {command_kind::fence, "fence"},
    {command_kind::unfence, "unfence"},
    {command_kind::step_down, "step_down"},
}};

} // namespace

std::string_view to_string(command_kind kind) {
    for (const kind_name& entry : kind_names) {
        if (entry.first == kind) {
            return entry.second;
        }
    }
    return "unknown";
}

instance_command make_statement_command(const statement& client_statement, const std::string& shared_name) {
    instance_command command;
    command.id = client_statement.id;
    switch (client_statement.kind) {
    case statement_kind::read:
        command.kind = command_kind::read;
        command.text = client_statement.text;
        break;
    case statement_kind::write:
        command.kind = command_kind::write;
        command.text = client_statement.text;
        break;
    case statement_kind::execute:
        command.kind = command_kind::execute;
        command.name = shared_name;
        command.argument = client_statement.argument;
        break;
    default:
        command.kind = command_kind::commit;
        command.text = client_statement.text;
        break;
    }
    return command;
}

} // namespace gentianhill
