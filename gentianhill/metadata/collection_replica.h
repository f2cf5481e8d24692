#pragma once

#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of a replica.
struct collection_replica_settings {
    /// Objects of which the last change is kept for daemons that ask for those since a revision; older
    /// revisions are answered with the whole collection.
    std::size_t max_history = 1000;
};

/// State of one collection of the metadata store, as of a version of the store. It is fed by the store itself
/// or by other daemons, in any order: an update that is not newer than the state is ignored. After the store
/// has been restored from a copy, only a complete list of the new era replaces the state.
class collection_replica {
public:
    explicit collection_replica(const collection_replica_settings& settings = {}) : settings_(settings) {}

    /// Called with all objects when the state was replaced.
    std::function<void(const std::vector<stored_object>&)> on_list;
    /// Called for each change of an object.
    std::function<void(const store_event&)> on_event;
    /// Called after each update that changed the version; `has_news` is false when no object changed.
    std::function<void(bool has_news)> on_update;

    /// Replaces the state by a complete list as of `version`; false if the state is newer.
    bool replace(const std::vector<stored_object>& objects, store_version version);
    /// Applies all changes after `from` and up to `revision` of the same era; false if changes before them
    /// are missing, the state is as new already, or the eras differ.
    bool apply(store_version from, const std::vector<store_event>& events, std::uint64_t revision);
    /// Forgets the state, so that the next list replaces it whatever its version.
    void discard();

    /// True once a complete list has been applied.
    [[nodiscard]] bool has_state() const { return has_state_; }
    /// Version of the store up to which the state is complete.
    [[nodiscard]] const store_version& version() const { return version_; }
    [[nodiscard]] const std::map<std::string, stored_object, std::less<>>& objects() const {
        return objects_;
    }
    /// Copies an object for an answer, with or without its content.
    using copy_function = std::function<stored_object(const stored_object&)>;
    /// Changes after `version`, the last one of each object; nothing when they are not all known any more or
    /// the eras differ. May repeat changes at or before `version`, which the receiver ignores.
    [[nodiscard]] std::optional<std::vector<store_event>> changes_since(
        store_version version,
        const copy_function& copy = [](const stored_object& object) { return object; }) const;
    /// True when the state is newer than `version` and contains changes since, or they are not all known.
    [[nodiscard]] bool has_changes_since(store_version version) const;

private:
    /// Last change of an object. The content of an object that exists is that of `objects_`.
    struct past_change {
        /// Revision of the update that contained the change.
        std::uint64_t update_revision = 0;
        std::string name;
        /// Deleted object without its content; nothing for an object that exists.
        std::optional<stored_object> deleted;
    };

    bool apply_event(const store_event& event);
    void remember(const store_event& event, std::uint64_t update_revision);

    collection_replica_settings settings_;
    std::map<std::string, stored_object, std::less<>> objects_;
    std::deque<past_change> history_;
    /// Revision, in the era of the state, since which `history_` is complete.
    std::uint64_t history_from_ = 0;
    store_version version_;
    bool has_state_ = false;
};

} // namespace gentianhill
