#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Rows of text in aligned columns.
class text_table {
public:
    explicit text_table(std::vector<std::string> header);

    /// Adds a row; missing cells are empty.
    void add(std::vector<std::string> row);
    /// All rows below the header.
    [[nodiscard]] std::string to_string() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Text of a member for a table cell: strings without quotes, "-" when it is absent or null.
[[nodiscard]] std::string cell(const nlohmann::json& object, std::string_view name);

/// Text of a value for a table cell. Control characters are replaced.
[[nodiscard]] std::string cell_text(const nlohmann::json& value);

/// JSON text with two spaces of indentation.
[[nodiscard]] std::string pretty(const nlohmann::json& value);

} // namespace gentianhill
