#include "gentianhill/core/setting_definition.h"

#include "gentianhill/core/name.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace gentianhill {

namespace {

using type_name = std::pair<setting_type, std::string_view>;

constexpr std::array type_names{
    type_name{setting_type::name, "name"},
    type_name{setting_type::secret, "secret"},
    type_name{setting_type::choice, "choice"},
    type_name{setting_type::integer, "integer"},
    type_name{setting_type::number, "number"},
    type_name{setting_type::address, "address"},
    type_name{setting_type::address_list, "address list"},
    type_name{setting_type::peer_list, "peer list"},
};

std::string default_text(const setting_definition& definition) {
    if (definition.required) {
        return "required";
    }
    return definition.default_value.empty() ? "empty" : definition.default_value;
}

} // namespace

std::string_view to_string(setting_type type) {
    for (const type_name& entry : type_names) {
        if (entry.first == type) {
            return entry.second;
        }
    }
    return "name";
}

std::string setting_definition::environment_variable() const {
    std::string result = "GENTIANHILL_";
    for (const char character : name) {
        result += character >= 'a' && character <= 'z' ? static_cast<char>(character - 'a' + 'A') : character;
    }
    return result;
}

std::string setting_definition::flag() const {
    std::string result = name;
    std::replace(result.begin(), result.end(), '_', '-');
    return result;
}

std::string setting_definition::allowed() const {
    switch (type) {
    case setting_type::name:
        return std::string{allowed_name};
    case setting_type::secret:
        return fmt::format("{} to {} bytes", low, high);
    case setting_type::choice:
        return fmt::format("{}", fmt::join(choices, ", "));
    case setting_type::integer:
        return fmt::format("{} to {}", low, high);
    case setting_type::number:
        return fmt::format("{} to {}, also fractions", low, high);
    case setting_type::address:
        return "an IPv4 number and a port, such as 127.0.0.1:7400";
    case setting_type::address_list:
        return "addresses such as 127.0.0.1:7400, separated by commas";
    case setting_type::peer_list:
        return "name=zone@address:port, separated by commas";
    }
    return {};
}

setting_definition make_integer_setting(std::string_view name, std::int64_t value, std::int64_t low,
                                        std::int64_t high, std::string_view unit, std::string_view help) {
    setting_definition result;
    result.name = name;
    result.type = setting_type::integer;
    result.default_value = std::to_string(value);
    result.low = low;
    result.high = high;
    result.unit = unit;
    result.help = help;
    return result;
}

setting_definition make_number_setting(std::string_view name, std::string_view value, std::int64_t low,
                                       std::int64_t high, std::string_view unit, std::string_view help) {
    setting_definition result = make_integer_setting(name, 0, low, high, unit, help);
    result.type = setting_type::number;
    result.default_value = value;
    return result;
}

std::string settings_help(std::span<const setting_definition> definitions) {
    boost::program_options::options_description description{"Settings"};
    for (const setting_definition& definition : definitions) {
        const std::string unit = definition.unit.empty() ? "" : " in " + definition.unit;
        const std::string text = fmt::format("{}\nAllowed: {}{}. Default: {}. Environment: {}",
                                             definition.help, definition.allowed(), unit,
                                             default_text(definition), definition.environment_variable());
        description.add_options()(definition.flag().c_str(), boost::program_options::value<std::string>(),
                                  text.c_str());
    }
    std::ostringstream output;
    output << description;
    return output.str();
}

std::string settings_page(std::span<const setting_definition> definitions) {
    std::string page = "# Settings of the daemon\n\n"
                       "Written by `gentianhill settings-page`; a test compares this page with the program.\n"
                       "A flag takes precedence over the environment variable, which takes precedence over\n"
                       "the default. `gentianhilld --print-settings` shows each value and its source;\n"
                       "`gentianhill check-settings` checks flags and environment without a start.\n\n"
                       "| flag | environment variable | type | default | allowed | unit | meaning |\n"
                       "|---|---|---|---|---|---|---|\n";
    for (const setting_definition& definition : definitions) {
        page += fmt::format("| `--{}` | `{}` | {} | {} | {} | {} | {} |\n", definition.flag(),
                            definition.environment_variable(), to_string(definition.type),
                            default_text(definition), definition.allowed(), definition.unit, definition.help);
    }
    return page;
}

} // namespace gentianhill
