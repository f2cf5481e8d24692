#include "gentianhill/quota/quota_share.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr double used_tolerance = 0.5;

} // namespace

quota_share operator+(const quota_share& a, const quota_share& b) {
    return {a.rate + b.rate, a.capacity + b.capacity};
}

quota_share operator-(const quota_share& a, const quota_share& b) {
    return {std::max(a.rate - b.rate, 0.0), std::max(a.capacity - b.capacity, 0.0)};
}

quota_share smaller(const quota_share& a, const quota_share& b) {
    return {std::min(a.rate, b.rate), std::min(a.capacity, b.capacity)};
}

quota_share larger(const quota_share& a, const quota_share& b) {
    return {std::max(a.rate, b.rate), std::max(a.capacity, b.capacity)};
}

quota_share whole_share(const team_rate& limit, const quota_settings& settings) {
    const double factor = 1 + used_tolerance * settings.over;
    return {limit.per_second * factor, limit.burst * factor + used_tolerance * settings.slack};
}

} // namespace gentianhill
