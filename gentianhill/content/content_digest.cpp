#include "gentianhill/content/content_digest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace gentianhill {

namespace {

constexpr std::size_t digits_of_half = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> read_half(std::string_view text) {
    std::uint64_t value = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    const bool is_valid = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return is_valid ? std::optional(value) : std::nullopt;
}

} // namespace

content_digest digest_of(std::string_view text) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::string to_string(const content_digest& digest) {
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

std::optional<content_digest> read_digest(std::string_view text) {
    if (text.size() != 2 * digits_of_half) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> high = read_half(text.substr(0, digits_of_half));
    const std::optional<std::uint64_t> low = read_half(text.substr(digits_of_half));
    return high && low ? std::optional(content_digest{*high, *low}) : std::nullopt;
}

} // namespace gentianhill
