#pragma once

#include "gentianhill/core/error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

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
    /// Parses endpoints that are separated by commas; none in an empty text. Errors: bad_value, naming
    /// `field`.
    [[nodiscard]] static std::optional<std::vector<endpoint>>
    parse_list(std::string_view text, std::string_view field, error& reason);
    /// "address:port".
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    // Written out: clang-tidy 14 reports a literal 0 in the defaulted operator (modernize-use-nullptr).
    friend std::strong_ordering operator<=>(const endpoint& a, const endpoint& b) {
        return std::tie(a.address, a.port) <=> std::tie(b.address, b.port);
    }
};

} // namespace gentianhill
