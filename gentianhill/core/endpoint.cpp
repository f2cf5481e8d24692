#include "gentianhill/core/endpoint.h"

#include <event2/util.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <system_error>
#include <utility>

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

std::optional<std::vector<endpoint>> endpoint::parse_list(std::string_view text, std::string_view field,
                                                          error& reason) {
    std::vector<endpoint> result;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::optional<endpoint> parsed = parse(text.substr(0, comma), field, reason);
        if (!parsed) {
            return std::nullopt;
        }
        result.push_back(std::move(*parsed));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return result;
}

std::string endpoint::to_string() const {
    return fmt::format("{}:{}", address, port);
}

} // namespace gentianhill
