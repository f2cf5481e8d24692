#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Entry that an instance publishes about itself in the metadata store.
struct listed_instance {
    /// Identifier of the instance.
    std::string id;
    /// Database group that the instance belongs to.
    std::string group;
    /// Address on which the instance accepts connections.
    endpoint address;
    /// Availability zone.
    std::string zone;
    /// Number of statements that the instance runs concurrently.
    std::int64_t slots = 1;
    /// True when the instance considers itself the primary.
    bool claims_primary = false;
    /// True when the instance has announced that it is leaving.
    bool draining = false;
    /// Start time of the process, in milliseconds since the Unix epoch; reveals a restart under the same id.
    std::int64_t started_at_ms = 0;
    /// Number that the instance gave to this state of the entry; rises with each state since its start.
    std::int64_t update_number = 0;
    /// Era of the metadata store in which the entry was read.
    std::uint64_t era = 0;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Instances known from the metadata store. An entry that disappears is kept for `grace_period`, because the
/// entry of a live instance expires while the instance can't reach the store and is written again soon after.
/// A store that was restored from a copy holds entries as they were then, so an entry read in another era
/// changes nothing when the instance has written a newer one since.
class instance_catalog {
public:
    /// Called when an entry was added or changed.
    std::function<void(const listed_instance&)> on_change;
    /// Called when an instance was removed.
    std::function<void(const listed_instance&)> on_remove;
    /// Called when an entry was ignored because a newer one of the instance is known.
    std::function<void(const listed_instance& ignored, const listed_instance& known)> on_outdated;

    /// Applies a complete list; entries that it lacks are marked as missing.
    void apply_list(const std::vector<listed_instance>& listed, time_point now);
    /// Adds or updates one entry.
    void upsert(const listed_instance& listed);
    /// Marks an entry as missing; expire() removes it later.
    void mark_missing(const std::string& id, time_point now);
    /// Removes entries that have been missing for `grace_period`; to be called only while the store is
    /// reachable.
    void expire(time_point now);
    /// Returns true while any entry is missing.
    [[nodiscard]] bool has_missing() const;
    /// Returns all entries ordered by id, including missing ones.
    [[nodiscard]] std::vector<listed_instance> instances() const;

    /// Live instances write their entries again within two seconds after the store is reachable again.
    static constexpr duration grace_period = std::chrono::milliseconds(2500);
    /// Number of removed entries that are remembered, so that a restored store does not bring them back.
    static constexpr std::size_t max_removed = 4096;

private:
    struct entry {
        listed_instance listed;
        std::optional<time_point> missing_since;
    };

    /// Returns what is or was known of an instance, or null.
    [[nodiscard]] const listed_instance* find_known(const std::string& id) const;
    void remember_removed(const listed_instance& listed);

    std::map<std::string, entry> entries_;
    /// Last known entries of removed instances, and their ids in the order of removal.
    std::map<std::string, listed_instance> removed_;
    std::deque<std::string> removal_order_;
};

} // namespace gentianhill
