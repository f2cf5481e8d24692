#include "gentianhill/admission/error_avoidance.h"

namespace gentianhill {

bool error_avoidance::on_result(bool failed, time_point now) {
    error_rate_ += settings_.weight * ((failed ? 1.0 : 0.0) - error_rate_);
    if (failed) {
        errors_ = now - last_error_ > settings_.memory ? 1 : errors_ + 1;
        successes_ = 0;
        last_error_ = now;
        if (!is_avoided_ && errors_ >= settings_.min_errors && error_rate_ >= settings_.max_error_rate) {
            is_avoided_ = true;
            probed_at_ = now;
            return true;
        }
        return false;
    }
    ++successes_;
    if (is_avoided_ && successes_ >= settings_.successes_to_recover) {
        reset();
        return true;
    }
    return false;
}

bool error_avoidance::is_probe_due(time_point now) const {
    return is_avoided_ && now - probed_at_ >= settings_.probe_interval;
}

void error_avoidance::reset() {
    error_rate_ = 0.0;
    errors_ = 0;
    successes_ = 0;
    is_avoided_ = false;
}

} // namespace gentianhill
