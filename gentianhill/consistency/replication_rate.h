#pragma once

#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/core/time.h"

#include <cstdint>

namespace gentianhill {

/// Smoothing of the replication rate.
struct replication_rate_settings {
    /// Time constant of the exponential average: after it, an observation has lost 63% of its weight.
    duration time_constant = std::chrono::seconds{2};
};

/// Estimates the rate at which an instance applies log entries, from its reports.
class replication_rate {
public:
    explicit replication_rate(const replication_rate_settings& settings = {});

    /// Adds a report. A report that arrives out of order is ignored; a shorter log restarts the estimate.
    void observe(const instance_report& report);
    /// Estimated rate; 0 until two reports at different times have arrived.
    [[nodiscard]] double entries_per_second() const { return rate_; }

private:
    replication_rate_settings settings_;
    std::uint64_t last_position_ = 0;
    time_point last_received_at_;
    bool has_report_ = false;
    bool has_rate_ = false;
    double rate_ = 0.0;
};

} // namespace gentianhill
