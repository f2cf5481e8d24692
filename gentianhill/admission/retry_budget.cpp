#include "gentianhill/admission/retry_budget.h"

#include <algorithm>

namespace gentianhill {

retry_budget::retry_budget(const retry_budget_settings& settings, time_point now)
    : settings_(settings),
      tokens_(settings.capacity),
      unearned_tokens_(settings.capacity),
      refilled_at_(now) {}

double retry_budget::available(time_point now) const {
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - refilled_at_).count());
    return std::min(settings_.capacity, tokens_ + seconds * settings_.min_per_second);
}

void retry_budget::refill(time_point now) {
    const double tokens = available(now);
    unearned_tokens_ += tokens - tokens_;
    tokens_ = tokens;
    refilled_at_ = std::max(refilled_at_, now);
}

void retry_budget::add_request(time_point now) {
    refill(now);
    const double repaid = std::min(unearned_tokens_, settings_.ratio);
    unearned_tokens_ -= repaid;
    tokens_ = std::min(settings_.capacity, tokens_ + settings_.ratio - repaid);
}

bool retry_budget::try_spend(time_point now) {
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace gentianhill
