#include "gentianhill/core/setting_values.h"

#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/name.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <system_error>
#include <unistd.h>

namespace gentianhill {

namespace {

namespace options = boost::program_options;

using source_name = std::pair<setting_source, std::string_view>;

constexpr std::array source_names{
    source_name{setting_source::default_value, "default"},
    source_name{setting_source::environment, "environment"},
    source_name{setting_source::flag, "flag"},
};

constexpr std::string_view environment_prefix = "GENTIANHILL_";
/// Read by the command-line tool, not by the daemon.
constexpr std::string_view tool_variable = "GENTIANHILL_DAEMONS";
constexpr std::size_t shown_bytes = 64;

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t result = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

std::optional<double> parse_number(std::string_view text) {
    double result = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result, std::chars_format::fixed);
    // "inf" and "nan" are read as numbers.
    if (parsed.ec != std::errc{} || parsed.ptr != end || !std::isfinite(result)) {
        return std::nullopt;
    }
    return result;
}

// Code of the failure of a value that its definition does not allow; none when it is allowed.
error_code check_value(const setting_definition& definition, const std::string& value) {
    error ignored;
    const std::int64_t length = static_cast<std::int64_t>(value.size());
    std::optional<std::int64_t> number;
    std::optional<double> decimal;
    bool good = false;
    switch (definition.type) {
    case setting_type::name:
        good = valid_name(value);
        break;
    case setting_type::secret:
        return length >= definition.low && length <= definition.high ? error_code::none
                                                                     : error_code::out_of_range;
    case setting_type::choice:
        good = std::count(definition.choices.begin(), definition.choices.end(), value) > 0;
        break;
    case setting_type::integer:
        number = parse_integer(value);
        if (number && (*number < definition.low || *number > definition.high)) {
            return error_code::out_of_range;
        }
        good = number.has_value();
        break;
    case setting_type::number:
        decimal = parse_number(value);
        if (decimal && (*decimal < static_cast<double>(definition.low) ||
                        *decimal > static_cast<double>(definition.high))) {
            return error_code::out_of_range;
        }
        good = decimal.has_value();
        break;
    case setting_type::address:
        good = endpoint::parse(value, definition.name, ignored).has_value();
        break;
    case setting_type::address_list:
        good = endpoint::parse_list(value, definition.name, ignored).has_value();
        break;
    case setting_type::peer_list:
        good = peer_setting::parse_list(value, definition.name, ignored).has_value();
        break;
    }
    return good ? error_code::none : error_code::bad_value;
}

using flag_map = std::map<std::string, std::string, std::less<>>;

// Parses "--flag value" and "--flag=value". Abbreviated flags are not accepted: a new flag could change
// what they mean.
std::optional<flag_map> parse_flags(std::span<const setting_definition> definitions,
                                    const std::vector<std::string>& arguments, error& reason) {
    options::options_description description;
    for (const setting_definition& definition : definitions) {
        description.add_options()(definition.flag().c_str(), options::value<std::string>(), "");
    }
    constexpr int style =
        options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    flag_map result;
    try {
        const options::parsed_options parsed = options::command_line_parser(arguments)
                                                   .options(description)
                                                   .positional(options::positional_options_description{})
                                                   .style(style)
                                                   .run();
        options::variables_map values;
        options::store(parsed, values);
        for (const std::pair<const std::string, options::variable_value>& entry : values) {
            result.emplace(entry.first, entry.second.as<std::string>());
        }
    } catch (const options::unknown_option& failure) {
        reason = error{error_code::unknown_field, failure.get_option_name(), "",
                       "a flag of --help; flags are written in full"};
        return std::nullopt;
    } catch (const options::multiple_occurrences& failure) {
        reason = error{error_code::bad_value, failure.get_option_name(), "given more than once",
                       "each flag at most once"};
        return std::nullopt;
    } catch (const options::error& failure) {
        reason = error{error_code::bad_value, "command line",
                       std::string{failure.what()}.substr(0, 2 * shown_bytes), "--flag value, see --help"};
        return std::nullopt;
    }
    return result;
}

} // namespace

std::string_view to_string(setting_source source) {
    for (const source_name& entry : source_names) {
        if (entry.first == source) {
            return entry.second;
        }
    }
    return "default";
}

