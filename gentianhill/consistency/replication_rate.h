#pragma once

#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/core/time.h"

#include <cstdint>

namespace gentianhill {

/// Smoothing of the replication rate.
struct replication_rate_settings {
    /// Time after which an observation has lost 63% of its weight.
    duration time_constant = std::chrono::seconds{2};
};

/// Estimates how many log entries per second an instance applies, from its own reports.
class replication_rate {
public:
    explicit replication_rate(const replication_rate_settings& settings = {});

    /// Takes a report; one that arrives out of order is ignored, a shorter log restarts the estimate.
    void observe(const instance_report& report);
    /// Estimated rate; 0 until two reports at different times have arrived.
    [[nodiscard]] double entries_per_second() const { return rate_; }

private:
    replication_rate_settings settings_;
    std::uint64_t last_position_ = 0;
    time_point last_at_;
    bool has_report_ = false;
    bool has_rate_ = false;
    double rate_ = 0.0;
};

} // namespace gentianhill
