#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Member of a JSON object, as text.
struct json_member {
    /// Name between its quotes, with escapes as written.
    std::string_view name;
    std::string_view value;
};

/// Splits the text of a JSON object into its members without parsing their values, so that one that cannot be
/// parsed does not hide the others. Takes any bytes and any depth of nesting inside a value. Nothing if the
/// text is not an object or its brackets do not match.
[[nodiscard]] std::optional<std::vector<json_member>> split_json_object(std::string_view text);

/// The same for the elements of a JSON array.
[[nodiscard]] std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);

} // namespace gentianhill
