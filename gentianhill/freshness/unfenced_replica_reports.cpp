#include "gentianhill/freshness/unfenced_replica_reports.h"

#include <algorithm>

namespace gentianhill {

void unfenced_replica_reports::add(const std::string& id, time_point asked_at) {
    time_point& latest = last_asked_[id];
    latest = std::max(latest, asked_at);
}

std::optional<time_point>
unfenced_replica_reports::all_reported_since(const std::vector<std::string>& replicas) const {
    std::optional<time_point> oldest;
    for (const std::string& replica : replicas) {
        const std::map<std::string, time_point>::const_iterator found = last_asked_.find(replica);
        if (found == last_asked_.end()) {
            return std::nullopt;
        }
        oldest = oldest ? std::min(*oldest, found->second) : found->second;
    }
    return oldest;
}

std::optional<time_point> unfenced_replica_reports::latest() const {
    std::optional<time_point> latest;
    for (const std::map<std::string, time_point>::value_type& entry : last_asked_) {
        latest = latest ? std::max(*latest, entry.second) : entry.second;
    }
    return latest;
}

} // namespace gentianhill
