#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill::standins {

/// Path of a request taken apart.
struct request_target {
    /// Path without the query.
    std::string path;
    /// Query parameters by name, decoded.
    std::map<std::string, std::string, std::less<>> query;
};

/// Body of a PUT.
struct put_request {
    nlohmann::json value;
    /// Version that must be current; 0 if the object must not exist.
    std::optional<std::uint64_t> if_version;
};

/// Largest value of an object, in bytes of its JSON text.
constexpr std::size_t max_value_bytes = 1U << 20U;
/// Longest time that a watch is held.
constexpr duration max_watch = std::chrono::seconds{60};

/// Splits a path at the question mark. Errors: bad_value for a query that cannot be parsed.
[[nodiscard]] std::optional<request_target> read_target(const std::string& path, error& reason);
/// Checks a key: 1 to 512 letters, digits and ._- in segments separated by single slashes. Errors: bad_value.
[[nodiscard]] bool is_valid_key(std::string_view key, error& reason);
/// Checks a prefix of keys; it may be empty or end with a slash. Errors: bad_value.
[[nodiscard]] bool is_valid_prefix(std::string_view prefix, error& reason);
/// Number in a query parameter; absent if there is none. Errors: bad_value, out_of_range.
[[nodiscard]] std::optional<std::uint64_t> query_number(const request_target& target, std::string_view name,
                                                        std::uint64_t high, error& reason);
/// Reads the body of a PUT. Errors: as of object_reader, too_large.
[[nodiscard]] std::optional<put_request> read_put(std::string_view body, error& reason);
/// Checks the list of POST /control/hosts and returns it. Errors: as of object_reader.
[[nodiscard]] std::optional<nlohmann::json> read_hosts(std::string_view body, error& reason);

} // namespace gentianhill::standins
