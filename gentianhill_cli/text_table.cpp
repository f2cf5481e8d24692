#include "gentianhill_cli/text_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

text_table::text_table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row) {
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

std::string text_table::to_string() const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const std::vector<std::string>& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const std::vector<std::string>& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += fmt::format("{:<{}}  ", row[column], widths[column]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string cell_text(const nlohmann::json& value) {
    if (value.is_null()) {
        return "-";
    }
    std::string text = value.is_string()
                           ? value.get<std::string>()
                           : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // Answers are input: an escape sequence must not reach the terminal.
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return (character >= '\0' && character < ' ') || character == '\x7f'; }, ' ');
    return text.empty() ? "-" : text;
}

std::string cell(const nlohmann::json& object, std::string_view name) {
    if (!object.is_object()) {
        return "-";
    }
    const nlohmann::json::const_iterator found = object.find(std::string{name});
    return found == object.end() ? "-" : cell_text(*found);
}

std::string pretty(const nlohmann::json& value) {
    return value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace gentianhill
