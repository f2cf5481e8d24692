#pragma once

#include "gentianhill/metadata/metadata_store.h"

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
    /// Changes kept for daemons that ask for those since a revision; older ones are answered with the whole
    /// collection.
    std::size_t max_history = 1000;
};

/// State of one collection of the metadata store, as of a revision of the store. It is fed by the store
/// itself or by other daemons, in any order: an update that is not newer than the state is ignored, so the
/// state never goes back.
class collection_replica {
public:
    explicit collection_replica(const collection_replica_settings& settings = {}) : settings_(settings) {}

    /// Called with all objects when the state was replaced.
    std::function<void(const std::vector<stored_object>&)> on_list;
    /// Called for each change of an object.
    std::function<void(const store_event&)> on_event;
    /// Called after each update that changed the revision; `has_news` is false when no object changed.
    std::function<void(bool has_news)> on_update;

    /// Replaces the state by a complete list as of `revision`; false if the state is newer.
    bool replace(const std::vector<stored_object>& objects, std::uint64_t revision);
    /// Applies all changes after `from` and up to `revision`; false if changes before them are missing or the
    /// state is as new already.
    bool apply(std::uint64_t from, const std::vector<store_event>& events, std::uint64_t revision);
    /// Forgets the state, so that the next list replaces it whatever its revision.
    void discard();

    /// True once a complete list has been applied.
    [[nodiscard]] bool has_state() const { return has_state_; }
    /// Revision of the store up to which the state is complete.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, stored_object, std::less<>>& objects() const {
        return objects_;
    }
    /// Changes after `revision`; nothing when they are not all known any more. May repeat changes at or
    /// before `revision`, which the receiver ignores.
    [[nodiscard]] std::optional<std::vector<store_event>> changes_since(std::uint64_t revision) const;
    /// True when changes_since() would return changes, or nothing.
    [[nodiscard]] bool has_changes_since(std::uint64_t revision) const;

private:
    struct past_change {
        /// Revision of the update that contained the change.
        std::uint64_t update_revision = 0;
        store_event event;
    };

    bool apply_event(const store_event& event);
    void remember(const store_event& event, std::uint64_t update_revision);

    collection_replica_settings settings_;
    std::map<std::string, stored_object, std::less<>> objects_;
    std::deque<past_change> history_;
    /// Revision since which `history_` is complete.
    std::uint64_t history_from_ = 0;
    std::uint64_t revision_ = 0;
    bool has_state_ = false;
};

} // namespace gentianhill
