#include "gentianhill/core/byte_codec.h"

namespace gentianhill {

namespace {

constexpr unsigned bits_per_byte = 7;
constexpr unsigned continuation = 0x80;
constexpr unsigned low_bits = 0x7f;
constexpr unsigned max_shift = 63;

} // namespace

void byte_writer::integer(std::uint64_t value) {
    while (value >= continuation) {
        bytes_ += static_cast<char>((value & low_bits) | continuation);
        value >>= bits_per_byte;
    }
    bytes_ += static_cast<char>(value);
}

void byte_writer::text(std::string_view value) {
    integer(value.size());
    bytes_ += value;
}

std::uint64_t byte_reader::integer(std::uint64_t high) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; ok_; shift += bits_per_byte) {
        if (rest_.empty() || shift > max_shift) {
            break;
        }
        const std::uint64_t byte = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        const std::uint64_t bits = byte & low_bits;
        // The last byte of the longest integer holds a single bit.
        if (shift == max_shift && bits > 1) {
            break;
        }
        value |= bits << shift;
        if (byte < continuation) {
            if (value > high) {
                break;
            }
            return value;
        }
    }
    ok_ = false;
    return 0;
}

std::string byte_reader::text(std::size_t max_length) {
    const std::uint64_t length = integer(max_length);
    if (!ok_ || length > rest_.size()) {
        ok_ = false;
        return {};
    }
    std::string value(rest_.substr(0, length));
    rest_.remove_prefix(length);
    return value;
}

} // namespace gentianhill
