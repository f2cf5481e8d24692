#include "standins/platform/platform_requests.h"

#include "gentianhill/core/object_reader.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <system_error>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr std::size_t max_key_bytes = 512;
constexpr std::size_t shown_bytes = 80;
constexpr std::size_t max_hosts = 20'000;
// A value that escapes every byte is longer in the request than in its compact form.
constexpr std::size_t max_put_bytes = (1U << 20U) + 4096U;

constexpr std::string_view key_rule =
    "1 to 512 letters, digits and ._- in segments separated by single slashes";

bool has_only_key_characters(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-' ||
               c == '/';
    });
}

bool check_one_of(const std::string& value, std::string_view first, std::string_view second,
                  const std::string& path, error& reason) {
    if (value == first || value == second || reason.failed()) {
        return !reason.failed();
    }
    reason = error{error_code::bad_value, path, value, fmt::format("{} or {}", first, second)};
    return false;
}

} // namespace

std::optional<request_target> read_target(const std::string& path, error& reason) {
    request_target target;
    const std::size_t mark = path.find('?');
    target.path = path.substr(0, mark);
    if (mark == std::string::npos || mark + 1 == path.size()) {
        return target;
    }
    evkeyvalq query{};
    if (evhttp_parse_query_str(path.c_str() + mark + 1, &query) != 0) {
        reason = error{error_code::bad_value, "query", path.substr(mark + 1, shown_bytes),
                       "name=value pairs joined by &"};
        return std::nullopt;
    }
    for (const evkeyval* item = query.tqh_first; item != nullptr; item = item->next.tqe_next) {
        target.query[item->key] = item->value;
    }
    evhttp_clear_headers(&query);
    return target;
}

bool is_valid_prefix(std::string_view prefix, error& reason) {
    const bool valid = prefix.size() <= max_key_bytes && has_only_key_characters(prefix) &&
                       !prefix.starts_with('/') && prefix.find("//") == std::string_view::npos;
    if (!valid) {
        reason = error{error_code::bad_value, "prefix", std::string{prefix.substr(0, shown_bytes)},
                       "the beginning of a key"};
    }
    return valid;
}

bool is_valid_key(std::string_view key, error& reason) {
    if (key.empty() || key.ends_with('/') || !is_valid_prefix(key, reason)) {
        reason = error{error_code::bad_value, "key", std::string{key.substr(0, shown_bytes)},
                       std::string{key_rule}};
        return false;
    }
    return true;
}

std::optional<std::uint64_t> query_number(const request_target& target, std::string_view name,
                                          std::uint64_t high, error& reason) {
    const std::map<std::string, std::string, std::less<>>::const_iterator found = target.query.find(name);
    if (found == target.query.end()) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* end = found->second.data() + found->second.size();
    const std::from_chars_result parsed = std::from_chars(found->second.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value > high) {
        reason = error{error_code::out_of_range, std::string{name}, found->second.substr(0, shown_bytes),
                       fmt::format("0 to {}", high)};
        return std::nullopt;
    }
    return value;
}

std::optional<put_request> read_put(std::string_view body, error& reason) {
    std::optional<nlohmann::json> parsed = parse_json(body, max_put_bytes, reason);
    if (!parsed) {
        return std::nullopt;
    }
    object_reader reader{*parsed, "", reason};
    put_request request;
    const std::optional<std::int64_t> if_version = reader.optional_integer("if_version", 0, INT64_MAX);
    if (if_version) {
        request.if_version = static_cast<std::uint64_t>(*if_version);
    }
    request.value = reader.any("value");
    if (request.value.is_null()) {
        reader.fail(error_code::missing_field, "value", "", "this field is required");
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    const std::size_t size =
        request.value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
    if (size > max_value_bytes) {
        reason = error{error_code::too_large, "value", fmt::format("{} bytes", size),
                       fmt::format("at most {} bytes", max_value_bytes)};
        return std::nullopt;
    }
    return request;
}

std::optional<nlohmann::json> read_hosts(std::string_view body, error& reason) {
    const std::optional<nlohmann::json> parsed = parse_json(body, max_put_bytes, reason);
    if (!parsed) {
        return std::nullopt;
    }
    object_reader reader{*parsed, "", reason};
    nlohmann::json hosts = reader.array("hosts");
    if (hosts.size() > max_hosts) {
        reader.fail(error_code::out_of_range, "hosts", fmt::format("{}", hosts.size()), "at most 20000");
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const std::string path = fmt::format("hosts[{}]", i);
        object_reader host{hosts[i], path, reason};
        static_cast<void>(host.text("name"));
        static_cast<void>(host.text("address"));
        static_cast<void>(host.text("zone"));
        const std::string state = host.text("state");
        const std::string kind = host.text("kind");
        if (!host.finish() || !check_one_of(state, "live", "leaving", path + ".state", reason) ||
            !check_one_of(kind, "entry", "backend", path + ".kind", reason)) {
            return std::nullopt;
        }
    }
    return hosts;
}

} // namespace gentianhill::standins
