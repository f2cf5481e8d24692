#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gentianhill {

/// Limits of a staleness_tracker.
struct staleness_tracker_settings {
    /// Most samples that are kept; 24 bytes each.
    std::size_t capacity = 512;
    /// Samples closer to each other than this are merged into the later one.
    duration min_interval = std::chrono::milliseconds{2};
};

/// Derives how old the data of an instance is, on this process's monotonic clock.
///
/// A sample states: when the request was sent, no entry beyond `position` existed in that term. It counts
/// only up to the time by which a majority was known to be at that term, since until then no newer primary
/// existed. Dropping a sample can only raise a reported age. Nothing is allocated after construction.
class staleness_tracker {
public:
    explicit staleness_tracker(const staleness_tracker_settings& settings);

    /// Adds an answer of the primary of `position.term` to a request sent at `sent_at`.
    void add_sample(log_position position, time_point sent_at);
    /// Sets the time by which a majority was known to be at accepted term `term`; it only moves forward.
    void set_majority_seen(term_number term, time_point seen_at);

    /// Upper bound of the age of the data of an instance whose log ends at `position`; nothing when unknown.
    [[nodiscard]] std::optional<duration> age(log_position position, time_point now) const;
    /// Number of samples held.
    [[nodiscard]] std::size_t size() const { return samples_.size(); }

private:
    struct sample {
        log_position position;
        time_point sent_at;
    };

    void start_term(term_number term);
    void thin_out();

    staleness_tracker_settings settings_;
    // Ascending in position and in time. All but those of term_ are clamped to the majority time of their
    // term.
    std::vector<sample> samples_;
    term_number term_ = 0;
    std::optional<time_point> majority_seen_;
};

} // namespace gentianhill
