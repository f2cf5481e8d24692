#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/setting_definition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Where the value of a setting comes from; later ones win.
enum class setting_source : std::uint8_t { default_value, environment, flag };

/// Name of a source.
[[nodiscard]] std::string_view to_string(setting_source source);

/// Environment variables of a process by name.
using environment_map = std::map<std::string, std::string, std::less<>>;

/// Environment of this process, restricted to names that start with GENTIANHILL_.
[[nodiscard]] environment_map process_environment();

/// Values of all settings with their sources, each checked against its definition.
class setting_values {
public:
    /// Reads flags and environment variables. `definitions` must outlive the result.
    /// Errors: unknown_field (no such flag or GENTIANHILL_ variable), missing_field, bad_value, out_of_range;
    /// the field is the flag or the variable that holds the value.
    [[nodiscard]] static std::optional<setting_values> read(std::span<const setting_definition> definitions,
                                                            const std::vector<std::string>& arguments,
                                                            const environment_map& environment,
                                                            error& reason);

    /// Value as text; asserts that the setting exists.
    [[nodiscard]] const std::string& text(std::string_view name) const;
    /// Value of an integer setting.
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    /// Value of a number setting.
    [[nodiscard]] double number(std::string_view name) const;
    /// Source of the value.
    [[nodiscard]] setting_source source(std::string_view name) const;
    /// Flag or environment variable to name in an error about the setting.
    [[nodiscard]] std::string origin(std::string_view name) const;
    /// One line per setting: name, value and source. Secrets are not shown.
    [[nodiscard]] std::string print() const;

private:
    struct entry {
        std::string value;
        setting_source source = setting_source::default_value;
    };

    std::span<const setting_definition> definitions_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace gentianhill
