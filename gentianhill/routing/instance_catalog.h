#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// What a listed instance says of itself.
struct listed_instance {
    /// Identifier of the instance.
    std::string id;
    /// Database group that it belongs to.
    std::string group;
    /// Where it accepts connections.
    endpoint address;
    /// Availability zone.
    std::string zone;
    /// Statements that it runs at the same time.
    std::int64_t slots = 1;
    /// True when it takes itself for the primary.
    bool claims_primary = false;
    /// True when it has announced that it leaves.
    bool draining = false;
    /// Start of the process, in milliseconds since the Unix epoch; tells a restart under the same id.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Instances known from the metadata store. An entry that disappears is kept for a short time, since entries
/// expire while the store is out of reach of a live instance and are written again soon after.
class instance_catalog {
public:
    /// An entry was added or changed.
    std::function<void(const listed_instance&)> on_change;
    /// An instance is taken as gone.
    std::function<void(const listed_instance&)> on_remove;

    /// Replaces the list by a whole one.
    void replace(const std::vector<listed_instance>& listed, time_point now);
    /// Adds or changes one entry.
    void upsert(const listed_instance& listed);
    /// Records that an entry has disappeared.
    void mark_missing(const std::string& id, time_point now);
    /// Drops entries that have been missing for `grace`; call it only while the store answers.
    void expire(time_point now);
    /// True while entries wait for expire().
    [[nodiscard]] bool has_missing() const;
    /// Entries by id, missing ones included.
    [[nodiscard]] std::vector<listed_instance> all() const;

    /// Entries of live instances are back within two seconds of the store's return.
    static constexpr duration grace = std::chrono::milliseconds(2500);

private:
    struct entry {
        listed_instance listed;
        std::optional<time_point> missing_since;
    };

    std::map<std::string, entry> entries_;
};

} // namespace gentianhill
