#include "gentianhill/failover/primary_outage_estimator.h"

#include <algorithm>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Bounds of what is learned from one gap; a longer one was held up by something else.
constexpr duration min_gap = 400ms;
constexpr duration max_gap = 3000ms;

} // namespace

void primary_outage_estimator::update(bool serves, time_point now) {
    if (!serves) {
        if (!since_) {
            since_ = now;
        }
        return;
    }
    if (since_) {
        expected_ = (expected_ + std::clamp(now - *since_, min_gap, max_gap)) / 2;
        since_.reset();
    }
}

std::optional<time_point> primary_outage_estimator::expected_end() const {
    if (!since_) {
        return std::nullopt;
    }
    return *since_ + expected_;
}

} // namespace gentianhill
