#include "gentianhill/consistency/replication_rate.h"

#include <cmath>

namespace gentianhill {

replication_rate::replication_rate(const replication_rate_settings& settings) : settings_(settings) {}

void replication_rate::observe(const instance_report& report) {
    if (has_report_ && report.received_at <= last_received_at_) {
        return;
    }
    const std::uint64_t position = report.last_entry.position;
    // A shorter log was truncated or lost; its rate does not apply to the new log.
    if (!has_report_ || position < last_position_) {
        has_report_ = true;
        has_rate_ = false;
        rate_ = 0.0;
    } else {
        const double seconds = std::chrono::duration<double>(report.received_at - last_received_at_).count();
        const double observed_rate = static_cast<double>(position - last_position_) / seconds;
        const double time_constant_seconds = std::chrono::duration<double>(settings_.time_constant).count();
        const double old_weight = has_rate_ ? std::exp(-seconds / time_constant_seconds) : 0.0;
        rate_ = old_weight * rate_ + (1.0 - old_weight) * observed_rate;
        has_rate_ = true;
    }
    last_position_ = position;
    last_received_at_ = report.received_at;
}

} // namespace gentianhill
