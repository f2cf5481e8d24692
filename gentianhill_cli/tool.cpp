#include "gentianhill_cli/tool.h"

#include "gentianhill_cli/check_commands.h"
#include "gentianhill_cli/explain_command.h"
#include "gentianhill_cli/request_commands.h"
#include "gentianhill_cli/ticket_commands.h"
#include "gentianhill_cli/timeline_commands.h"
#include "gentianhill_cli/view_commands.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

namespace options = boost::program_options;

constexpr const char* daemons_variable = "GENTIANHILL_DAEMONS";
constexpr const char* positional_name = "argument";
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::size_t max_daemons = 100;

constexpr std::string_view exit_code_help = "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable or "
                                            "outcome unknown, 4 only some daemons answered.\n";

options::options_description common_options() {
    options::options_description result{"Common options"};
    result.add_options()("daemon", options::value<std::vector<std::string>>()->composing(),
                         "operator address of a daemon; may be repeated or hold a list with commas. "
                         "Default: GENTIANHILL_DAEMONS, else 127.0.0.1:7402")("json", "print JSON")(
        "timeout-ms", options::value<std::int64_t>()->default_value(5000),
        "longest wait for one answer, 1 to 600000")("help", "print help");
    return result;
}

std::string overview(const std::vector<command>& commands) {
    std::string text = "gentianhill COMMAND [OPTIONS]\n\nCommands:\n";
    for (const command& item : commands) {
        text += fmt::format("  {:<28}{}\n", item.name + (item.arguments.empty() ? "" : " " + item.arguments),
                            item.help);
    }
    return text + fmt::format("\n`gentianhill COMMAND --help` describes the options of a command.\n{}",
                              exit_code_help);
}

std::string command_help(const command& described) {
    std::ostringstream text;
    text << fmt::format("gentianhill {}{}{} [OPTIONS]\n{}\n\n", described.name,
                        described.arguments.empty() ? "" : " ", described.arguments, described.help);
    if (!described.options.options().empty()) {
        text << described.options << '\n';
    }
    text << common_options() << '\n' << exit_code_help;
    return text.str();
}

// Command whose words begin the arguments, and how many words it has.
std::pair<const command*, std::size_t> find_command(const std::vector<command>& commands,
                                                    const std::vector<std::string>& arguments) {
    for (const command& item : commands) {
        const std::size_t space = item.name.find(' ');
        const std::size_t words = space == std::string::npos ? 1 : 2;
        if (arguments.size() >= words &&
            item.name == (words == 1 ? arguments[0] : arguments[0] + " " + arguments[1])) {
            return {&item, words};
        }
    }
    return {nullptr, 0};
}

exit_code usage_error(tool_context& context, const std::string& what) {
    context.errors << fmt::format("gentianhill: {}\n  next: gentianhill --help lists all commands\n", what);
    return exit_code::usage;
}

bool read_daemons(tool_context& context, const options::variables_map& values, error& reason) {
    std::vector<std::string> lists;
    const environment_map::const_iterator variable = context.environment.find(daemons_variable);
    if (values.count("daemon") > 0) {
        lists = values["daemon"].as<std::vector<std::string>>();
    } else if (variable != context.environment.end()) {
        lists = {variable->second};
    } else {
        lists = {"127.0.0.1:7402"};
    }
    const std::string field = values.count("daemon") > 0 ? "--daemon" : daemons_variable;
    context.daemons.clear();
    for (const std::string& list : lists) {
        std::string_view rest = list;
        while (true) {
            const std::size_t comma = rest.find(',');
            const std::optional<endpoint> daemon = endpoint::parse(rest.substr(0, comma), field, reason);
            if (!daemon) {
                return false;
            }
            if (std::count(context.daemons.begin(), context.daemons.end(), *daemon) == 0) {
                context.daemons.push_back(*daemon);
            }
            if (comma == std::string_view::npos) {
                break;
            }
            rest.remove_prefix(comma + 1);
        }
    }
    if (context.daemons.size() > max_daemons) {
        reason = error{error_code::too_large, field, fmt::format("{} daemons", context.daemons.size()),
                       fmt::format("at most {}", max_daemons)};
        return false;
    }
    return true;
}

bool read_common(tool_context& context, const options::variables_map& values, error& reason) {
    context.json = values.count("json") > 0;
    const std::int64_t timeout_ms = values["timeout-ms"].as<std::int64_t>();
    if (timeout_ms < 1 || timeout_ms > max_timeout_ms) {
        reason = error{error_code::out_of_range, "--timeout-ms", fmt::format("{}", timeout_ms),
                       fmt::format("1 to {}", max_timeout_ms)};
        return false;
    }
    context.timeout = std::chrono::milliseconds{timeout_ms};
    return read_daemons(context, values, reason);
}

options::variables_map parse_options(const command& selected, const std::vector<std::string>& arguments) {
    options::options_description all;
    all.add(selected.options).add(common_options());
    all.add_options()(positional_name, options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add(positional_name, -1);
    constexpr int style =
        options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    options::variables_map values;
    options::store(
        options::command_line_parser(arguments).options(all).positional(positional).style(style).run(),
        values);
    return values;
}

exit_code run_command(tool_context& context, const command& selected,
                      const std::vector<std::string>& arguments) {
    const options::variables_map values = parse_options(selected, arguments);
    if (values.count("help") > 0) {
        context.out << command_help(selected);
        return exit_code::success;
    }
    std::vector<std::string> positional;
    if (values.count(positional_name) > 0) {
        positional = values[positional_name].as<std::vector<std::string>>();
    }
    if (positional.size() != selected.argument_count) {
        return usage_error(context,
                           fmt::format("{} takes {} argument(s) {}, and {} were given", selected.name,
                                       selected.argument_count, selected.arguments, positional.size()));
    }
    error reason;
    if (!read_common(context, values, reason)) {
        return usage_error(context, reason.describe());
    }
    return selected.run(context, positional, values);
}

} // namespace

std::vector<command> tool_commands() {
    std::vector<command> result;
    for (std::vector<command> family : {ticket_commands(), view_commands(), request_commands(),
                                        timeline_commands(), check_commands(), explain_commands()}) {
        std::move(family.begin(), family.end(), std::back_inserter(result));
    }
    return result;
}

exit_code run_tool(tool_context& context, const std::vector<std::string>& arguments) {
    const std::vector<command> commands = tool_commands();
    if (arguments.empty()) {
        context.errors << overview(commands);
        return exit_code::usage;
    }
    if (arguments[0] == "--help" || arguments[0] == "help") {
        context.out << overview(commands);
        return exit_code::success;
    }
    const std::pair<const command*, std::size_t> found = find_command(commands, arguments);
    if (found.first == nullptr) {
        return usage_error(context, fmt::format("there is no command {}", arguments[0]));
    }
    const std::vector<std::string> rest{arguments.begin() + static_cast<std::ptrdiff_t>(found.second),
                                        arguments.end()};
    if (found.first->raw_arguments) {
        return found.first->run(context, rest, {});
    }
    try {
        return run_command(context, *found.first, rest);
    } catch (const options::error& failure) {
        return usage_error(context, failure.what());
    } catch (const nlohmann::json::exception& failure) {
        context.errors << fmt::format("gentianhill: bad_answer: an answer has an unexpected form ({})\n"
                                      "  next: tool and daemon may be of different versions\n",
                                      failure.what());
        return exit_code::refused;
    }
}

} // namespace gentianhill
