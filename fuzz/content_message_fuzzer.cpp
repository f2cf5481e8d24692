#include "gentianhill/content/content_cache.h"
#include "gentianhill/content/content_codec.h"
#include "gentianhill/content/content_messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace gentianhill;

// Messages about contents, and compressed forms, of other daemons.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::size_t text_bytes = 256;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    error reason;
    if (const std::optional<content_request> request = content_request::from_bytes(bytes, reason)) {
        content_cache contents;
        const content_reference text = contents.add(std::string(bytes));
        static_cast<void>(contents.encode(text.digest, request->bases, reason));
    }
    static_cast<void>(content_part::from_bytes(bytes, reason));
    static_cast<void>(decompress_content(bytes, "", text_bytes, reason));
    static_cast<void>(decompress_content(bytes, "a base of some length", text_bytes, reason));
    return 0;
}
