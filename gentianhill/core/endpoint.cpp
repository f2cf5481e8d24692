#include "gentianhill/core/endpoint.h"

#include <event2/util.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>
#include <system_error>

namespace gentianhill {

std::optional<endpoint> endpoint::parse(std::string_view text, std::string_view field, error& reason) {
    const error refused{error_code::bad_value, std::string{field}, std::string{text.substr(0, 64)},
                        "an IPv4 number and a port, such as 127.0.0.1:7400"};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        reason = refused;
        return std::nullopt;
    }
    endpoint result;
    result.address = std::string{text.substr(0, colon)};
    in_addr parsed{};
    if (evutil_inet_pton(AF_INET, result.address.c_str(), &parsed) != 1) {
        reason = refused;
        return std::nullopt;
    }
    const std::string_view port_text = text.substr(colon + 1);
    const char* end = port_text.data() + port_text.size();
    const std::from_chars_result number = std::from_chars(port_text.data(), end, result.port);
    if (number.ec != std::errc{} || number.ptr != end || result.port == 0) {
        reason = refused;
        return std::nullopt;
    }
    return result;
}

std::string endpoint::to_string() const {
    return fmt::format("{}:{}", address, port);
}

} // namespace gentianhill
