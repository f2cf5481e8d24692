#pragma once

#include "gentianhill/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Tracks when each replica last reported that it follows the current primary and is not fenced.
class unfenced_replica_reports {
public:
    /// Records such a report in the answer to a request sent at `asked_at`.
    void add(const std::string& id, time_point asked_at);
    /// Discards the report of a replica that has restarted or left.
    void remove(const std::string& id) { last_asked_.erase(id); }
    /// Discards all reports, because the primary has changed.
    void clear() { last_asked_.clear(); }
    /// Returns the time since which all of `replicas` have reported: the earliest of their latest request
    /// times. No value if a replica has not reported or `replicas` is empty. Reports from all rule out a
    /// promotion, because the promoted replica would report itself as the new primary.
    [[nodiscard]] std::optional<time_point>
    all_reported_since(const std::vector<std::string>& replicas) const;
    /// Returns the request time of the latest report of any replica.
    [[nodiscard]] std::optional<time_point> latest() const;

private:
    std::map<std::string, time_point> last_asked_;
};

} // namespace gentianhill
