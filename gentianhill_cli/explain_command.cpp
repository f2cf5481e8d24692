#include "gentianhill_cli/explain_command.h"

#include "gentianhill/core/logger.h"
#include "gentianhill_cli/input_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

using cause_text = std::pair<std::string_view, std::string_view>;
/// Details of refusals, as the daemon logs them.
constexpr std::array<cause_text, 10> causes{{
    {"no_primary", "no instance led the group, or the one that led did not answer; see the failover lines"},
    {"no_evidence", "no replica confirmed in time that the primary still led"},
    {"no_read_point", "no log position was recent enough to prove that a replica is fresh"},
    {"no_instance", "no instance that may serve the statement answered"},
    {"no_connection", "all connections of the instances stayed in use until the timeout came near"},
    {"timeout of the route reached", "the instance did not answer within the route's timeout"},
    {"connection to the instance lost", "the connection ended before the answer"},
    {"every attempt failed", "each instance that was tried refused or failed; see the attempts"},
    {"the daemon is stopping",
     "the daemon was stopped by plan; the outcome tells whether the statement may have run"},
    {"no route has this database", "the configuration in effect has no route for the database"},
}};

/// Lines of other components that are shown before a request's own.
constexpr std::size_t context_lines = 12;

std::vector<std::string> split_words(const std::string& line) {
    std::istringstream stream(line);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word) {
        words.push_back(word);
    }
    return words;
}

std::optional<log_line> parse_line(const std::string& line) {
    constexpr std::size_t words_after_level = 2;
    const std::vector<std::string> words = split_words(line);
    for (std::size_t i = 1; i + words_after_level < words.size(); ++i) {
        const bool is_time = words[i - 1].size() > 1 && words[i - 1].back() == 'Z';
        if (!is_time || !log_level_from(words[i])) {
            continue;
        }
        log_line parsed;
        parsed.time = words[i - 1];
        parsed.level = words[i];
        parsed.component = words[i + 1];
        parsed.event = words[i + 2];
        parsed.source = i >= 2 ? words[i - 2] : "";
        const std::size_t start = line.find(parsed.event, line.find(parsed.level)) + parsed.event.size();
        parsed.fields = start < line.size() ? line.substr(start + 1) : "";
        return parsed;
    }
    return std::nullopt;
}

/// True for a line that may explain a request of one of `groups` that the daemons `sources` have served.
bool changes_the_group(const log_line& line, const std::set<std::string>& groups,
                       const std::set<std::string>& sources) {
    if (line.component == "relay" || line.component == "directory") {
        // Where a daemon takes its state and evidence from concerns its own requests only.
        return sources.count(line.source) > 0;
    }
    const bool is_change = line.component == "failover" || line.component == "group" ||
                           line.component == "pool" || line.component == "metadata" ||
                           line.component == "proxy" || line.component == "process";
    const std::string group = line.field("group");
    return is_change && (group.empty() || groups.empty() || groups.count(group) > 0);
}

std::string format_line(const log_line& line, bool own) {
    return fmt::format("{} {} {} {} {} {}\n", own ? "*" : " ", line.time, line.source, line.component,
                       line.event, line.fields);
}

std::string cause_of(const log_line& refusal) {
    const std::string detail = refusal.field("detail");
    for (const cause_text& cause : causes) {
        if (detail.find(cause.first) != std::string::npos) {
            return std::string(cause.second);
        }
    }
    return detail.empty() ? "the log names no detail" : "the instance said: " + detail;
}

exit_code explain(tool_context& context, const std::vector<std::string>& positional,
                  const boost::program_options::variables_map& /*options*/) {
    const std::optional<std::string> text = read_input(context, positional[1]);
    if (!text) {
        return exit_code::usage;
    }
    const std::string explanation = explain_request(parse_log(*text), positional[0]);
    if (explanation.empty()) {
        context.errors << fmt::format(
            "gentianhill: request {} is not in {}\n  next: a request that was served is "
            "not logged; look for it in the logs of all daemons\n",
            positional[0], positional[1]);
        return exit_code::refused;
    }
    context.out << explanation;
    return exit_code::success;
}

} // namespace

std::string log_line::field(const std::string& name) const {
    const std::string key = name + "=";
    std::size_t start = fields.rfind(key, 0) == 0 ? 0 : fields.find(" " + key);
    if (start == std::string::npos) {
        return "";
    }
    start = fields.find('=', start) + 1;
    const bool quoted = start < fields.size() && fields[start] == '"';
    const std::size_t first = quoted ? start + 1 : start;
    const std::size_t end = fields.find(quoted ? '"' : ' ', first);
    return fields.substr(first, end == std::string::npos ? end : end - first);
}

std::vector<log_line> parse_log(const std::string& text) {
    std::vector<log_line> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line)) {
        if (std::optional<log_line> parsed = parse_line(line)) {
            lines.push_back(std::move(*parsed));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    return lines;
}

std::string explain_request(const std::vector<log_line>& lines, const std::string& id) {
    std::vector<std::size_t> own;
    std::set<std::string> groups;
    std::set<std::string> sources;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].field("id") == id) {
            own.push_back(i);
            sources.insert(lines[i].source);
            const std::string group = lines[i].field("group");
            if (!group.empty()) {
                groups.insert(group);
            }
        }
    }
    if (own.empty()) {
        return "";
    }
    // The changes nearest before the first line and after the last one.
    std::set<std::size_t> shown(own.begin(), own.end());
    std::size_t found = 0;
    for (std::size_t i = own.front(); i-- > 0 && found < context_lines;) {
        found += changes_the_group(lines[i], groups, sources) && shown.insert(i).second ? 1U : 0U;
    }
    for (std::size_t i = own.front(); i < own.back(); ++i) {
        if (changes_the_group(lines[i], groups, sources)) {
            shown.insert(i);
        }
    }
    found = 0;
    for (std::size_t i = own.back() + 1; i < lines.size() && found < context_lines / 2; ++i) {
        found += changes_the_group(lines[i], groups, sources) && shown.insert(i).second ? 1U : 0U;
    }
    std::string text;
    for (const std::size_t i : shown) {
        text += format_line(lines[i], std::find(own.begin(), own.end(), i) != own.end());
    }
    const log_line& last = lines[own.back()];
    if (!last.field("outcome").empty()) {
        text += fmt::format("outcome: {}\ncause: {}\n", last.field("outcome"), cause_of(last));
    }
    return text;
}

std::vector<command> explain_commands() {
    command result;
    result.name = "explain";
    result.arguments = "ID FILE";
    result.argument_count = 2;
    result.help = "Explains a failed request from collected logs of all daemons.";
    result.run = &explain;
    return {result};
}

} // namespace gentianhill
