#include "gentianhill/quota/demand_rate.h"

#include <algorithm>
#include <cmath>

namespace gentianhill {

namespace {

double seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

void demand_rate::add(double events, time_point now) {
    rate_ = at(now) + events / seconds(time_constant);
    updated_at_ = now;
}

double demand_rate::at(time_point now) const {
    const double elapsed = std::max(seconds(now - updated_at_), 0.0);
    return rate_ * std::exp(-elapsed / seconds(time_constant));
}

} // namespace gentianhill
