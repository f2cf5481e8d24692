#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>

namespace gentianhill {

/// Thresholds of an error avoidance.
struct error_avoidance_settings {
    /// Weight of the newest result in the error rate.
    double weight = 0.1;
    /// Error rate from which the instance is avoided. A statement that is repeated elsewhere costs less than
    /// one error in five.
    double max_error_rate = 0.2;
    /// Errors since the last pause required to avoid the instance, so that a single one does not.
    std::size_t min_errors = 3;
    /// Errors further apart than this are not related.
    duration memory = std::chrono::seconds{2};
    /// Interval of the reads that probe an avoided instance.
    duration probe_interval = std::chrono::milliseconds{200};
    /// Successful probes in a row that end the avoidance. An instance that fails every third statement passes
    /// as many by chance once in 25 times.
    std::size_t successes_to_recover = 8;
};

/// Decides from the results of this daemon's own statements whether to avoid an instance that answers, but
/// fails many of the statements of this availability zone. Probes are reads of clients, which are repeated
/// elsewhere if they fail.
class error_avoidance {
public:
    explicit error_avoidance(const error_avoidance_settings& settings = {}) : settings_(settings) {}

    /// Records an answered statement; returns true if it starts or ends the avoidance.
    bool on_result(bool failed, time_point now);
    /// True while the instance is avoided.
    [[nodiscard]] bool is_avoided() const { return is_avoided_; }
    /// True when the next read may probe the instance.
    [[nodiscard]] bool is_probe_due(time_point now) const;
    /// Records that a probe is sent.
    void on_probe(time_point now) { probed_at_ = now; }
    /// Share of the recent statements that failed.
    [[nodiscard]] double error_rate() const { return error_rate_; }
    /// Forgets everything, because the instance has restarted.
    void reset();

private:
    error_avoidance_settings settings_;
    double error_rate_ = 0.0;
    std::size_t errors_ = 0;
    std::size_t successes_ = 0;
    time_point last_error_;
    time_point probed_at_;
    bool is_avoided_ = false;
};

} // namespace gentianhill
