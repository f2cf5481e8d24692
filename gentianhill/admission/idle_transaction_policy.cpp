#include "gentianhill/admission/idle_transaction_policy.h"

#include <algorithm>

namespace gentianhill {

namespace {

duration scaled(duration length, double factor) {
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * factor));
}

} // namespace

void idle_transaction_policy::on_pause(duration pause) {
    const duration difference = pause - mean_;
    mean_ += scaled(difference, settings_.weight);
    deviation_ += scaled(std::chrono::abs(difference) - deviation_, settings_.weight);
}

duration idle_transaction_policy::limit(duration configured, bool statements_wait) const {
    // Without a limit of the operator, transactions may rest as long as they like.
    if (!statements_wait || configured <= duration(0)) {
        return configured;
    }
    const duration usual = mean_ + scaled(deviation_, settings_.deviations);
    return std::min(configured, std::max(usual, settings_.min_limit));
}

} // namespace gentianhill
