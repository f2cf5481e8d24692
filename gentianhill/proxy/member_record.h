#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/metadata/metadata_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Record in the metadata store of the members of a group, by their keys, that may hold the only copy of an
/// acknowledged commit. It tells a daemon that starts later of departures that it has not seen: members are
/// added when they join, and removed only when the remaining ones are known to hold everything.
class member_record {
public:
    using members_handler = std::function<void(const std::optional<std::vector<std::string>>&)>;

    /// `store` and `log` must outlive the record.
    member_record(metadata_store& store, logger& log, std::string group);

    /// Reads the members; answers with nothing when there is no record or no answer.
    void read(const members_handler& done);
    /// Adds members to the record, if there is one.
    void add(const std::vector<std::string>& members);
    /// Replaces the record by members that hold everything between them.
    void replace(const std::vector<std::string>& members);

private:
    void write(const std::vector<std::string>& members, std::uint64_t revision,
               const std::function<void()>& on_conflict);

    metadata_store& store_;
    logger& log_;
    std::string group_;
    std::string object_name_;
};

} // namespace gentianhill
