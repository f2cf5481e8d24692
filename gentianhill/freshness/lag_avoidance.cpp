#include "gentianhill/freshness/lag_avoidance.h"

#include <algorithm>

namespace gentianhill {

void lag_avoidance::on_lagging(const log_position& needed, time_point now) {
    if (now < until_) {
        // Sent before the first refusal was known.
        lacked_ = std::min(lacked_, needed);
        return;
    }
    pause_ = std::clamp(pause_ * 2, settings_.first_pause, settings_.longest_pause);
    until_ = now + pause_;
    lacked_ = needed;
}

void lag_avoidance::on_reached(const log_position& position) {
    if (pause_ > duration(0) && position >= lacked_) {
        pause_ = duration(0);
        until_ = time_point{};
    }
}

bool lag_avoidance::is_behind(const log_position& needed, time_point now) const {
    return is_avoided(now) && needed >= lacked_;
}

} // namespace gentianhill
