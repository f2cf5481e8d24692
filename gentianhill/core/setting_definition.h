#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Form of the value of a setting.
enum class setting_type : std::uint8_t {
    name,
    secret,
    choice,
    integer,
    /// Whole number or decimal fraction.
    number,
    address,
    address_list,
    peer_list,
};

/// Name of a type as it appears in help and documentation.
[[nodiscard]] std::string_view to_string(setting_type type);

/// One setting of the daemon. Help text, checks and docs/settings.md are made from these definitions.
struct setting_definition {
    /// Name in snake case; the flag is the same with hyphens.
    std::string name;
    /// Form of the value.
    setting_type type = setting_type::name;
    /// Value when neither flag nor environment variable is given.
    std::string default_value;
    /// True when there is no usable default.
    bool required = false;
    /// Unit of an integer or a number; empty when it has none.
    std::string unit;
    /// Range of an integer or a number, or of the length of a secret in bytes; both ends included.
    std::int64_t low = 0;
    std::int64_t high = 0;
    /// Values allowed for a choice.
    std::vector<std::string> choices;
    /// What the setting does.
    std::string help;

    /// Name of the environment variable, such as GENTIANHILL_PEER_LISTEN.
    [[nodiscard]] std::string environment_variable() const;
    /// Name of the flag without leading hyphens, such as peer-listen.
    [[nodiscard]] std::string flag() const;
    /// What values are accepted, for errors, help and documentation.
    [[nodiscard]] std::string allowed() const;
};

/// Definition of an integer setting with a default and a range, both ends included.
[[nodiscard]] setting_definition make_integer_setting(std::string_view name, std::int64_t value,
                                                      std::int64_t low, std::int64_t high,
                                                      std::string_view unit, std::string_view help);

/// Definition of a number setting with a default and a range, both ends included.
[[nodiscard]] setting_definition make_number_setting(std::string_view name, std::string_view value,
                                                     std::int64_t low, std::int64_t high,
                                                     std::string_view unit, std::string_view help);

/// Help text with one flag per setting.
[[nodiscard]] std::string settings_help(std::span<const setting_definition> definitions);

/// Text of docs/settings.md.
[[nodiscard]] std::string settings_page(std::span<const setting_definition> definitions);

} // namespace gentianhill
