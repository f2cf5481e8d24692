#pragma once

#include "gentianhill/core/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill::standins {

/// One object, or the trace of a deleted one.
struct stored_object {
    std::string key;
    /// Revision of the store at which it was last changed; never used twice.
    std::uint64_t version = 0;
    nlohmann::json value;
    bool deleted = false;
};

/// JSON form: {"key", "version", "value"} or {"key", "version", "deleted"}.
[[nodiscard]] nlohmann::json to_json(const stored_object& object);

/// Objects by key with versions and conditional updates.
class object_store {
public:
    /// Object with this key. Errors: not_found.
    [[nodiscard]] std::optional<stored_object> get(const std::string& key, error& reason) const;
    /// Creates or replaces an object and returns its new version. `if_version` is the version that must be
    /// current, 0 if the object must not exist. Errors: version_conflict.
    [[nodiscard]] std::optional<std::uint64_t> put(const std::string& key, nlohmann::json value,
                                                   std::optional<std::uint64_t> if_version, error& reason);
    /// Deletes an object and returns the revision. Errors: version_conflict, not_found.
    [[nodiscard]] std::optional<std::uint64_t> remove(const std::string& key,
                                                      std::optional<std::uint64_t> if_version, error& reason);
    /// Objects whose key begins with the prefix, by key.
    [[nodiscard]] std::vector<stored_object> list(std::string_view prefix) const;
    /// Objects under the prefix changed or deleted after the revision, by key.
    [[nodiscard]] std::vector<stored_object> changed_since(std::string_view prefix,
                                                           std::uint64_t after) const;
    /// Version of the object with this key; 0 when there is none.
    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;
    /// Number of changes so far.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    [[nodiscard]] bool is_current(const std::string& key, std::optional<std::uint64_t> if_version,
                                  error& reason) const;

    std::map<std::string, stored_object, std::less<>> objects_;
    std::uint64_t revision_ = 0;
};

} // namespace gentianhill::standins
