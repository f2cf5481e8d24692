#include "standins/database/database_settings.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <sstream>
#include <utility>

namespace gentianhill::standins {

namespace {

namespace options = boost::program_options;

constexpr std::uint32_t max_count = 100'000;
constexpr std::uint32_t max_milliseconds = 600'000;

options::options_description describe() {
    options::options_description description{"standin_database"};
    description.add_options()("listen", options::value<std::string>()->required(), "address:port");
    description.add_options()("instance", options::value<std::string>()->required(), "name in the group");
    description.add_options()("group", options::value<std::string>()->required(), "name of the group");
    description.add_options()("peers", options::value<std::string>()->default_value(""),
                              "name=address:port,...");
    description.add_options()("primary-of-term-1", "start as primary of the first term");
    description.add_options()("initial-member", "start as member of the first term");
    description.add_options()("follow", options::value<std::string>(), "name=address:port of the primary");
    description.add_options()("connections", options::value<std::uint32_t>()->default_value(30));
    description.add_options()("slots", options::value<std::uint32_t>()->default_value(5));
    description.add_options()("lag-ms", options::value<std::uint32_t>()->default_value(0));
    description.add_options()("service-us", options::value<std::uint32_t>()->default_value(200));
    description.add_options()("connect-ms", options::value<std::uint32_t>()->default_value(10));
    return description;
}

bool add_peer(const std::string& text, const char* flag, database_settings& settings, std::string& name,
              error& reason) {
    const std::size_t equals = text.find('=');
    if (equals == 0 || equals == std::string::npos) {
        reason = error{error_code::bad_value, flag, text, "name=address:port"};
        return false;
    }
    const std::optional<endpoint> address = endpoint::parse(text.substr(equals + 1), flag, reason);
    if (!address) {
        return false;
    }
    name = text.substr(0, equals);
    settings.peers[name] = *address;
    return true;
}

bool read_peers(const options::variables_map& values, database_settings& settings, error& reason) {
    std::istringstream list{values["peers"].as<std::string>()};
    std::string name;
    for (std::string item; std::getline(list, item, ',');) {
        if (!add_peer(item, "--peers", settings, name, reason)) {
            return false;
        }
    }
    return true;
}

std::uint32_t number(const options::variables_map& values, const char* name, std::uint32_t low,
                     std::uint32_t high, error& reason) {
    const std::uint32_t value = values[name].as<std::uint32_t>();
    if (value < low || value > high) {
        reason = error{error_code::out_of_range, fmt::format("--{}", name), fmt::format("{}", value),
                       fmt::format("{} to {}", low, high)};
    }
    return value;
}

bool read_start(const options::variables_map& values, database_settings& settings, error& reason) {
    const bool is_primary = values.count("primary-of-term-1") > 0;
    const bool is_member = values.count("initial-member") > 0;
    if ((is_primary && is_member) || is_member != (values.count("follow") > 0)) {
        reason = error{error_code::bad_value, "--initial-member", "",
                       "either --primary-of-term-1, or --initial-member with --follow, or none of them"};
        return false;
    }
    if (is_primary) {
        settings.start = start_mode::first_primary;
    } else if (is_member) {
        settings.start = start_mode::first_member;
        return add_peer(values["follow"].as<std::string>(), "--follow", settings, settings.follow, reason);
    }
    return true;
}

} // namespace

std::optional<database_settings> read_database_settings(int count, const char* const* arguments,
                                                        error& reason) {
    options::variables_map values;
    try {
        options::store(options::parse_command_line(count, arguments, describe()), values);
        options::notify(values);
    } catch (const options::error& failure) {
        reason = error{error_code::bad_value, "arguments", failure.what(),
                       (std::ostringstream{} << describe()).str()};
        return std::nullopt;
    }
    database_settings settings;
    const std::optional<endpoint> listen =
        endpoint::parse(values["listen"].as<std::string>(), "--listen", reason);
    if (!listen) {
        return std::nullopt;
    }
    settings.listen = *listen;
    settings.instance = values["instance"].as<std::string>();
    settings.group = values["group"].as<std::string>();
    settings.connections = number(values, "connections", 1, max_count, reason);
    settings.slots = number(values, "slots", 1, max_count, reason);
    settings.lag = std::chrono::milliseconds{number(values, "lag-ms", 0, max_milliseconds, reason)};
    settings.service_time = std::chrono::microseconds{number(values, "service-us", 0, 10'000'000, reason)};
    settings.connect_cost =
        std::chrono::milliseconds{number(values, "connect-ms", 0, max_milliseconds, reason)};
    if (reason.failed() || !read_peers(values, settings, reason) || !read_start(values, settings, reason)) {
        return std::nullopt;
    }
    return settings;
}

} // namespace gentianhill::standins
