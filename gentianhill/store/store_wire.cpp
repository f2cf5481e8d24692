#include "gentianhill/store/store_wire.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cstdint>

namespace gentianhill::store_wire {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_precondition_failed = 412;
constexpr int first_server_error = 500;

const std::string objects_path = "/v1/objects/";

/// Percent-encodes all characters but unreserved ones and slashes.
std::string percent_encode(std::string_view text) {
    std::string encoded;
    for (const char symbol : text) {
        const unsigned char byte = static_cast<unsigned char>(symbol);
        if (std::isalnum(byte) != 0 || std::string_view{"-._~/"}.find(symbol) != std::string_view::npos) {
            encoded += symbol;
        } else {
            encoded += fmt::format("%{:02X}", byte);
        }
    }
    return encoded;
}

/// Error for a status that the call does not expect.
error status_error(const http2::response& reply) {
    return error{error_code::platform_unavailable, "status", std::to_string(reply.status), "200"};
}

/// True if the service is overloaded or failed.
bool is_server_failure(int status) {
    constexpr int too_many_requests = 429;
    return status >= first_server_error || status == too_many_requests;
}

std::optional<nlohmann::json> parse_object(const http2::response& reply, std::size_t max_bytes,
                                           error& reason) {
    std::optional<nlohmann::json> body = parse_json(reply.body, max_bytes, reason);
    if (body && !body->is_object()) {
        reason = error{error_code::bad_type, "body", body->type_name(), "an object"};
        return std::nullopt;
    }
    return body;
}

std::optional<std::uint64_t> read_era(object_reader& reader) {
    const std::optional<std::int64_t> era = reader.optional_integer("era", 0, INT64_MAX);
    return era ? std::optional{static_cast<std::uint64_t>(*era)} : std::nullopt;
}

/// Era in a response whose other content is not parsed.
std::optional<std::uint64_t> parse_era(const http2::response& reply, std::size_t max_bytes) {
    error ignored;
    const std::optional<nlohmann::json> body = parse_object(reply, max_bytes, ignored);
    if (!body) {
        return std::nullopt;
    }
    object_reader reader{*body, "", ignored};
    return read_era(reader);
}

std::uint64_t required_unsigned(object_reader& reader, std::string_view name) {
    return static_cast<std::uint64_t>(reader.integer(name, 0, INT64_MAX));
}

stored_object parse_stored_object(const nlohmann::json& value, const std::string& path, error& reason) {
    object_reader reader{value, path, reason};
    stored_object object;
    object.key = reader.text("key");
    object.version = required_unsigned(reader, "version");
    if (!reader.boolean("deleted", false)) {
        object.value = reader.any("value");
    }
    return object;
}

std::vector<stored_object> parse_stored_objects(object_reader& reader, std::string_view name, error& reason) {
    std::vector<stored_object> objects;
    const nlohmann::json& items = reader.array(name);
    for (std::size_t i = 0; i < items.size() && !reason.failed(); ++i) {
        objects.push_back(parse_stored_object(items[i], fmt::format("{}[{}]", name, i), reason));
    }
    std::sort(objects.begin(), objects.end(), [](const stored_object& left, const stored_object& right) {
        return left.version < right.version;
    });
    return objects;
}

listed_host parse_host(const nlohmann::json& value, const std::string& path, error& reason) {
    object_reader reader{value, path, reason};
    listed_host host;
    host.name = reader.text("name");
    host.zone = reader.text("zone");
    host.address = reader.optional_text("address").value_or("");
    const std::optional<host_role> role = parse_host_role(reader.text("kind"));
    const std::optional<host_state> state = parse_host_state(reader.text("state"));
    if (!role) {
        reader.fail(error_code::bad_value, "kind", "", "entry or backend");
    }
    if (!state) {
        reader.fail(error_code::bad_value, "state", "", "live or leaving");
    }
    host.role = role.value_or(host_role::entry_host);
    host.state = state.value_or(host_state::live);
    return host;
}

/// Version in the response to a write, or 0 if there is none.
std::uint64_t parse_version(const http2::response& reply, std::size_t max_bytes) {
    error ignored;
    const std::optional<nlohmann::json> body = parse_object(reply, max_bytes, ignored);
    if (!body) {
        return 0;
    }
    object_reader reader{*body, "", ignored};
    return static_cast<std::uint64_t>(reader.optional_integer("version", 0, INT64_MAX).value_or(0));
}

store_result to_write_failure(const error& reason) {
    store_result result;
    result.outcome =
        certainly_not_processed(reason.code) ? store_outcome::platform_unavailable : store_outcome::unknown;
    result.reason = reason;
    return result;
}

store_result parse_write_response(const optional_response& reply, const error& reason, std::size_t max_bytes,
                                  store_outcome success) {
    if (!reply) {
        return to_write_failure(reason);
    }
    store_result result;
    result.era = parse_era(*reply, max_bytes);
    const int status = reply->status;
    if (status == status_ok || status == status_created) {
        result.version = parse_version(*reply, max_bytes);
        result.outcome = success;
        if (result.version == 0 && success == store_outcome::stored) {
            result.outcome = store_outcome::bad_answer;
            result.reason = error{error_code::bad_answer, "version", reply->body.substr(0, 80), "a version"};
        }
        return result;
    }
    if (status == status_conflict || status == status_precondition_failed) {
        result.version = parse_version(*reply, max_bytes);
        result.outcome = store_outcome::version_conflict;
        result.reason = error{error_code::version_conflict, "if_version", std::to_string(result.version), ""};
        return result;
    }
    result.reason = status_error(*reply);
    if (status == status_not_found) {
        result.outcome = store_outcome::not_found;
        result.reason.code = error_code::not_found;
    } else if (is_server_failure(status)) {
        // The server may have failed after the write took effect.
        result.outcome = store_outcome::unknown;
    } else {
        result.outcome = store_outcome::bad_answer;
        result.reason.code = error_code::bad_answer;
    }
    return result;
}

/// Outcome of a read by its status; `found` means that the body is to be parsed.
store_outcome to_read_outcome(const optional_response& reply, const error& transport, error& reason) {
    if (!reply) {
        reason = transport;
        return store_outcome::platform_unavailable;
    }
    if (reply->status == status_ok) {
        return store_outcome::found;
    }
    reason = status_error(*reply);
    if (reply->status == status_not_found) {
        reason.code = error_code::not_found;
        return store_outcome::not_found;
    }
    if (is_server_failure(reply->status)) {
        return store_outcome::platform_unavailable;
    }
    reason.code = error_code::bad_answer;
    return store_outcome::bad_answer;
}

} // namespace

