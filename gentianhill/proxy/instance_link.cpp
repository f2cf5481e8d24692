#include "gentianhill/proxy/instance_link.h"

namespace gentianhill {

instance_command make_statement_command(const statement& text, const std::string& shared_name) {
    instance_command command;
    command.id = text.id;
    switch (text.kind) {
    case statement_kind::read:
        command.kind = command_kind::read;
        command.text = text.text;
        break;
    case statement_kind::write:
        command.kind = command_kind::write;
        command.text = text.text;
        break;
    case statement_kind::execute:
        command.kind = command_kind::execute;
        command.name = shared_name;
        command.argument = text.argument;
        break;
    default:
        command.kind = command_kind::commit;
        command.text = text.text;
        break;
    }
    return command;
}

} // namespace gentianhill
