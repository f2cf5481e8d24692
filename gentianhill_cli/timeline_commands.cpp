#include "gentianhill_cli/timeline_commands.h"

#include "gentianhill/operators/timeline_report.h"
#include "gentianhill_cli/text_table.h"
#include "gentianhill_cli/timeline_reader.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <set>

namespace gentianhill {

namespace {

namespace options = boost::program_options;

constexpr duration follow_interval = std::chrono::milliseconds{500};
constexpr std::int64_t max_since_s = 31'536'000;

/// Which events a command shows.
struct event_filter {
    std::set<event_kind> kinds;
    std::string group;
    std::int64_t earliest_ms = 0;

    [[nodiscard]] bool admits(const timeline_event& event) const {
        return (kinds.empty() || kinds.count(event.kind) > 0) && (group.empty() || event.group == group) &&
               event.at.wall_ms >= earliest_ms;
    }
};

void add_filter_options(options::options_description& description) {
    description.add_options()("kind", options::value<std::vector<std::string>>()->composing(),
                              "only events of this kind; may be repeated")(
        "group", options::value<std::string>(), "only events of this database group")(
        "since", options::value<std::int64_t>(), "only events of the last SECONDS");
}

std::optional<event_filter> read_filter(tool_context& context, const options::variables_map& values) {
    event_filter result;
    if (values.count("kind") > 0) {
        for (const std::string& name : values["kind"].as<std::vector<std::string>>()) {
            const std::optional<event_kind> kind = event_kind_from(name);
            if (!kind) {
                context.errors << fmt::format("gentianhill: there is no event kind {}\n"
                                              "  next: docs/glossary.md lists the kinds\n",
                                              name);
                return std::nullopt;
            }
            result.kinds.insert(*kind);
        }
    }
    if (values.count("group") > 0) {
        result.group = values["group"].as<std::string>();
    }
    if (values.count("since") > 0) {
        const std::int64_t seconds = values["since"].as<std::int64_t>();
        if (seconds < 0 || seconds > max_since_s) {
            context.errors << fmt::format("gentianhill: --since {} is not allowed\n"
                                          "  next: give 0 to {} seconds\n",
                                          seconds, max_since_s);
            return std::nullopt;
        }
        constexpr std::int64_t ms_per_second = 1000;
        result.earliest_ms = event_loop::wall_clock_ms() - seconds * ms_per_second;
    }
    return result;
}

void apply_filter(merged_timeline& timeline, const event_filter& filter) {
    std::erase_if(timeline.events, [&filter](const timeline_event& event) { return !filter.admits(event); });
}

void print(tool_context& context, const merged_timeline& timeline) {
    if (context.json) {
        context.out << timeline.to_json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                    << std::endl;
        return;
    }
    for (const timeline_gap& gap : timeline.gaps) {
        context.out << fmt::format("missing: events {} to {} of {}, overwritten before they were read\n",
                                   gap.first, gap.last, gap.daemon);
    }
    for (const timeline_event& event : timeline.events) {
        context.out << format_event(event) << '\n';
    }
    context.out.flush();
}

exit_code show_timeline(tool_context& context, const std::vector<std::string>& /*positional*/,
                        const options::variables_map& values) {
    const std::optional<event_filter> filter = read_filter(context, values);
    if (!filter) {
        return exit_code::usage;
    }
    timeline_reader reader{context};
    exit_code result = exit_code::success;
    while (true) {
        std::optional<merged_timeline> timeline = reader.read(result);
        if (timeline) {
            apply_filter(*timeline, *filter);
            // While following, JSON is one line per round with something new.
            if (values.count("follow") == 0 || !timeline->events.empty() || !timeline->gaps.empty()) {
                print(context, *timeline);
            }
        }
        if (values.count("follow") == 0 || (context.keep_following && !context.keep_following())) {
            return result;
        }
        context.loop.run_until([] { return false; }, follow_interval);
    }
}

exit_code write_report(tool_context& context, const std::vector<std::string>& positional,
                       const options::variables_map& values) {
    const std::optional<event_filter> filter = read_filter(context, values);
    if (!filter) {
        return exit_code::usage;
    }
    timeline_reader reader{context};
    exit_code result = exit_code::success;
    std::optional<merged_timeline> timeline = reader.read(result);
    if (!timeline) {
        return result;
    }
    apply_filter(*timeline, *filter);
    std::ofstream file{positional[0], std::ios::binary | std::ios::trunc};
    file << timeline_report(*timeline, timeline_report_settings{});
    file.close();
    if (!file) {
        context.errors << fmt::format(
            "gentianhill: cannot write {}\n  next: name a file in a folder that can "
            "be written\n",
            positional[0]);
        return exit_code::usage;
    }
    context.out << fmt::format("{} events written to {}\n", timeline->events.size(), positional[0]);
    return result;
}

} // namespace

std::vector<command> timeline_commands() {
    command timeline;
    timeline.name = "timeline";
    timeline.help = "Events of all daemons in causal order.";
    add_filter_options(timeline.options);
    timeline.options.add_options()("follow", "go on with new events until interrupted");
    timeline.run = &show_timeline;
    command report;
    report.name = "report";
    report.arguments = "FILE";
    report.argument_count = 1;
    report.help = "Writes an HTML page with a drawing and a table of the merged timeline.";
    add_filter_options(report.options);
    report.run = &write_report;
    return {timeline, report};
}

} // namespace gentianhill