http2::request get(std::string_view key) {
    return http2::request{"GET", objects_path + percent_encode(key), {}};
}

http2::request put(std::string_view key, const nlohmann::json& value, std::uint64_t if_version) {
    const nlohmann::json body{{"value", value}, {"if_version", if_version}};
    return http2::request{"PUT", objects_path + percent_encode(key), body.dump()};
}

http2::request remove(std::string_view key, std::uint64_t if_version) {
    return http2::request{
        "DELETE", fmt::format("{}{}?if_version={}", objects_path, percent_encode(key), if_version), {}};
}

http2::request list(std::string_view prefix) {
    return http2::request{"GET", fmt::format("/v1/list?prefix={}", percent_encode(prefix)), {}};
}

http2::request watch(std::string_view prefix, std::uint64_t after, duration wait) {
    return http2::request{"GET",
                          fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", percent_encode(prefix),
                                      after, to_milliseconds(wait)),
                          {}};
}

http2::request hosts() {
    return http2::request{"GET", "/v1/hosts", {}};
}

store_result parse_get_response(const optional_response& reply, const error& reason, std::size_t max_bytes) {
    store_result result;
    result.outcome = to_read_outcome(reply, reason, result.reason);
    if (result.outcome != store_outcome::found) {
        result.era = reply ? parse_era(*reply, max_bytes) : std::nullopt;
        return result;
    }
    const std::optional<nlohmann::json> body = parse_object(*reply, max_bytes, result.reason);
    if (body) {
        object_reader reader{*body, "", result.reason};
        result.era = read_era(reader);
        result.version = required_unsigned(reader, "version");
        result.value = reader.any("value");
        if (result.value.is_null()) {
            reader.fail(error_code::missing_field, "value", "", "this field is required");
        }
    }
    if (result.reason.failed()) {
        result.outcome = store_outcome::bad_answer;
    }
    return result;
}

