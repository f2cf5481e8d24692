#include "gentianhill_cli/request_commands.h"

#include "gentianhill_cli/daemon_client.h"
#include "gentianhill_cli/text_table.h"

#include <fmt/format.h>

namespace gentianhill {

namespace {

using option_values = boost::program_options::variables_map;

exit_code outcome(tool_context& context, const std::vector<std::string>& positional,
                  const option_values& /*options*/) {
    daemon_client client{context};
    const nlohmann::json question{{"group", positional[0]}, {"key", positional[1]}};
    const std::string body = question.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const daemon_reply reply = client.call_first({"POST", "outcome", body});
    if (!reply.value) {
        return client.report_failure(reply);
    }
    const std::string status = cell(*reply.value, "status");
    context.out << (context.json ? pretty(*reply.value) : status + '\n');
    if (status == "outcome_unknown") {
        context.errors << "gentianhill: the outcome is not known yet\n"
                          "  next: repeat the query; it is safe at any daemon. See "
                          "docs/operators/failover.md if it stays unknown\n";
        return exit_code::unreachable;
    }
    return exit_code::success;
}

exit_code drain(tool_context& context, const std::vector<std::string>& /*positional*/,
                const option_values& /*options*/) {
    if (context.daemons.size() != 1) {
        context.errors << fmt::format("gentianhill: drain stops one daemon, and {} are named\n"
                                      "  next: name it with --daemon ADDRESS:PORT\n",
                                      context.daemons.size());
        return exit_code::usage;
    }
    daemon_client client{context};
    const daemon_reply reply = client.call(context.daemons[0], {"POST", "drain", "{}"});
    if (!reply.value) {
        return client.report_failure(reply);
    }
    if (context.json) {
        context.out << pretty(*reply.value);
    } else {
        context.out << fmt::format("{} is draining; it exits when its requests have finished\n",
                                   context.daemons[0].to_string());
    }
    return exit_code::success;
}

} // namespace

std::vector<command> request_commands() {
    command outcome_command;
    outcome_command.name = "outcome";
    outcome_command.arguments = "GROUP KEY";
    outcome_command.argument_count = 2;
    outcome_command.help = "Outcome of a request by its key; a request that has not run is cancelled.";
    outcome_command.run = &outcome;
    command drain_command;
    drain_command.name = "drain";
    drain_command.help = "Starts the planned stop of the one daemon named by --daemon.";
    drain_command.run = &drain;
    return {outcome_command, drain_command};
}

} // namespace gentianhill
