#pragma once

#include "gentianhill/core/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill::standins {

/// One SQL statement with its positional parameters.
struct sql_statement {
    /// Text with ? for each parameter.
    std::string sql;
    /// Array of null, booleans, numbers and strings.
    nlohmann::json params = nlohmann::json::array();
};

/// Reads an array of {"sql", "params"}; `path` is the field named in errors.
/// Errors: bad_type, missing_field, unknown_field, out_of_range, bad_value.
[[nodiscard]] std::optional<std::vector<sql_statement>> read_statements(const nlohmann::json& value,
                                                                        std::string_view path, error& reason);

/// JSON form of statements, as read by read_statements().
[[nodiscard]] nlohmann::json to_json(const std::vector<sql_statement>& statements);

/// Approximate size of statements in bytes, at least 1.
[[nodiscard]] std::size_t size_of(const std::vector<sql_statement>& statements);

} // namespace gentianhill::standins
