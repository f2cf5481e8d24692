#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/http2/message.h"
#include "gentianhill/store/store_result.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianhill::store_wire {

/// Requests of the platform's object API; `if_version` 0 means that the object must not exist.
///   GET    /v1/objects/<key>                 200 {"key", "version", "value"} | 404
///   PUT    /v1/objects/<key>                 body {"value", "if_version"}; 200 {"version"} | 409 {"version"}
///   DELETE /v1/objects/<key>?if_version=<n>  200 {"version"} | 404 | 409 {"version"}
///   GET    /v1/list?prefix=<p>               200 {"revision", "objects": [{"key", "version", "value"}]}
///   GET    /v1/watch?prefix=<p>&after=<n>&wait_ms=<n>
///                                            200 {"revision", "gap"?, "objects": [...]}, in any order
///                                            (a removal has "deleted": true) | 410 for a gap
///   GET    /v1/hosts                         200 {"revision"?, "hosts": [{"name", "zone", "address",
///                                            "kind": "entry" or "backend", "state": "live" or "leaving"}]}
/// Versions are revisions of the whole store, so they also increase when an object is removed and created
/// again. Every response may state the "era" of the store in its body. A store that is restored from a copy
/// loses later changes, gives out their revisions again, and raises its era by one, so that versions and
/// revisions can be compared within an era only.
/// A watch from a revision that the store does not have is answered with 410. Status 429 and 5xx mean that
/// the service is unavailable, any other status is a bad answer. Unknown members of responses are ignored.
[[nodiscard]] http2::request get(std::string_view key);
[[nodiscard]] http2::request put(std::string_view key, const nlohmann::json& value, std::uint64_t if_version);
[[nodiscard]] http2::request remove(std::string_view key, std::uint64_t if_version);
[[nodiscard]] http2::request list(std::string_view prefix);
[[nodiscard]] http2::request watch(std::string_view prefix, std::uint64_t after, duration wait);
[[nodiscard]] http2::request hosts();

/// Response, or nullopt if the transport failed; the reason is passed along with it.
using optional_response = std::optional<http2::response>;

/// Parse the responses. `reason` is the transport's error if there is no response; `max_bytes` limits the
/// body.
[[nodiscard]] store_result parse_get_response(const optional_response& reply, const error& reason,
                                              std::size_t max_bytes);
[[nodiscard]] store_result parse_put_response(const optional_response& reply, const error& reason,
                                              std::size_t max_bytes);
[[nodiscard]] store_result parse_remove_response(const optional_response& reply, const error& reason,
                                                 std::size_t max_bytes);
[[nodiscard]] list_result parse_list_response(const optional_response& reply, const error& reason,
                                              std::size_t max_bytes);
[[nodiscard]] watch_result parse_watch_response(const optional_response& reply, const error& reason,
                                                std::size_t max_bytes);
[[nodiscard]] hosts_result parse_hosts_response(const optional_response& reply, const error& reason,
                                                std::size_t max_bytes);

} // namespace gentianhill::store_wire
