#include "standins/platform/platform_settings.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <sstream>
#include <string>

namespace gentianhill::standins {

namespace {

namespace options = boost::program_options;

constexpr std::uint32_t max_milliseconds = 600'000;

options::options_description describe() {
    options::options_description description{"standin_platform"};
    description.add_options()("listen", options::value<std::string>()->required(), "address:port");
    description.add_options()("delay-ms", options::value<std::uint32_t>()->default_value(0));
    description.add_options()("hosts-lag-ms", options::value<std::uint32_t>()->default_value(0));
    return description;
}

} // namespace

std::optional<platform_settings> read_platform_settings(int count, const char* const* arguments,
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
    platform_settings settings;
    const std::optional<endpoint> listen =
        endpoint::parse(values["listen"].as<std::string>(), "--listen", reason);
    const std::uint32_t delay = values["delay-ms"].as<std::uint32_t>();
    const std::uint32_t hosts_lag = values["hosts-lag-ms"].as<std::uint32_t>();
    if (listen && (delay > max_milliseconds || hosts_lag > max_milliseconds)) {
        reason = error{error_code::out_of_range, delay > max_milliseconds ? "--delay-ms" : "--hosts-lag-ms",
                       "", "0 to 600000"};
    }
    if (reason.failed()) {
        return std::nullopt;
    }
    settings.listen = *listen;
    settings.delay = std::chrono::milliseconds{delay};
    settings.hosts_lag = std::chrono::milliseconds{hosts_lag};
    return settings;
}

} // namespace gentianhill::standins
