#include "gentianhill/failover/primary_outage_estimator.h"

#include <algorithm>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Range to which an observed outage is clamped. A longer one was caused by something other than the failover
/// itself, such as an outage of the store.
constexpr duration min_gap = 400ms;
constexpr duration max_gap = 3000ms;

} // namespace

void primary_outage_estimator::update(bool serves, time_point now) {
    if (!serves) {
        if (!outage_start_) {
            outage_start_ = now;
        }
        return;
    }
    if (outage_start_) {
        expected_duration_ = (expected_duration_ + std::clamp(now - *outage_start_, min_gap, max_gap)) / 2;
        outage_start_.reset();
    }
}

std::optional<time_point> primary_outage_estimator::expected_end() const {
    if (!outage_start_) {
        return std::nullopt;
    }
    return *outage_start_ + expected_duration_;
}

} // namespace gentianhill
