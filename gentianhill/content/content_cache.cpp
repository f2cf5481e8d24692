#include "gentianhill/content/content_cache.h"

#include "gentianhill/content/content_codec.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

content_reference content_cache::add(std::string text) {
    const content_reference reference{digest_of(text), text.size()};
    const auto found = std::find_if(texts_.begin(), texts_.end(), [&reference](const entry& held) {
        return held.digest == reference.digest;
    });
    if (found != texts_.end()) {
        texts_.splice(texts_.begin(), texts_, found);
        return reference;
    }
    held_bytes_ += text.size();
    texts_.push_front({reference.digest, std::make_shared<const std::string>(std::move(text))});
    while (held_bytes_ > settings_.max_bytes && texts_.size() > 1) {
        held_bytes_ -= texts_.back().text->size();
        texts_.pop_back();
    }
    return reference;
}

std::shared_ptr<const std::string> content_cache::find(const content_digest& digest) const {
    const auto found = std::find_if(texts_.begin(), texts_.end(),
                                    [&digest](const entry& held) { return held.digest == digest; });
    return found == texts_.end() ? nullptr : found->text;
}

std::vector<content_digest> content_cache::newest(std::size_t count) const {
    std::vector<content_digest> result;
    for (const entry& held : texts_) {
        if (result.size() == count) {
            break;
        }
        result.push_back(held.digest);
    }
    return result;
}

std::shared_ptr<const content_encoding>
content_cache::encode(const content_digest& digest, const std::vector<content_digest>& bases, error& reason) {
    const std::shared_ptr<const std::string> text = find(digest);
    if (text == nullptr) {
        reason = {error_code::not_found, "content", to_string(digest), "a recent content"};
        return nullptr;
    }
    const auto known = std::find_if(bases.begin(), bases.end(), [&](const content_digest& base) {
        return base != digest && find(base) != nullptr;
    });
    const std::optional<content_digest> base = known == bases.end() ? std::nullopt : std::optional(*known);
    const auto made = std::find_if(encodings_.begin(), encodings_.end(),
                                   [&](const std::shared_ptr<const content_encoding>& encoding) {
                                       return encoding->text == digest && encoding->base == base;
                                   });
    if (made != encodings_.end()) {
        encodings_.splice(encodings_.begin(), encodings_, made);
        return encodings_.front();
    }
    std::optional<std::string> bytes =
        compress_content(*text, base ? std::string_view(*find(*base)) : std::string_view(), reason);
    if (!bytes) {
        return nullptr;
    }
    const content_digest bytes_digest = digest_of(*bytes);
    encoding_bytes_ += bytes->size();
    encodings_.push_front(std::make_shared<const content_encoding>(
        content_encoding{digest, text->size(), base, std::move(*bytes), bytes_digest}));
    while (encoding_bytes_ > settings_.max_encoding_bytes && encodings_.size() > 1) {
        encoding_bytes_ -= encodings_.back()->bytes.size();
        encodings_.pop_back();
    }
    return encodings_.front();
}

} // namespace gentianhill
