#include "standins/platform/object_store.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill::standins {

nlohmann::json to_json(const stored_object& object) {
    nlohmann::json result{{"key", object.key}, {"version", object.version}};
    if (object.deleted) {
        result["deleted"] = true;
    } else {
        result["value"] = object.value;
    }
    return result;
}

std::optional<stored_object> object_store::get(const std::string& key, error& reason) const {
    const std::map<std::string, stored_object, std::less<>>::const_iterator found = objects_.find(key);
    if (found == objects_.end() || found->second.deleted) {
        reason = error{error_code::not_found, "key", key, "the key of an existing object"};
        return std::nullopt;
    }
    return found->second;
}

std::uint64_t object_store::version_of(const std::string& key) const {
    const std::map<std::string, stored_object, std::less<>>::const_iterator found = objects_.find(key);
    return found == objects_.end() || found->second.deleted ? 0 : found->second.version;
}

bool object_store::is_current(const std::string& key, std::optional<std::uint64_t> if_version,
                              error& reason) const {
    const std::uint64_t version = version_of(key);
    if (!if_version || *if_version == version) {
        return true;
    }
    reason = error{error_code::version_conflict, "if_version", fmt::format("{}", *if_version),
                   fmt::format("the current version {}", version)};
    return false;
}

std::optional<std::uint64_t> object_store::put(const std::string& key, nlohmann::json value,
                                               std::optional<std::uint64_t> if_version, error& reason) {
    if (!is_current(key, if_version, reason)) {
        return std::nullopt;
    }
    ++revision_;
    objects_[key] = stored_object{key, revision_, std::move(value), false};
    return revision_;
}

std::optional<std::uint64_t> object_store::remove(const std::string& key,
                                                  std::optional<std::uint64_t> if_version, error& reason) {
    if (!is_current(key, if_version, reason)) {
        return std::nullopt;
    }
    if (version_of(key) == 0) {
        reason = error{error_code::not_found, "key", key, "the key of an existing object"};
        return std::nullopt;
    }
    ++revision_;
    objects_[key] = stored_object{key, revision_, nullptr, true};
    return revision_;
}

std::vector<stored_object> object_store::list(std::string_view prefix) const {
    std::vector<stored_object> result;
    for (stored_object& object : changed_since(prefix, 0)) {
        if (!object.deleted) {
            result.push_back(std::move(object));
        }
    }
    return result;
}

std::vector<stored_object> object_store::changed_since(std::string_view prefix, std::uint64_t after) const {
    std::vector<stored_object> result;
    std::map<std::string, stored_object, std::less<>>::const_iterator entry = objects_.lower_bound(prefix);
    for (; entry != objects_.end() && entry->first.starts_with(prefix); ++entry) {
        if (entry->second.version > after) {
            result.push_back(entry->second);
        }
    }
    return result;
}

} // namespace gentianhill::standins
