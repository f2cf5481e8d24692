#pragma once

#include "gentianhill/core/timeline_event.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of a timeline.
struct timeline_settings {
    /// Daemon that records.
    std::string daemon;
    /// Start of the process, in milliseconds since the Unix epoch.
    std::int64_t incarnation = 0;
    /// Events kept; the oldest are overwritten.
    std::size_t capacity = 20'000;
    /// Longest text of one field, in bytes; longer ones are cut.
    std::size_t max_field_bytes = 256;
    /// Fields kept per event.
    std::size_t max_fields = 16;
};

/// Bounded ring of the events of one daemon. Events have consecutive sequence numbers, so that overwritten
/// ones show as gaps.
class timeline {
public:
    explicit timeline(const timeline_settings& settings);

    /// Stores an event and returns the identifier assigned to it.
    event_id record(timeline_event added);
    /// Export {daemon, incarnation, since, next_sequence, events}: events with a sequence greater than
    /// `since`, oldest first, at most `limit`. Continue with the sequence of the last event received.
    [[nodiscard]] nlohmann::json export_since(std::uint64_t since, std::size_t limit) const;
    /// Sequence number of the latest event; 0 without any.
    [[nodiscard]] std::uint64_t last_sequence() const { return last_sequence_; }
    /// Events overwritten so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    timeline_settings settings_;
    std::vector<timeline_event> ring_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace gentianhill
