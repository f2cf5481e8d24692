#include "gentianhill/core/latency_histogram.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace gentianhill {

namespace {

constexpr unsigned bin_count = 40;
constexpr double axis_low_ms = 0.1;
constexpr double axis_high_ms = 100'000;
constexpr double microseconds_per_ms = 1000;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using storage = boost::histogram::dense_storage<std::uint64_t>;
using histogram_type = boost::histogram::histogram<std::tuple<log_axis>, storage>;

} // namespace

struct latency_histogram::bins {
    histogram_type counts =
        boost::histogram::make_histogram_with(storage{}, log_axis{bin_count, axis_low_ms, axis_high_ms});

    /// Observations below the upper end of a bin; -1 is the underflow bin.
    [[nodiscard]] std::uint64_t count_at(int index) const { return counts.at(index); }
    /// Upper end of a bin in milliseconds.
    [[nodiscard]] double upper_ms(int index) const { return counts.axis().value(index + 1); }
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration length) {
    const double ms = std::max(0.0, static_cast<double>(length.count()) / microseconds_per_ms);
    bins_->counts(ms);
    sum_ms_ += ms;
    ++count_;
}

double latency_histogram::quantile_ms(double share) const {
    if (count_ == 0) {
        return 0;
    }
    const std::uint64_t wanted =
        static_cast<std::uint64_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(count_)));
    std::uint64_t below = 0;
    for (int index = -1; index < static_cast<int>(bin_count); ++index) {
        below += bins_->count_at(index);
        if (below >= wanted && below > 0) {
            return bins_->upper_ms(index);
        }
    }
    return axis_high_ms;
}

void latency_histogram::append_to(std::string& text, std::string_view name,
                                  const metric_labels& labels) const {
    metric_labels with_bound = labels;
    with_bound.emplace_back("le", "");
    std::uint64_t below = 0;
    for (int index = -1; index < static_cast<int>(bin_count); ++index) {
        below += bins_->count_at(index);
        with_bound.back().second = fmt::format("{:.4g}", bins_->upper_ms(index));
        text += fmt::format("{}_bucket{} {}\n", name, format_labels(with_bound), below);
    }
    with_bound.back().second = "+Inf";
    text += fmt::format("{}_bucket{} {}\n", name, format_labels(with_bound), count_);
    const std::string plain = format_labels(labels);
    text += fmt::format("{}_sum{} {}\n{}_count{} {}\n", name, plain, sum_ms_, name, plain, count_);
}

} // namespace gentianhill
