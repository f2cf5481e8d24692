#include "tests/clients/peer_frames.h"

#include <algorithm>

namespace gentianhill::clients {

namespace {

constexpr std::size_t max_frame_bytes = 16384;
constexpr char type_data = 0;
constexpr char type_headers = 1;
constexpr char type_settings = 4;
constexpr char flag_ack = 1;
constexpr char flag_end_headers = 4;
// Fields of the static table of HPACK.
constexpr char method_post = '\x83';
constexpr char scheme_http = '\x86';
constexpr char literal_path = '\x04';
constexpr char literal_authority = '\x01';

char byte_of(std::size_t value, unsigned shift) {
    return static_cast<char>((value >> shift) & 0xffU);
}

std::string frame(char type, char flags, std::uint32_t stream, const std::string& payload) {
    std::string result;
    for (const unsigned shift : {16U, 8U, 0U}) {
        result += byte_of(payload.size(), shift);
    }
    result += type;
    result += flags;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        result += byte_of(stream, shift);
    }
    return result + payload;
}

std::string literal(char name, const std::string& value) {
    return std::string{name, static_cast<char>(value.size())} + value;
}

} // namespace

std::string http2_opening() {
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(type_settings, 0, 0, "") +
           frame(type_settings, flag_ack, 0, "");
}

std::string unfinished_request(std::uint32_t stream, const std::string& path, std::size_t body_bytes) {
    std::string result = frame(type_headers, flag_end_headers, stream,
                               std::string{method_post, scheme_http} + literal(literal_path, path) +
                                   literal(literal_authority, "a"));
    for (std::size_t left = body_bytes; left > 0;) {
        const std::size_t length = std::min(left, max_frame_bytes);
        result += frame(type_data, 0, stream, std::string(length, ' '));
        left -= length;
    }
    return result;
}

} // namespace gentianhill::clients
