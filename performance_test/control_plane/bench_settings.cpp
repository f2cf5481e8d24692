#include "performance_test/control_plane/bench_settings.h"

#include <boost/program_options.hpp>

#include <sstream>

namespace gentianhill::control_bench {

std::optional<bench_settings> read_settings(int count, const char* const* arguments, error& reason) {
    namespace options = boost::program_options;
    bench_settings settings;
    double seconds = 5;
    options::options_description description{"gentianhill_control_bench"};
    options::options_description_easy_init add = description.add_options();
    add("help", "print the options");
    add("daemons", options::value(&settings.daemons)->multitoken(), "numbers of daemons, one run each");
    add("zones", options::value(&settings.zones), "availability zones");
    add("groups", options::value(&settings.groups), "database groups");
    add("tickets", options::value(&settings.tickets_per_second), "new tickets per second");
    add("ticket-bytes", options::value(&settings.ticket_bytes), "size of a ticket, in bytes");
    add("changes", options::value(&settings.changes_per_second), "primary changes per second");
    add("full-mesh", options::bool_switch(&settings.full_mesh), "heartbeats between all pairs");
    add("seconds", options::value(&seconds), "length of each run");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(count, arguments, description), values);
        options::notify(values);
    } catch (const options::error& failure) {
        reason = error{error_code::bad_value, "arguments", failure.what(), "see --help"};
        return std::nullopt;
    }
    if (values.count("help") > 0) {
        std::ostringstream text;
        text << description;
        reason = error{error_code::bad_value, "help", "", text.str()};
        return std::nullopt;
    }
    if (settings.zones == 0 || seconds <= 0) {
        reason = error{error_code::out_of_range, "zones or seconds", "0", "more than 0"};
        return std::nullopt;
    }
    settings.length = duration{static_cast<std::int64_t>(seconds * 1e6)};
    return settings;
}

} // namespace gentianhill::control_bench