environment_map process_environment() {
    environment_map result;
    for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text{*entry};
        const std::size_t equals = text.find('=');
        if (text.substr(0, environment_prefix.size()) == environment_prefix &&
            equals != std::string_view::npos) {
            result.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return result;
}

std::optional<setting_values> setting_values::read(std::span<const setting_definition> definitions,
                                                   const std::vector<std::string>& arguments,
                                                   const environment_map& environment, error& reason) {
    setting_values result;
    result.definitions_ = definitions;
    const std::optional<flag_map> flags = parse_flags(definitions, arguments, reason);
    if (!flags) {
        return std::nullopt;
    }
    // Take each value from the source with the highest precedence.
    environment_map unknown = environment;
    unknown.erase(std::string{tool_variable});
    for (const setting_definition& definition : definitions) {
        entry chosen{definition.default_value, setting_source::default_value};
        const environment_map::const_iterator variable = environment.find(definition.environment_variable());
        if (variable != environment.end()) {
            chosen = entry{variable->second, setting_source::environment};
            unknown.erase(variable->first);
        }
        const flag_map::const_iterator flag = flags->find(definition.flag());
        if (flag != flags->end()) {
            chosen = entry{flag->second, setting_source::flag};
        }
        result.entries_.emplace(definition.name, chosen);
    }
    // A misspelt variable must not be ignored.
    for (const std::pair<const std::string, std::string>& variable : unknown) {
        if (variable.first.compare(0, environment_prefix.size(), environment_prefix) == 0) {
            reason = error{error_code::unknown_field, variable.first, "", "a variable of docs/settings.md"};
            return std::nullopt;
        }
    }
    // Check each value.
    for (const setting_definition& definition : definitions) {
        const entry& chosen = result.entries_.find(definition.name)->second;
        if (chosen.source == setting_source::default_value && definition.required) {
            reason = error{error_code::missing_field, definition.name, "",
                           fmt::format("--{} or {} is required: {}", definition.flag(),
                                       definition.environment_variable(), definition.allowed())};
            return std::nullopt;
        }
        if (chosen.value.empty() && definition.default_value.empty() && !definition.required) {
            continue;
        }
        const error_code failure = check_value(definition, chosen.value);
        if (failure != error_code::none) {
            const bool secret = definition.type == setting_type::secret;
            reason = error{
                failure, result.origin(definition.name),
                secret ? fmt::format("{} bytes", chosen.value.size()) : chosen.value.substr(0, shown_bytes),
                definition.unit.empty() ? definition.allowed()
                                        : fmt::format("{} {}", definition.allowed(), definition.unit)};
            return std::nullopt;
        }
    }
    return result;
}

const std::string& setting_values::text(std::string_view name) const {
    const std::map<std::string, entry, std::less<>>::const_iterator found = entries_.find(name);
    assert(found != entries_.end());
    return found->second.value;
}

std::int64_t setting_values::integer(std::string_view name) const {
    const std::optional<std::int64_t> number = parse_integer(text(name));
    assert(number.has_value());
    return number.value_or(0);
}

double setting_values::number(std::string_view name) const {
    const std::optional<double> value = parse_number(text(name));
    assert(value.has_value());
    return value.value_or(0);
}

setting_source setting_values::source(std::string_view name) const {
    const std::map<std::string, entry, std::less<>>::const_iterator found = entries_.find(name);
    assert(found != entries_.end());
    return found->second.source;
}

std::string setting_values::origin(std::string_view name) const {
    for (const setting_definition& definition : definitions_) {
        if (definition.name == name) {
            return source(name) == setting_source::environment ? definition.environment_variable()
                                                               : "--" + definition.flag();
        }
    }
    return std::string{name};
}

std::string setting_values::print() const {
    std::string text_lines;
    for (const setting_definition& definition : definitions_) {
        const entry& value = entries_.find(definition.name)->second;
        std::string shown = value.value;
        if (definition.type == setting_type::secret && !shown.empty()) {
            shown = "(secret)";
        }
        text_lines += fmt::format("{}={} ({})\n", definition.name, shown, to_string(value.source));
    }
    return text_lines;
}

} // namespace gentianhill