store_result parse_put_response(const optional_response& reply, const error& reason, std::size_t max_bytes) {
    store_result result = parse_write_response(reply, reason, max_bytes, store_outcome::stored);
    if (result.outcome == store_outcome::not_found) {
        // Some stores return 404 for a conditional write to an object that does not exist.
        result.outcome = store_outcome::version_conflict;
    }
    return result;
}

store_result parse_remove_response(const optional_response& reply, const error& reason,
                                   std::size_t max_bytes) {
    return parse_write_response(reply, reason, max_bytes, store_outcome::removed);
}

list_result parse_list_response(const optional_response& reply, const error& reason, std::size_t max_bytes) {
    list_result result;
    result.outcome = to_read_outcome(reply, reason, result.reason);
    if (result.outcome != store_outcome::found) {
        return result;
    }
    const std::optional<nlohmann::json> body = parse_object(*reply, max_bytes, result.reason);
    if (body) {
        object_reader reader{*body, "", result.reason};
        result.era = read_era(reader);
        result.revision = required_unsigned(reader, "revision");
        result.objects = parse_stored_objects(reader, "objects", result.reason);
    }
    if (result.reason.failed()) {
        result.outcome = store_outcome::bad_answer;
        result.objects.clear();
    }
    return result;
}

watch_result parse_watch_response(const optional_response& reply, const error& reason,
                                  std::size_t max_bytes) {
    watch_result result;
    if (reply && reply->status == status_gone) {
        result.outcome = store_outcome::found;
        result.gap = true;
        result.era = parse_era(*reply, max_bytes);
        return result;
    }
    result.outcome = to_read_outcome(reply, reason, result.reason);
    if (result.outcome != store_outcome::found) {
        return result;
    }
    const std::optional<nlohmann::json> body = parse_object(*reply, max_bytes, result.reason);
    if (body) {
        object_reader reader{*body, "", result.reason};
        result.era = read_era(reader);
        result.gap = reader.boolean("gap", false);
        if (!result.gap) {
            result.revision = required_unsigned(reader, "revision");
            result.changes = parse_stored_objects(reader, "objects", result.reason);
        }
    }
    if (result.reason.failed()) {
        result.outcome = store_outcome::bad_answer;
        result.changes.clear();
    }
    return result;
}

hosts_result parse_hosts_response(const optional_response& reply, const error& reason,
                                  std::size_t max_bytes) {
    hosts_result result;
    result.outcome = to_read_outcome(reply, reason, result.reason);
    if (result.outcome != store_outcome::found) {
        return result;
    }
    const std::optional<nlohmann::json> body = parse_object(*reply, max_bytes, result.reason);
    if (body) {
        object_reader reader{*body, "", result.reason};
        result.era = read_era(reader);
        result.revision =
            static_cast<std::uint64_t>(reader.optional_integer("revision", 0, INT64_MAX).value_or(0));
        const nlohmann::json& items = reader.array("hosts");
        for (std::size_t i = 0; i < items.size() && !result.reason.failed(); ++i) {
            result.hosts.push_back(parse_host(items[i], fmt::format("hosts[{}]", i), result.reason));
        }
    }
    if (result.reason.failed()) {
        result.outcome = store_outcome::bad_answer;
        result.hosts.clear();
    }
    return result;
}

} // namespace gentianhill::store_wire
