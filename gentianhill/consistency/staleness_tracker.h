#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gentianhill {

/// Limits of a staleness_tracker.
struct staleness_tracker_settings {
    /// Maximum number of samples; 24 bytes each.
    std::size_t capacity = 512;
    /// Samples closer together than this are merged into the later one.
    duration min_interval = std::chrono::milliseconds{2};
};

/// Computes an upper bound of the age of an instance's data, on the monotonic clock of this process.
///
/// A sample states that no entry after `position` existed in its term when the request was sent. It is valid
/// only up to the time at which a majority was last known to be at that term, since until then no newer
/// primary existed. Dropping a sample can only raise a reported age. No memory is allocated after
/// construction.
class staleness_tracker {
public:
    explicit staleness_tracker(const staleness_tracker_settings& settings);

    /// Adds an answer of the primary of `position.term` to a request sent at `requested_at`.
    void add_sample(log_position position, time_point requested_at);
    /// Sets the time at which a majority was last known to have accepted `term`; it never decreases.
    void set_majority_seen(term_number term, time_point seen_at);

    /// Upper bound of the age of the data of an instance whose log ends at `position`; nullopt when unknown.
    [[nodiscard]] std::optional<duration> age(log_position position, time_point now) const;
    /// Number of samples held.
    [[nodiscard]] std::size_t size() const { return samples_.size(); }

private:
    struct sample {
        log_position position;
        time_point requested_at;
    };

    void start_term(term_number term);
    void downsample_old_samples();

    staleness_tracker_settings settings_;
    // Ascending in position and in time. Samples of terms before term_ are clamped to the last majority time
    // of their term.
    std::vector<sample> samples_;
    term_number term_ = 0;
    std::optional<time_point> majority_seen_;
};

} // namespace gentianhill
