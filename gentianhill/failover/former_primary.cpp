#include "gentianhill/failover/former_primary.h"

#include <algorithm>

namespace gentianhill {

void former_primary::on_leading(const std::string& id, std::int64_t started_at_ms, term_number term,
                                const log_position& log_end) {
    if (term < term_) {
        return;
    }
    const bool is_same_run = id == id_ && term == term_ && started_at_ms == started_at_ms_;
    id_ = id;
    started_at_ms_ = started_at_ms;
    term_ = term;
    leading_log_end_ = is_same_run ? std::max(leading_log_end_, log_end) : log_end;
    stepped_down_ = false;
    log_kept_ = false;
}

void former_primary::on_following(const std::string& id, const instance_status& status) {
    if (id != id_) {
        return;
    }
    stepped_down_ = true;
    // An empty log is no evidence: an instance that has lost its log answers the same.
    log_kept_ = status.term == term_ && status.log_end.position > 0 && status.log_end >= leading_log_end_;
}

bool former_primary::holds_log(const std::string& id, std::int64_t started_at_ms, term_number term) const {
    return id == id_ && started_at_ms == started_at_ms_ && term == term_ && stepped_down_ && log_kept_;
}

std::optional<log_position> former_primary::leading_log_end(const std::string& id, term_number term) const {
    const bool has_led = !id_.empty() && id == id_ && term == term_;
    return has_led ? std::optional(leading_log_end_) : std::nullopt;
}

} // namespace gentianhill
