#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t shown_value_limit = 80;

const nlohmann::json empty_array = nlohmann::json::array();
const nlohmann::json empty_object = nlohmann::json::object();
const nlohmann::json null_value;

std::string shorten(const nlohmann::json& value) {
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > shown_value_limit) {
        text.resize(shown_value_limit);
        text += "...";
    }
    return text;
}

/// True when no more than `limit` arrays and objects are open at once; exact for valid JSON.
bool is_nested_at_most(std::string_view text, std::size_t limit) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            // Skips the character after a backslash, which may be a quote.
            i += c == '\\' ? 1U : 0U;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > limit) {
                return false;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

std::string text_member(const nlohmann::json& value, const char* name) {
    const nlohmann::json::const_iterator found = value.find(name);
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text, std::size_t max_bytes, error& reason,
                                         std::size_t max_nesting) {
    if (text.size() > max_bytes) {
        reason = error{error_code::too_large, "body", fmt::format("{} bytes", text.size()),
                       fmt::format("at most {} bytes", max_bytes)};
        return std::nullopt;
    }
    // Serializing a value recurses; 500,000 nested arrays, a body of 1 MB, overflowed the default stack.
    if (!is_nested_at_most(text, max_nesting)) {
        reason = error{error_code::too_large, "body", fmt::format("nested more than {} deep", max_nesting),
                       fmt::format("at most {} nested arrays and objects", max_nesting)};
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        reason = error{error_code::bad_json, "body", std::string{text.substr(0, shown_value_limit)},
                       "a JSON document in UTF-8"};
        return std::nullopt;
    }
    return value;
}

nlohmann::json to_json(const error& reason) {
    return nlohmann::json{{"code", std::string{to_string(reason.code)}},
                          {"field", reason.field},
                          {"value", reason.value},
                          {"allowed", reason.allowed}};
}

error error_from_json(const nlohmann::json& value) {
    if (!value.is_object()) {
        return error{error_code::unexpected, "error", shorten(value), "an error object"};
    }
    return error{error_code_from(text_member(value, "code")), text_member(value, "field"),
                 text_member(value, "value"), text_member(value, "allowed")};
}

object_reader::object_reader(const nlohmann::json& value, std::string path, error& reason)
    : value_(value), path_(std::move(path)), reason_(reason) {
    if (!value_.is_object()) {
        reason_ = error{error_code::bad_type, path_.empty() ? "body" : path_, shorten(value_), "an object"};
    }
}

std::string object_reader::path_of(std::string_view name) const {
    // A member may have an empty name, which must still be visible in an error.
    const std::string_view shown = name.empty() ? "\"\"" : name;
    return path_.empty() ? std::string{shown} : fmt::format("{}.{}", path_, shown);
}

void object_reader::fail(error_code code, std::string_view name, std::string value, std::string allowed) {
    if (!reason_.failed()) {
        reason_ = error{code, path_of(name), std::move(value), std::move(allowed)};
    }
}

const nlohmann::json* object_reader::find(std::string_view name, bool required) {
    if (!ok()) {
        return nullptr;
    }
    read_.emplace(name);
    const nlohmann::json::const_iterator found = value_.find(std::string{name});
    if (found != value_.end()) {
        return &*found;
    }
    if (required) {
        fail(error_code::missing_field, name, "", "this field is required");
    }
    return nullptr;
}

bool object_reader::is_valid_text(const nlohmann::json& found, std::string_view name,
                                  std::size_t max_length) {
    if (!found.is_string()) {
        fail(error_code::bad_type, name, shorten(found), "a string");
        return false;
    }
    const std::string& value = found.get_ref<const std::string&>();
    if (value.empty() || value.size() > max_length) {
        fail(error_code::out_of_range, name, shorten(found), fmt::format("1 to {} bytes", max_length));
        return false;
    }
    return true;
}

std::string object_reader::text(std::string_view name, std::size_t max_length) {
    const nlohmann::json* found = find(name, true);
    if (found == nullptr || !is_valid_text(*found, name, max_length)) {
        return {};
    }
    return found->get<std::string>();
}

std::optional<std::string> object_reader::optional_text(std::string_view name, std::size_t max_length) {
    const nlohmann::json* found = find(name, false);
    if (found == nullptr || found->is_null() || !is_valid_text(*found, name, max_length)) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::int64_t object_reader::integer(std::string_view name, std::int64_t low, std::int64_t high) {
    const std::optional<std::int64_t> found = optional_integer(name, low, high);
    if (!found && ok()) {
        fail(error_code::missing_field, name, "", "this field is required");
    }
    return found.value_or(low);
}

std::optional<std::int64_t> object_reader::optional_integer(std::string_view name, std::int64_t low,
                                                            std::int64_t high) {
    const nlohmann::json* found = find(name, false);
    if (found == nullptr || found->is_null()) {
        return std::nullopt;
    }
    if (!found->is_number_integer()) {
        fail(error_code::bad_type, name, shorten(*found), "an integer");
        return std::nullopt;
    }
    // An unsigned value above the signed range would wrap to a negative number.
    const bool wraps =
        found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t value = wraps ? INT64_MAX : found->get<std::int64_t>();
    if (wraps || value < low || value > high) {
        fail(error_code::out_of_range, name, shorten(*found), fmt::format("{} to {}", low, high));
        return std::nullopt;
    }
    return value;
}

double object_reader::number(std::string_view name, double low, double high) {
    const nlohmann::json* found = find(name, true);
    if (found == nullptr) {
        return low;
    }
    if (!found->is_number()) {
        fail(error_code::bad_type, name, shorten(*found), "a number");
        return low;
    }
    const double value = found->get<double>();
    if (!(value >= low && value <= high)) {
        fail(error_code::out_of_range, name, shorten(*found), fmt::format("{} to {}", low, high));
        return low;
    }
    return value;
}

bool object_reader::boolean(std::string_view name, bool fallback) {
    const nlohmann::json* found = find(name, false);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_boolean()) {
        fail(error_code::bad_type, name, shorten(*found), "true or false");
        return fallback;
    }
    return found->get<bool>();
}

const nlohmann::json& object_reader::array(std::string_view name) {
    const nlohmann::json* found = find(name, true);
    if (found == nullptr) {
        return empty_array;
    }
    if (!found->is_array()) {
        fail(error_code::bad_type, name, shorten(*found), "an array");
        return empty_array;
    }
    return *found;
}

const nlohmann::json& object_reader::object(std::string_view name) {
    const nlohmann::json* found = find(name, true);
    if (found == nullptr) {
        return empty_object;
    }
    if (!found->is_object()) {
        fail(error_code::bad_type, name, shorten(*found), "an object");
        return empty_object;
    }
    return *found;
}

const nlohmann::json& object_reader::any(std::string_view name) {
    const nlohmann::json* found = find(name, false);
    return found == nullptr ? null_value : *found;
}

bool object_reader::finish() {
    if (!ok()) {
        return false;
    }
    for (nlohmann::json::const_iterator member = value_.begin(); member != value_.end(); ++member) {
        if (read_.find(member.key()) == read_.end()) {
            fail(error_code::unknown_field, member.key(), shorten(member.value()), "no such field here");
            return false;
        }
    }
    return true;
}

} // namespace gentianhill
