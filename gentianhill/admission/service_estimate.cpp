#include "gentianhill/admission/service_estimate.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr double microseconds_per_second = 1'000'000.0;
/// Longest wait that is stated; far beyond any timeout.
constexpr duration longest_wait = std::chrono::hours{1};

} // namespace

void service_estimate::on_released(duration held) {
    const double change = settings_.weight * static_cast<double>((held - hold_).count());
    hold_ += duration(static_cast<duration::rep>(change));
}

duration service_estimate::expected_hold(duration mean_age) const {
    return std::max({hold_, mean_age, settings_.min_hold});
}

double service_estimate::rate_per_second(std::size_t usable, duration mean_age) const {
    const double hold_seconds =
        static_cast<double>(expected_hold(mean_age).count()) / microseconds_per_second;
    return static_cast<double>(usable) / hold_seconds;
}

duration expected_wait(std::size_t ahead, double rate_per_second) {
    const double seconds = static_cast<double>(ahead + 1) / std::max(rate_per_second, 1e-6);
    const duration::rep wait = static_cast<duration::rep>(
        std::min(seconds * microseconds_per_second, static_cast<double>(longest_wait.count())));
    return duration(wait);
}

} // namespace gentianhill
