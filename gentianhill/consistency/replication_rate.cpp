#include "gentianhill/consistency/replication_rate.h"

#include <cmath>

namespace gentianhill {

replication_rate::replication_rate(const replication_rate_settings& settings) : settings_(settings) {}

void replication_rate::observe(const instance_report& report) {
    if (has_report_ && report.received_at <= last_at_) {
        return;
    }
    const std::uint64_t position = report.last_entry.position;
    // A log that became shorter was truncated or lost; its old rate says nothing about the new one.
    if (!has_report_ || position < last_position_) {
        has_report_ = true;
        has_rate_ = false;
        rate_ = 0.0;
    } else {
        const double seconds = std::chrono::duration<double>(report.received_at - last_at_).count();
        const double observed = static_cast<double>(position - last_position_) / seconds;
        const double constant = std::chrono::duration<double>(settings_.time_constant).count();
        const double kept = has_rate_ ? std::exp(-seconds / constant) : 0.0;
        rate_ = kept * rate_ + (1.0 - kept) * observed;
        has_rate_ = true;
    }
    last_position_ = position;
    last_at_ = report.received_at;
}

} // namespace gentianhill
