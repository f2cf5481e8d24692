#include "gentianhill/proxy/instance_link.h"

namespace gentianhill {

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
