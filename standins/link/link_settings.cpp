#include "standins/link/link_settings.h"

#include <boost/program_options.hpp>

#include <sstream>
#include <string>

namespace gentianhill::standins {

namespace {

namespace options = boost::program_options;

options::options_description describe() {
    options::options_description description{"standin_link"};
    description.add_options()("listen", options::value<std::string>()->required(), "address:port");
    description.add_options()("target", options::value<std::string>()->required(), "address:port");
    description.add_options()("control", options::value<std::string>()->required(), "address:port");
    return description;
}

endpoint address_of(const options::variables_map& values, const std::string& name, error& reason) {
    if (reason.failed()) {
        return {};
    }
    return endpoint::parse(values[name].as<std::string>(), "--" + name, reason).value_or(endpoint{});
}

} // namespace

std::optional<link_settings> read_link_settings(int count, const char* const* arguments, error& reason) {
    options::variables_map values;
    try {
        options::store(options::parse_command_line(count, arguments, describe()), values);
        options::notify(values);
    } catch (const options::error& failure) {
        reason = error{error_code::bad_value, "arguments", failure.what(),
                       (std::ostringstream{} << describe()).str()};
        return std::nullopt;
    }
    const link_settings settings{address_of(values, "listen", reason), address_of(values, "target", reason),
                                 address_of(values, "control", reason)};
    return reason.failed() ? std::nullopt : std::optional{settings};
}

} // namespace gentianhill::standins
