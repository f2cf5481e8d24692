#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Record in the metadata store of the keys of a group's members that may hold the only copy of an
/// acknowledged commit. It lets a daemon that starts later detect members that left before its start: members
/// are added when they join, and removed only when the remaining ones are known to hold every acknowledged
/// commit. Changes are compared with the replica of the store first, so that what another daemon has recorded
/// costs no call.
///
/// A record of an earlier era of the store may lack members, so each era has an object of its own; era 0 has
/// the name of before.
class member_record {
public:
    using members_handler = std::function<void(const std::optional<std::vector<std::string>>&)>;

    /// `store`, `replica` (of the duties' collection), `lease` and `log` must outlive the record.
    member_record(metadata_store& store, const collection_replica& replica, const duty_lease& lease,
                  logger& log, std::string group);

    /// Reads the members from the store; `done` receives nothing when there is no valid record or the store
    /// does not answer.
    void read(const members_handler& done);
    /// True if this daemon knows of a record.
    [[nodiscard]] bool exists() const { return recorded().has_value(); }
    /// Adds members to an existing record; does nothing when there is none.
    void add(const std::vector<std::string>& members);
    /// Replaces the record with members that together hold every acknowledged commit.
    void replace(const std::vector<std::string>& members);

private:
    void add_to(const std::optional<stored_object>& recorded, std::uint64_t era,
                const std::vector<std::string>& members);
    /// Writes the record of `era` if the stored revision is `revision`.
    void write(const std::vector<std::string>& members, std::uint64_t era, std::uint64_t revision,
               const std::function<void(const std::optional<stored_object>& stored)>& on_conflict);
    [[nodiscard]] std::optional<stored_object> recorded() const;
    /// Name of the record in an era.
    [[nodiscard]] std::string object_name(std::uint64_t era) const;

    metadata_store& store_;
    const collection_replica& replica_;
    const duty_lease& lease_;
    logger& log_;
    std::string group_;
};

} // namespace gentianhill
