#include "gentianhill/core/hybrid_timestamp.h"

#include <fmt/format.h>

#include <charconv>
#include <system_error>

namespace gentianhill {

namespace {

template <typename number>
bool parse_whole(std::string_view text, number& result) {
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

std::optional<hybrid_timestamp> hybrid_timestamp::parse(std::string_view text, std::string_view field,
                                                        error& reason) {
    const std::size_t dot = text.find('.');
    hybrid_timestamp result;
    if (dot == std::string_view::npos || !parse_whole(text.substr(0, dot), result.wall_ms) ||
        !parse_whole(text.substr(dot + 1), result.counter) || result.wall_ms < 0) {
        reason = error{error_code::bad_value, std::string{field}, std::string{text.substr(0, 64)},
                       "milliseconds since the Unix epoch, a dot and a counter, such as 1700000000000.0"};
        return std::nullopt;
    }
    return result;
}

std::string hybrid_timestamp::to_string() const {
    return fmt::format("{}.{}", wall_ms, counter);
}

} // namespace gentianhill
