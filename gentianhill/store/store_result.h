#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/membership/listed_host.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// How a call to the platform's object API ended.
enum class store_outcome : std::uint8_t {
    /// Read: the result holds the object or the list.
    found,
    /// Write: it took effect; `version` is the new version.
    stored,
    /// Delete: it took effect.
    removed,
    /// The object does not exist.
    not_found,
    /// Nothing was written; `version` is the current version, or 0 if the object does not exist or the store
    /// did not state it.
    version_conflict,
    /// The store could not be reached or did not serve the call; nothing was read or written.
    platform_unavailable,
    /// The response of a write was lost; the write may have taken effect, or may still do so.
    unknown,
    /// The response could not be parsed; a write may have taken effect.
    bad_answer,
};

/// Name of the outcome for logs.
[[nodiscard]] std::string_view to_string(store_outcome outcome);

/// Object of the platform's store.
struct stored_object {
    /// Key, such as groups/wheeldb.
    std::string key;
    /// Increases with each change of the object.
    std::uint64_t version = 0;
    /// Content; null if the object was removed.
    nlohmann::json value;
};

/// Result of a call that concerns one object.
struct store_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Era of the store that responded; nothing if the response does not state one.
    std::optional<std::uint64_t> era;
    std::uint64_t version = 0;
    nlohmann::json value;
    /// Reason of a failure.
    error reason;
};

/// Result of a list call.
struct list_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Era of the store that responded; nothing if the response does not state one.
    std::optional<std::uint64_t> era;
    /// Revision of the store at which the list was taken; a watch continues after it.
    std::uint64_t revision = 0;
    /// Objects in the order of their versions.
    std::vector<stored_object> objects;
    error reason;
};

/// Result of a watch call.
struct watch_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Era of the store that responded; nothing if the response does not state one.
    std::optional<std::uint64_t> era;
    /// Revision after which the next watch continues.
    std::uint64_t revision = 0;
    /// True if the store no longer has all changes since the given revision; the caller has to list again.
    bool gap = false;
    /// Changes in the order of their versions; a removal has a null value.
    std::vector<stored_object> changes;
    error reason;
};

/// Result of reading the list of hosts.
struct hosts_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Era of the store that responded; nothing if the response does not state one.
    std::optional<std::uint64_t> era;
    /// Revision of the list, for host_directory::apply_list; 0 if the platform does not state one.
    std::uint64_t revision = 0;
    std::vector<listed_host> hosts;
    error reason;
};

/// How a conditional update ended.
enum class update_outcome : std::uint8_t {
    /// The new content is stored.
    stored,
    /// The change function left the object as it was.
    unchanged,
    /// The last allowed attempt met a version conflict or a stale read.
    conflicts,
    /// The platform did not respond; a write of an earlier attempt may still take effect.
    platform_unavailable,
    /// The response could not be parsed.
    bad_answer,
};

/// Name of the outcome for logs.
[[nodiscard]] std::string_view to_string(update_outcome outcome);

/// Result of a conditional update.
struct update_result {
    update_outcome outcome = update_outcome::platform_unavailable;
    /// Version and content as stored or last read.
    std::uint64_t version = 0;
    nlohmann::json value;
    error reason;
};

/// How the creation of an immutable object ended.
enum class create_outcome : std::uint8_t {
    /// Created by this call, possibly by a write whose response was lost.
    created,
    /// An object with the same content exists.
    already_there_same,
    /// An object with different content exists; the result holds it.
    already_there_other,
    /// The platform did not respond; the object may or may not exist. Repeating the call is safe.
    unavailable,
    /// The response could not be parsed.
    bad_answer,
};

/// Name of the outcome for logs.
[[nodiscard]] std::string_view to_string(create_outcome outcome);

/// Result of create_once.
struct create_result {
    create_outcome outcome = create_outcome::unavailable;
    std::uint64_t version = 0;
    nlohmann::json value;
    error reason;
};

} // namespace gentianhill
