#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Identifies a text by its bytes (XXH3, 128 bits). Protects against mistakes, not against a forger.
struct content_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const content_digest&, const content_digest&) = default;
};

/// Digest of a text.
[[nodiscard]] content_digest digest_of(std::string_view text);

/// 32 hexadecimal digits.
[[nodiscard]] std::string to_string(const content_digest& digest);

/// Reads the form of to_string(); nothing for any other text.
[[nodiscard]] std::optional<content_digest> read_digest(std::string_view text);

/// A text that is named instead of being sent.
struct content_reference {
    content_digest digest;
    /// Size of the text, in bytes.
    std::size_t bytes = 0;

    friend bool operator==(const content_reference&, const content_reference&) = default;
};

} // namespace gentianhill
