#pragma once

#include "gentianhill/core/timeline_event.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Events of one daemon process that are missing from a merge, both ends included.
struct timeline_gap {
    /// Daemon and process.
    std::string daemon;
    std::int64_t incarnation = 0;
    /// First and last missing sequence number.
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// Timelines of several daemons in one causal order.
struct merged_timeline {
    /// Events, each after its cause and after earlier events of its daemon, otherwise by time.
    std::vector<timeline_event> events;
    /// Events that were overwritten before they were exported.
    std::vector<timeline_gap> gaps;

    /// Merges exports of timeline::export_since(); events that occur in several exports are kept once.
    /// Errors: those of object_reader, with the index of the export in the path.
    [[nodiscard]] static std::optional<merged_timeline> merge(const std::vector<nlohmann::json>& exports,
                                                              error& reason);
    /// JSON form {events, gaps}.
    [[nodiscard]] nlohmann::json to_json() const;
};

} // namespace gentianhill
