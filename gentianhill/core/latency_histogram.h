#pragma once

#include "gentianhill/core/metric_labels.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace gentianhill {

/// Distribution of durations over a fixed axis of 40 log-spaced bins from 0.1 ms to 100 s.
/// Recording allocates nothing.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    /// Adds one observation; a negative length counts as zero.
    void record(duration length);
    /// Observations so far.
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /// Upper end in milliseconds of the bin that holds the given share of observations, 0 without any.
    [[nodiscard]] double quantile_ms(double share) const;
    /// Appends the series in the Prometheus text format.
    void append_to(std::string& text, std::string_view name, const metric_labels& labels) const;

private:
    struct bins;
    std::unique_ptr<bins> bins_;
    std::uint64_t count_ = 0;
    double sum_ms_ = 0;
};

} // namespace gentianhill
