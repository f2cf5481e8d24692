#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace gentianhill {

/// One key=value pair of a log line.
struct log_field {
    log_field(std::string_view field_name, std::string_view field_value)
        : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, const char* field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, const std::string& field_value)
        : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, std::same_as<bool> auto field_value)
        : name(field_name), value(field_value ? "true" : "false") {}
    template <std::integral number>
    requires(!std::same_as<number, bool>) log_field(std::string_view field_name, number field_value)
        : name(field_name), value(std::to_string(field_value)) {}
    log_field(std::string_view field_name, double field_value);

    /// Name of the field, in snake case.
    std::string_view name;
    /// Value before escaping.
    std::string value;
};

} // namespace gentianhill
