#include "gentianhill_cli/view_commands.h"

#include "gentianhill_cli/daemon_client.h"
#include "gentianhill_cli/text_table.h"

#include <fmt/format.h>

#include <set>
#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

using renderer = std::function<std::string(const std::vector<daemon_reply>&)>;

const nlohmann::json& member(const nlohmann::json& object, const char* name) {
    static const nlohmann::json empty = nlohmann::json::array();
    if (!object.is_object()) {
        return empty;
    }
    const nlohmann::json::const_iterator found = object.find(name);
    return found == object.end() ? empty : *found;
}

std::string ready_text(const nlohmann::json& state) {
    const nlohmann::json& reasons = member(state, "not_ready");
    if (!reasons.is_array() || reasons.empty()) {
        return "ready";
    }
    std::string text;
    for (const nlohmann::json& reason : reasons) {
        text += (text.empty() ? "" : "; ") + cell_text(reason);
    }
    return text;
}

std::string render_state(const std::vector<daemon_reply>& replies) {
    text_table table{{"daemon", "zone", "platform", "tickets", "highest", "requests", "readiness"}};
    std::set<std::string> fingerprints;
    for (const daemon_reply& reply : replies) {
        const nlohmann::json& state = *reply.value;
        table.add({cell(state, "daemon"), cell(state, "zone"),
                   cell(state, "platform_available") == "true" ? "available" : "unavailable",
                   cell(state, "fingerprint"), cell(state, "highest_ticket"), cell(state, "open_requests"),
                   ready_text(state)});
        fingerprints.insert(cell(state, "fingerprint"));
    }
    std::string text = table.to_string();
    if (fingerprints.size() > 1) {
        text += "The daemons have different tickets in effect; if this lasts longer than 5 s, see "
                "docs/operators/stuck-ticket.md\n";
    }
    return text;
}

// An instance that does not answer is shown with the role that it had: a lost primary is not a second one.
std::string role_text(const nlohmann::json& instance) {
    const std::string role = cell(instance, "role");
    return cell(instance, "reachable") == "false" && role != "-" ? "was " + role : role;
}

std::string attempt_text(const nlohmann::json& coordination) {
    const std::string phase = cell(coordination, "phase");
    const std::string failure = cell(member(coordination, "last_attempt"), "failure");
    return phase == "failed" && failure != "-" ? phase + ": " + failure : phase;
}

std::string render_groups(const std::vector<daemon_reply>& replies) {
    text_table groups{{"daemon", "group", "term", "primary", "health", "confirmed", "writes", "waiting",
                       "claims", "attempt"}};
    text_table instances{{"daemon", "group", "instance", "zone", "role", "term", "position", "age_ms",
                          "reachable", "leaving", "load"}};
    for (const daemon_reply& reply : replies) {
        const std::string daemon = reply.daemon.to_string();
        for (const nlohmann::json& group : *reply.value) {
            const nlohmann::json& confirmed = member(group, "confirmed");
            const nlohmann::json& coordination = member(group, "coordination");
            groups.add({daemon, cell(group, "group"), cell(group, "term"), cell(group, "primary"),
                        cell(group, "primary_health"),
                        cell(confirmed, "term") + ":" + cell(confirmed, "position"),
                        cell(group, "accepts_writes"), cell(group, "waiting"), cell(coordination, "claims"),
                        attempt_text(coordination)});
            for (const nlohmann::json& instance : member(group, "instances")) {
                instances.add({daemon, cell(group, "group"), cell(instance, "instance"),
                               cell(instance, "zone"), role_text(instance), cell(instance, "accepted_term"),
                               cell(instance, "position"), cell(instance, "age_ms"),
                               cell(instance, "reachable"), cell(instance, "leaving"),
                               cell(instance, "load")});
            }
        }
    }
    return groups.to_string() + '\n' + instances.to_string();
}

std::string render_shares(const std::vector<daemon_reply>& replies) {
    text_table connections{{"daemon", "group", "instance", "opening", "idle", "busy", "pinned", "closing"}};
    text_table teams{
        {"daemon", "group", "instance", "team", "weight", "queued", "served", "refused", "expired"}};
    for (const daemon_reply& reply : replies) {
        const std::string daemon = reply.daemon.to_string();
        for (const nlohmann::json& share : *reply.value) {
            const nlohmann::json& counts = member(share, "connections");
            connections.add({daemon, cell(share, "group"), cell(share, "instance"), cell(counts, "opening"),
                             cell(counts, "idle"), cell(counts, "busy"), cell(counts, "pinned"),
                             cell(counts, "closing")});
            for (const nlohmann::json& team : member(share, "teams")) {
                teams.add({daemon, cell(share, "group"), cell(share, "instance"), cell(team, "team"),
                           cell(team, "weight"), cell(team, "queued"), cell(team, "served"),
                           cell(team, "refused"), cell(team, "expired")});
            }
        }
    }
    return connections.to_string() + '\n' + teams.to_string();
}

std::string render_hosts(const std::vector<daemon_reply>& replies) {
    text_table daemons{{"seen by", "daemon", "zone", "address", "state", "last_heard_ms"}};
    text_table servers{{"seen by", "backend server", "zone", "address", "leaving"}};
    std::string notes;
    for (const daemon_reply& reply : replies) {
        const std::string observer = reply.daemon.to_string();
        for (const nlohmann::json& host : member(*reply.value, "daemons")) {
            daemons.add({observer, cell(host, "name"), cell(host, "zone"), cell(host, "address"),
                         cell(host, "state"), cell(host, "last_heard_ms")});
        }
        for (const nlohmann::json& server : member(*reply.value, "servers")) {
            servers.add({observer, cell(server, "name"), cell(server, "zone"), cell(server, "address"),
                         cell(server, "leaving")});
        }
        if (cell(*reply.value, "list_is_stale") == "true") {
            notes += fmt::format("{}: the platform's list of hosts is stale\n", observer);
        }
    }
    return daemons.to_string() + '\n' + servers.to_string() + notes;
}

exit_code show_view(tool_context& context, const std::string& path, const renderer& render) {
    daemon_client client{context};
    std::vector<daemon_reply> replies = client.call_all({"GET", path, ""});
    const exit_code result = client.report_failures(replies);
    std::erase_if(replies, [](const daemon_reply& reply) { return !reply.value; });
    if (replies.empty()) {
        return result;
    }
    if (context.json) {
        nlohmann::json all = nlohmann::json::array();
        for (const daemon_reply& reply : replies) {
            all.push_back({{"daemon", reply.daemon.to_string()}, {path, *reply.value}});
        }
        context.out << pretty(all);
    } else {
        context.out << render(replies);
    }
    return result;
}

command make_view(const char* path, const char* help, const renderer& render) {
    command result;
    result.name = path;
    result.help = help;
    const std::string call_path = path;
    result.run = [call_path, render](tool_context& context, const std::vector<std::string>& /*positional*/,
                                     const boost::program_options::variables_map& /*options*/) {
        return show_view(context, call_path, render);
    };
    return result;
}

} // namespace

std::vector<command> view_commands() {
    return {
        make_view("state", "Readiness, platform and tickets of each daemon.", &render_state),
        make_view("groups", "Primary, term, positions and ages of each group as each daemon sees them.",
                  &render_groups),
        make_view("shares", "Connections and queues by instance and team.", &render_shares),
        make_view("hosts", "Live, leaving and drained daemons and backend servers.", &render_hosts),
    };
}

} // namespace gentianhill
