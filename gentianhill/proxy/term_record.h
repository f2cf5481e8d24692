#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gentianhill {

/// Record in the metadata store of the term that led a group once all promotions of earlier eras of the store
/// were over. Together with the promotions of the present era, which the duty's object lists, it shows which
/// term leads. It is written once in an era and never changes.
class term_record {
public:
    /// `store`, `replica` (of the duties' collection), `lease` and `log` must outlive the record.
    term_record(metadata_store& store, const collection_replica& replica, const duty_lease& lease,
                logger& log, std::string group);

    /// Term recorded in the present era, as far as the replica knows.
    [[nodiscard]] std::optional<term_number> recorded() const;
    /// Records the term if there is no record in the present era. Requires evidence that it leads, sent after
    /// `duty_lease::earlier_claims_end`.
    void write(term_number term);

private:
    [[nodiscard]] std::string object_name(std::uint64_t era) const;

    metadata_store& store_;
    const collection_replica& replica_;
    const duty_lease& lease_;
    logger& log_;
    std::string group_;
};

} // namespace gentianhill
