#include "gentianhill/content/content_codec.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace gentianhill {

namespace {

constexpr int compression_level = 3;
/// A text and its base together, in bytes; bounds the memory of both sides.
constexpr std::size_t max_window_bytes = 32U << 20U;

struct context_deleter {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// Logarithm of a window that reaches from the end of a text to the beginning of its base.
int window_log(std::size_t text_bytes, std::size_t base_bytes) {
    const int needed = static_cast<int>(std::bit_width(text_bytes + base_bytes));
    return std::max(needed, ZSTD_cParam_getBounds(ZSTD_c_windowLog).lowerBound);
}

} // namespace

std::size_t max_compressed_bytes(std::size_t text_bytes) {
    return ZSTD_compressBound(text_bytes);
}

std::optional<std::string> compress_content(std::string_view text, std::string_view base, error& reason) {
    if (text.size() + base.size() > max_window_bytes) {
        reason = {error_code::too_large, "content", std::to_string(text.size() + base.size()),
                  std::to_string(max_window_bytes)};
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(text.size(), base.size()));
        // Finds what a base of any size and the text have in common, at any distance.
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string bytes(max_compressed_bytes(text.size()), '\0');
    const std::size_t count =
        ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    if (ZSTD_isError(count) != 0) {
        reason = {error_code::unexpected, "content", ZSTD_getErrorName(count), ""};
        return std::nullopt;
    }
    bytes.resize(count);
    bytes.shrink_to_fit();
    return bytes;
}

std::optional<std::string> decompress_content(std::string_view bytes, std::string_view base, std::size_t size,
                                              error& reason) {
    if (size + base.size() > max_window_bytes) {
        reason = {error_code::too_large, "content", std::to_string(size + base.size()),
                  std::to_string(max_window_bytes)};
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log(max_window_bytes, 0));
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const std::size_t count =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(count) != 0 || count != size) {
        reason = {error_code::bad_value, "content",
                  ZSTD_isError(count) != 0 ? ZSTD_getErrorName(count) : std::to_string(count),
                  std::to_string(size)};
        return std::nullopt;
    }
    return text;
}

} // namespace gentianhill
