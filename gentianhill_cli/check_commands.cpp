#include "gentianhill_cli/check_commands.h"

#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/core/object_reader.h"
#include "gentianhill/tickets/ticket_schema.h"
#include "gentianhill_cli/input_file.h"
#include "gentianhill_cli/text_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace gentianhill {

namespace {

using option_values = boost::program_options::variables_map;

exit_code check_settings(tool_context& context, const std::vector<std::string>& arguments,
                         const option_values& /*options*/) {
    const std::span<const setting_definition> definitions = daemon_setting_definitions();
    if (std::count(arguments.begin(), arguments.end(), "--help") > 0) {
        context.out << "gentianhill check-settings [FLAGS OF gentianhilld]\n"
                       "Checks flags and environment variables as gentianhilld would, and prints each value "
                       "with its source.\n\n"
                    << settings_help(definitions);
        return exit_code::success;
    }
    error reason;
    const std::optional<setting_values> values =
        setting_values::read(definitions, arguments, context.environment, reason);
    if (!values || !daemon_settings::read(*values, reason)) {
        context.errors << fmt::format("gentianhill: {}\n  next: docs/settings.md lists all settings\n",
                                      reason.describe());
        return exit_code::refused;
    }
    context.out << values->print();
    return exit_code::success;
}

exit_code check_ticket_file(tool_context& context, const std::vector<std::string>& positional,
                            const option_values& /*options*/) {
    const std::optional<std::string> text = read_input(context, positional[0]);
    if (!text) {
        return exit_code::usage;
    }
    error reason;
    const std::optional<ticket> checked = parse_ticket(*text, reason);
    if (!checked) {
        if (context.json) {
            context.out << pretty({{"valid", false}, {"error", to_json(reason)}});
        }
        context.errors << fmt::format("gentianhill: {}: {}\n  next: docs/tickets.md describes all fields\n",
                                      positional[0], reason.describe());
        return exit_code::refused;
    }
    const std::vector<std::string> warnings = ticket_warnings(*checked, ticket_state{});
    if (context.json) {
        context.out << pretty({{"valid", true}, {"warnings", warnings}});
        return exit_code::success;
    }
    context.out << fmt::format("ticket {} is valid, {} subject(s)\n", checked->number,
                               checked->subjects.size());
    for (const std::string& warning : warnings) {
        context.out << "warning: " << warning << '\n';
    }
    return exit_code::success;
}

exit_code print_settings_page(tool_context& context, const std::vector<std::string>& /*positional*/,
                              const option_values& /*options*/) {
    context.out << settings_page(daemon_setting_definitions());
    return exit_code::success;
}

} // namespace

std::vector<command> check_commands() {
    command settings;
    settings.name = "check-settings";
    settings.help = "Checks flags and environment variables of gentianhilld.";
    settings.raw_arguments = true;
    settings.run = &check_settings;
    command ticket_file;
    ticket_file.name = "check-ticket";
    ticket_file.arguments = "FILE";
    ticket_file.argument_count = 1;
    ticket_file.help = "Checks a ticket without submitting it.";
    ticket_file.run = &check_ticket_file;
    command page;
    page.name = "settings-page";
    page.help = "Prints docs/settings.md.";
    page.run = &print_settings_page;
    return {settings, ticket_file, page};
}

} // namespace gentianhill
