#pragma once

#include "gentianhill/content/content_digest.h"
#include "gentianhill/core/error.h"

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of a cache of contents.
struct content_cache_settings {
    /// Texts kept, in bytes; the newest one is kept whatever its size.
    std::size_t max_bytes = 8U << 20U;
    /// Compressed forms kept, in bytes; the one used last is kept whatever its size.
    std::size_t max_encoding_bytes = 2U << 20U;
};

/// Compressed form of a text.
struct content_encoding {
    content_digest text;
    std::size_t text_bytes = 0;
    /// Text that is needed to decompress it; nothing when it stands alone.
    std::optional<content_digest> base;
    std::string bytes;
    /// Identifies `bytes`, so that parts of two forms are never put together.
    content_digest digest;
};

/// Recent texts by their digests, and their compressed forms, each of which is made once for all receivers.
class content_cache {
public:
    explicit content_cache(const content_cache_settings& settings = {}) : settings_(settings) {}

    /// Adds a text, or marks it as used now.
    content_reference add(std::string text);
    /// Returns a text, or null; it stays valid when it leaves the cache.
    [[nodiscard]] std::shared_ptr<const std::string> find(const content_digest& digest) const;
    /// Digests of at most `count` texts, the ones added last first.
    [[nodiscard]] std::vector<content_digest> newest(std::size_t count) const;
    /// Compressed form of a text for a receiver that has `bases`, of which the first known one is used. Null
    /// if the text is not in the cache or can't be compressed.
    [[nodiscard]] std::shared_ptr<const content_encoding>
    encode(const content_digest& digest, const std::vector<content_digest>& bases, error& reason);

private:
    struct entry {
        content_digest digest;
        std::shared_ptr<const std::string> text;
    };

    content_cache_settings settings_;
    /// Last added first.
    std::list<entry> texts_;
    std::size_t held_bytes_ = 0;
    /// Last used first.
    std::list<std::shared_ptr<const content_encoding>> encodings_;
    std::size_t encoding_bytes_ = 0;
};

} // namespace gentianhill
