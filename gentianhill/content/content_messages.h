#pragma once

#include "gentianhill/content/content_digest.h"
#include "gentianhill/core/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Asks a daemon for the next part of a content.
struct content_request {
    /// Name of the sender.
    std::string daemon;
    content_digest wanted;
    /// Texts that the sender has, which the content may be compressed against; the preferred one first.
    std::vector<content_digest> bases;
    /// Compressed form of which the sender has the first `offset` bytes; nothing when it has none.
    std::optional<content_digest> encoding;
    std::size_t offset = 0;

    [[nodiscard]] std::string to_bytes() const;
    /// Errors: bad_value.
    [[nodiscard]] static std::optional<content_request> from_bytes(std::string_view bytes, error& reason);
};

/// Answer to a content_request.
struct content_part {
    /// The receiver has to ask again, since others are served first; all other fields are empty.
    bool is_waiting = false;
    /// Compressed form that the part belongs to.
    content_digest encoding;
    std::size_t encoding_bytes = 0;
    /// Text that is needed to decompress it; nothing when it stands alone.
    std::optional<content_digest> base;
    /// Position of `data` in the compressed form.
    std::size_t offset = 0;
    std::string data;

    [[nodiscard]] std::string to_bytes() const;
    /// Errors: bad_value.
    [[nodiscard]] static std::optional<content_part> from_bytes(std::string_view bytes, error& reason);
};

} // namespace gentianhill
