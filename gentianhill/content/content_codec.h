#pragma once

#include "gentianhill/core/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Compresses a text (Zstandard). With a base that is not empty, parts that the base holds too cost next to
/// nothing, and decompressing needs the same base. Errors: too_large.
[[nodiscard]] std::optional<std::string> compress_content(std::string_view text, std::string_view base,
                                                          error& reason);

/// Size of the compressed form of a text at most, in bytes.
[[nodiscard]] std::size_t max_compressed_bytes(std::size_t text_bytes);

/// Reverses compress_content() for a text of `size` bytes. Errors: bad_value for bytes that are not of such a
/// text or need another base.
[[nodiscard]] std::optional<std::string> decompress_content(std::string_view bytes, std::string_view base,
                                                            std::size_t size, error& reason);

} // namespace gentianhill
