#pragma once

#include "gentianhill/core/error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// An IP number and a TCP port.
struct endpoint {
    /// IPv4 number, such as 127.0.0.1.
    std::string address;
    /// TCP port, 1 to 65535.
    std::uint16_t port = 0;

    /// Parses "address:port". Errors: bad_value, naming `field`.
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text, std::string_view field,
                                                       error& reason);
    /// "address:port".
    [[nodiscard]] std::string to_string() const;

    friend std::strong_ordering operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace gentianhill
