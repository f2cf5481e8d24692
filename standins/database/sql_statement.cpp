#include "standins/database/sql_statement.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

namespace gentianhill::standins {

namespace {

constexpr std::size_t max_statements = 1000;
constexpr std::size_t max_sql_bytes = 64U << 10U;

bool check_params(const nlohmann::json& params, const std::string& path, error& reason) {
    for (std::size_t i = 0; i < params.size(); ++i) {
        const nlohmann::json& param = params[i];
        const bool wraps =
            param.is_number_unsigned() && param.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
        if (param.is_structured() || wraps) {
            reason = error{wraps ? error_code::out_of_range : error_code::bad_type,
                           fmt::format("{}.params[{}]", path, i), param.type_name(),
                           "null, a boolean, a number or a string; integers in 64 bits with sign"};
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<std::vector<sql_statement>> read_statements(const nlohmann::json& value, std::string_view path,
                                                          error& reason) {
    if (!value.is_array() || value.size() > max_statements) {
        reason = error{value.is_array() ? error_code::out_of_range : error_code::bad_type, std::string{path},
                       value.type_name(), fmt::format("an array of at most {} statements", max_statements)};
        return std::nullopt;
    }
    std::vector<sql_statement> statements;
    statements.reserve(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string item = fmt::format("{}[{}]", path, i);
        object_reader reader{value[i], item, reason};
        sql_statement statement;
        statement.sql = reader.text("sql", max_sql_bytes);
        if (!reader.any("params").is_null()) {
            statement.params = reader.array("params");
        }
        if (!reader.finish() || !check_params(statement.params, item, reason)) {
            return std::nullopt;
        }
        statements.push_back(std::move(statement));
    }
    return statements;
}

nlohmann::json to_json(const std::vector<sql_statement>& statements) {
    nlohmann::json result = nlohmann::json::array();
    for (const sql_statement& statement : statements) {
        result.push_back(nlohmann::json{{"sql", statement.sql}, {"params", statement.params}});
    }
    return result;
}

std::size_t size_of(const std::vector<sql_statement>& statements) {
    constexpr std::size_t bytes_per_item = 64;
    std::size_t size = bytes_per_item;
    for (const sql_statement& statement : statements) {
        size += statement.sql.size() + bytes_per_item;
        for (const nlohmann::json& param : statement.params) {
            size += bytes_per_item;
            size += param.is_string() ? param.get_ref<const std::string&>().size() : 0;
        }
    }
    return size;
}

} // namespace gentianhill::standins
