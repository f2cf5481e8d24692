#pragma once

#include "gentianhill/core/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace gentianhill {

/// Arrays and objects that a JSON document may nest.
constexpr std::size_t max_json_nesting = 64;

/// Parses JSON text into a value. Errors: bad_json; too_large for more bytes, or more than `max_nesting`
/// nested arrays and objects.
[[nodiscard]] std::optional<nlohmann::json> parse_json(std::string_view text, std::size_t max_bytes,
                                                       error& reason,
                                                       std::size_t max_nesting = max_json_nesting);

/// JSON form of an error: {"code", "field", "value", "allowed"}.
[[nodiscard]] nlohmann::json to_json(const error& reason);

/// Error read from its JSON form; code `unexpected` if the form is not one of an error.
[[nodiscard]] error error_from_json(const nlohmann::json& value);

/// Reads the members of a JSON object with checks of presence, type and range.
/// The first failure is kept in `reason` with the path of the field; later reads return neutral values.
class object_reader {
public:
    /// `path` is the path of the object itself, empty at the root; `reason` must outlive the reader.
    object_reader(const nlohmann::json& value, std::string path, error& reason);

    /// Required string of at most `max_length` bytes, not empty.
    [[nodiscard]] std::string text(std::string_view name, std::size_t max_length = default_text_limit);
    /// String that may be absent.
    [[nodiscard]] std::optional<std::string> optional_text(std::string_view name,
                                                           std::size_t max_length = default_text_limit);
    /// Required integer within [low, high].
    [[nodiscard]] std::int64_t integer(std::string_view name, std::int64_t low, std::int64_t high);
    /// Integer within [low, high] that may be absent.
    [[nodiscard]] std::optional<std::int64_t> optional_integer(std::string_view name, std::int64_t low,
                                                               std::int64_t high);
    /// Required number within [low, high].
    [[nodiscard]] double number(std::string_view name, double low, double high);
    /// Boolean; `fallback` when absent.
    [[nodiscard]] bool boolean(std::string_view name, bool fallback);
    /// Required array, or an empty one on failure.
    [[nodiscard]] const nlohmann::json& array(std::string_view name);
    /// Required object, or an empty one on failure.
    [[nodiscard]] const nlohmann::json& object(std::string_view name);
    /// Member of any type, or null when it is absent.
    [[nodiscard]] const nlohmann::json& any(std::string_view name);

    /// True when no read has failed so far.
    [[nodiscard]] bool ok() const { return !reason_.failed(); }
    /// Fails on members that were never asked for; returns ok().
    bool finish();
    /// Records a failure of a member, unless one is recorded already.
    void fail(error_code code, std::string_view name, std::string value, std::string allowed);
    /// Path of a member.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    static constexpr std::size_t default_text_limit = 4096;

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view name, bool required);
    [[nodiscard]] bool is_valid_text(const nlohmann::json& found, std::string_view name,
                                     std::size_t max_length);

    const nlohmann::json& value_;
    std::string path_;
    error& reason_;
    std::set<std::string, std::less<>> read_;
};

} // namespace gentianhill
