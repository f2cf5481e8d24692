#include "gentianhill_cli/ticket_commands.h"

#include "gentianhill/tickets/ticket_schema.h"
#include "gentianhill_cli/daemon_client.h"
#include "gentianhill_cli/input_file.h"
#include "gentianhill_cli/text_table.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace gentianhill {

namespace {

using option_values = boost::program_options::variables_map;

constexpr std::int64_t max_wait_s = 600;
constexpr duration status_interval = std::chrono::milliseconds{200};

exit_code submit(tool_context& context, const std::vector<std::string>& positional,
                 const option_values& /*options*/) {
    // Check the file here, so that a mistake is found without a daemon.
    const std::optional<std::string> text = read_input(context, positional[0]);
    if (!text) {
        return exit_code::usage;
    }
    error reason;
    const std::optional<ticket> submitted = parse_ticket(*text, reason);
    if (!submitted) {
        context.errors << fmt::format("gentianhill: {}: {}\n  next: correct the field named above\n",
                                      positional[0], reason.describe());
        return exit_code::refused;
    }
    // A submission may be repeated at another daemon: the number is created once and content is compared.
    daemon_client client{context};
    const daemon_reply reply = client.call_first({"POST", "tickets", submitted->to_json().dump()});
    if (!reply.value) {
        const exit_code result = client.report_failure(reply);
        if (result == exit_code::unreachable) {
            context.errors << fmt::format("  The ticket may have been stored; `gentianhill ticket show {}` "
                                          "tells, and submitting the same file again is safe.\n",
                                          submitted->number);
        }
        return result;
    }
    if (context.json) {
        context.out << pretty(*reply.value);
        return exit_code::success;
    }
    context.out << fmt::format("ticket {} accepted\n", submitted->number);
    if (reply.value->is_object() && reply.value->contains("warnings")) {
        for (const nlohmann::json& warning : (*reply.value)["warnings"]) {
            context.out << "warning: " << cell_text(warning) << '\n';
        }
    }
    context.out << fmt::format("`gentianhill ticket status {}` shows where it is in effect\n",
                               submitted->number);
    return exit_code::success;
}

exit_code show(tool_context& context, const std::vector<std::string>& positional,
               const option_values& /*options*/) {
    daemon_client client{context};
    const daemon_reply reply = client.call_first({"GET", "tickets/" + positional[0], ""});
    if (!reply.value) {
        return client.report_failure(reply);
    }
    context.out << pretty(*reply.value);
    return exit_code::success;
}

exit_code list(tool_context& context, const std::vector<std::string>& /*positional*/,
               const option_values& /*options*/) {
    daemon_client client{context};
    const daemon_reply reply = client.call_first({"GET", "tickets", ""});
    if (!reply.value) {
        return client.report_failure(reply);
    }
    if (context.json) {
        context.out << pretty(*reply.value);
        return exit_code::success;
    }
    text_table table{{"subject", "ticket", "state"}};
    std::uint64_t highest = 0;
    const nlohmann::json subjects = reply.value->value("subjects", nlohmann::json::object());
    for (nlohmann::json::const_iterator subject = subjects.begin(); subject != subjects.end(); ++subject) {
        const nlohmann::json& state =
            subject->is_object() ? subject->value("state", nlohmann::json()) : *subject;
        constexpr std::size_t shown_bytes = 80;
        table.add({subject.key(), cell(*subject, "number"),
                   state.is_null() ? "removed" : cell_text(state).substr(0, shown_bytes)});
        const nlohmann::json number =
            subject->is_object() ? subject->value("number", nlohmann::json()) : nlohmann::json();
        if (number.is_number_unsigned()) {
            highest = std::max(highest, number.get<std::uint64_t>());
        }
    }
    context.out << table.to_string() << fmt::format("next free number: {}\n", highest + 1);
    return exit_code::success;
}

// True when every daemon that the answer names has applied the ticket.
bool is_applied_everywhere(const nlohmann::json& status) {
    const nlohmann::json applied =
        status.is_object() ? status.value("applied", nlohmann::json::object()) : nlohmann::json::object();
    return !applied.empty() && std::all_of(applied.begin(), applied.end(), [](const nlohmann::json& daemon) {
        return daemon == nlohmann::json(true);
    });
}

std::string render_status(const nlohmann::json& status) {
    text_table subjects{{"subject", "in effect", "superseded by"}};
    const nlohmann::json listed = status.value("subjects", nlohmann::json::object());
    for (nlohmann::json::const_iterator subject = listed.begin(); subject != listed.end(); ++subject) {
        subjects.add({subject.key(), cell(*subject, "in_effect"), cell(*subject, "superseded_by")});
    }
    text_table daemons{{"daemon", "applied"}};
    const nlohmann::json applied = status.value("applied", nlohmann::json::object());
    for (nlohmann::json::const_iterator daemon = applied.begin(); daemon != applied.end(); ++daemon) {
        daemons.add({daemon.key(), *daemon == nlohmann::json(true) ? "yes" : "no"});
    }
    return subjects.to_string() + '\n' + daemons.to_string();
}

exit_code status(tool_context& context, const std::vector<std::string>& positional,
                 const option_values& options) {
    const std::int64_t wait_s = options["wait"].as<std::int64_t>();
    if (wait_s < 0 || wait_s > max_wait_s) {
        context.errors << fmt::format("gentianhill: --wait {} is not allowed\n  next: give 0 to {} seconds\n",
                                      wait_s, max_wait_s);
        return exit_code::usage;
    }
    const time_point end = event_loop::now() + std::chrono::seconds{wait_s};
    daemon_client client{context};
    daemon_reply reply;
    while (true) {
        reply = client.call_first({"GET", "tickets/" + positional[0] + "/status", ""});
        if (!reply.value) {
            return client.report_failure(reply);
        }
        if (is_applied_everywhere(*reply.value) || event_loop::now() >= end) {
            break;
        }
        context.loop.run_until([] { return false; }, status_interval);
    }
    context.out << (context.json || !reply.value->is_object() ? pretty(*reply.value)
                                                              : render_status(*reply.value));
    if (wait_s > 0 && !is_applied_everywhere(*reply.value)) {
        context.errors << fmt::format("gentianhill: ticket {} is not in effect on all daemons after {} s\n"
                                      "  next: see docs/operators/stuck-ticket.md\n",
                                      positional[0], wait_s);
        return exit_code::partial;
    }
    return exit_code::success;
}

command make_command(const char* name, const char* arguments, std::size_t count, const char* help,
                     const command::action_type& run) {
    command result;
    result.name = name;
    result.arguments = arguments;
    result.argument_count = count;
    result.help = help;
    result.run = run;
    return result;
}

} // namespace

std::vector<command> ticket_commands() {
    command status_command =
        make_command("ticket status", "NUMBER", 1,
                     "Which daemons have applied a ticket and which tickets took precedence.", &status);
    status_command.options.add_options()(
        "wait", boost::program_options::value<std::int64_t>()->default_value(0),
        "wait up to SECONDS until all daemons have applied it; exit code 4 if they have not");
    return {
        make_command("ticket submit", "FILE", 1, "Checks a ticket and stores it under its number.", &submit),
        make_command("ticket show", "NUMBER", 1, "Prints a ticket as stored.", &show),
        make_command("ticket list", "", 0, "Subjects in effect with their tickets.", &list),
        status_command,
    };
}

} // namespace gentianhill
