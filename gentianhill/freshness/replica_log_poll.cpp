#include "gentianhill/freshness/replica_log_poll.h"

#include <algorithm>

namespace gentianhill {

bool replica_log_poll::start(time_point now, duration timeout) {
    if (asked_at_ && now - *asked_at_ < timeout) {
        return false;
    }
    asked_at_ = now;
    log_ends_.clear();
    return true;
}

std::optional<replica_log_poll::snapshot>
replica_log_poll::on_answer(const std::string& id, log_position received, time_point sent_at,
                            const std::vector<std::string>& replicas) {
    if (!asked_at_ || sent_at < *asked_at_) {
        return std::nullopt;
    }
    log_ends_.insert_or_assign(id, received);
    snapshot result;
    result.asked_at = *asked_at_;
    for (const std::string& replica : replicas) {
        const std::map<std::string, log_position>::const_iterator found = log_ends_.find(replica);
        if (found == log_ends_.end()) {
            return std::nullopt;
        }
        result.longest = std::max(result.longest, found->second);
        ++result.replicas;
    }
    asked_at_.reset();
    return result;
}

} // namespace gentianhill
