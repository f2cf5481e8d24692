#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/membership/listed_host.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// How a call to the platform's object API ended.
enum class store_outcome : std::uint8_t {
    /// Read: the object, or the list, is in the result.
    found,
    /// Write: took effect; `version` is the new one.
    stored,
    /// Delete: took effect.
    removed,
    /// The object does not exist.
    not_found,
    /// Nothing was written; `version` is the current one, 0 when the object does not exist or is not told.
    version_conflict,
    /// Nothing was read or written.
    platform_unavailable,
    /// The answer of a write was lost; it may have taken effect, or may still do so.
    unknown,
    /// The answer does not have the agreed form; a write may have taken effect.
    bad_answer,
};

/// Name of an outcome for logs.
[[nodiscard]] std::string_view to_string(store_outcome outcome);

/// One object of the platform's service.
struct stored_object {
    /// Key, such as groups/wheeldb.
    std::string key;
    /// Rises with each change of the object.
    std::uint64_t version = 0;
    /// Content; null in a removal.
    nlohmann::json value;
};

/// Result of a call that concerns one object.
struct store_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    std::uint64_t version = 0;
    nlohmann::json value;
    /// Reason of a failure.
    error reason;
};

/// Result of a list call.
struct list_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Revision of the store that the list shows; a watch continues after it.
    std::uint64_t revision = 0;
    /// Objects by version.
    std::vector<stored_object> objects;
    error reason;
};

/// Result of a watch call.
struct watch_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Revision to continue after.
    std::uint64_t revision = 0;
    /// True when the store no longer has all changes since the given revision; the caller lists again.
    bool gap = false;
    /// Changes by version; a removal has a null value.
    std::vector<stored_object> changes;
    error reason;
};

/// Result of a read of the list of hosts.
struct hosts_result {
    store_outcome outcome = store_outcome::platform_unavailable;
    /// Revision of the list, for host_directory::apply_list; 0 when the service tells none.
    std::uint64_t revision = 0;
    std::vector<listed_host> hosts;
    error reason;
};

/// How a conditional update ended.
enum class update_outcome : std::uint8_t {
    /// The new content is stored.
    stored,
    /// The change function had nothing to change.
    unchanged,
    /// Every attempt met a conflicting change.
    conflicts,
    /// The service did not answer; a write of an earlier attempt may still take effect.
    platform_unavailable,
    /// The service answered, but not in the agreed form.
    bad_answer,
};

/// Name of an outcome for logs.
[[nodiscard]] std::string_view to_string(update_outcome outcome);

/// Result of a conditional update.
struct update_result {
    update_outcome outcome = update_outcome::platform_unavailable;
    /// Version and content as stored or last read.
    std::uint64_t version = 0;
    nlohmann::json value;
    error reason;
};

/// How the creation of an object that is never changed ended.
enum class create_outcome : std::uint8_t {
    /// Created by this call, or by an earlier attempt of it.
    created,
    /// An object with the same content exists.
    already_there_same,
    /// An object with other content exists; it is in the result.
    already_there_other,
    /// The service did not answer; the object may or may not exist now. Repeating the call is safe.
    unavailable,
    /// The service answered, but not in the agreed form.
    bad_answer,
};

/// Name of an outcome for logs.
[[nodiscard]] std::string_view to_string(create_outcome outcome);

/// Result of create_once.
struct create_result {
    create_outcome outcome = create_outcome::unavailable;
    std::uint64_t version = 0;
    nlohmann::json value;
    error reason;
};

} // namespace gentianhill
