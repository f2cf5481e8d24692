#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace gentianhill::clients {

/// Bytes with which an HTTP/2 client opens its connection.
[[nodiscard]] std::string http2_opening();

/// A request of a stream whose body begins but does not end. Streams of a client have odd numbers.
[[nodiscard]] std::string unfinished_request(std::uint32_t stream, const std::string& path,
                                             std::size_t body_bytes);

} // namespace gentianhill::clients
