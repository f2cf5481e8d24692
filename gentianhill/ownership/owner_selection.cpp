#include "gentianhill/ownership/owner_selection.h"

#include "gentianhill/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

owner_selection::owner_selection(const owner_selection_settings& settings, const daemon_directory& directory,
                                 logger& log, metrics& registry)
    : settings_(settings),
      directory_(directory),
      log_(log),
      changes_(registry.add_counter("gentianhill_owner_changes_total",
                                    "Changes of the daemons among which the groups are distributed.")) {}

void owner_selection::tick(bool is_known) {
    const time_point current = now();
    started_at_ = started_at_.value_or(current);
    if (!is_known) {
        const bool was_unknown_for_long = unknown_for_long_;
        unknown_for_long_ = current - *started_at_ >= settings_.unknown_limit;
        if (unknown_for_long_ != was_unknown_for_long && on_change) {
            on_change();
        }
        return;
    }
    // The order for one fixed subject lists the same daemons as that of any group.
    const std::vector<std::string>& listed = directory_.zone_order("");
    if (listed != seen_) {
        seen_ = listed;
        seen_at_ = current;
    }
    const bool is_steady = current - seen_at_ >= settings_.steady_time;
    if ((adopted_ && !is_steady) || (adopted_ && seen_ == members_)) {
        return;
    }
    adopted_ = true;
    members_ = seen_;
    orders_.clear();
    std::erase_if(unavailable_, [this](const std::string& name) {
        return std::find(members_.begin(), members_.end(), name) == members_.end();
    });
    changes_.add();
    std::set<std::string> zones;
    for (const auto& [name, entry] : directory_.entries()) {
        zones.insert(entry.zone);
    }
    zones_ = std::max<std::size_t>(zones.size(), 1);
    daemons_ = directory_.count();
    log_.write(log_level::info, "ownership", "daemons_adopted",
               {{"daemons", members_.size()}, {"zones", zones_}, {"all", daemons_}});
    if (on_change) {
        on_change();
    }
}

bool owner_selection::is_needed(std::int64_t max_connections) const {
    if (members_.size() < 2 || max_connections <= 0) {
        return false;
    }
    const double part =
        static_cast<double>(max_connections) * settings_.owner_share / static_cast<double>(daemons_);
    return part < settings_.min_direct_connections;
}

const std::vector<std::string>& owner_selection::order_of(const std::string& group) const {
    const std::map<std::string, std::vector<std::string>>::const_iterator known = orders_.find(group);
    if (known != orders_.end()) {
        return known->second;
    }
    return orders_.emplace(group, rendezvous_order(group, members_)).first->second;
}

std::string owner_selection::owner_of(const std::string& group) const {
    for (const std::string& name : order_of(group)) {
        if (unavailable_.find(name) == unavailable_.end()) {
            return name;
        }
    }
    return directory_.name();
}

std::size_t owner_selection::owner_connections(std::int64_t max_connections) const {
    const double part =
        static_cast<double>(max_connections) * settings_.owner_share / static_cast<double>(zones_);
    return std::max<std::size_t>(static_cast<std::size_t>(part), 1);
}

void owner_selection::set_available(const std::string& name, bool is_available) {
    const bool is_changed = is_available ? unavailable_.erase(name) > 0 : unavailable_.insert(name).second;
    if (is_changed && on_change) {
        on_change();
    }
}

} // namespace gentianhill
