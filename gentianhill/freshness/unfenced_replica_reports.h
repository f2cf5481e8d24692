#pragma once

#include "gentianhill/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// When each replica last said that it follows the present primary and is not fenced.
class unfenced_replica_reports {
public:
    /// The replica answered so to a question sent at `asked_at`.
    void add(const std::string& id, time_point asked_at);
    /// The replica has restarted or left.
    void remove(const std::string& id) { last_asked_.erase(id); }
    /// Another primary leads.
    void clear() { last_asked_.clear(); }
    /// The oldest of the latest questions to each of `replicas`; nothing when one has not answered so, or
    /// when there is no replica. One of them would be promoted, and says so afterwards.
    [[nodiscard]] std::optional<time_point>
    all_reported_since(const std::vector<std::string>& replicas) const;
    /// The latest question that any replica answered so.
    [[nodiscard]] std::optional<time_point> latest() const;

private:
    std::map<std::string, time_point> last_asked_;
};

} // namespace gentianhill
