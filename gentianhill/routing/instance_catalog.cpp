#include "gentianhill/routing/instance_catalog.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gentianhill {

namespace {

/// True when the entries differ in more than what identifies their state.
bool differs(const listed_instance& left, listed_instance right) {
    right.update_number = left.update_number;
    right.era = left.era;
    return !(left == right);
}

/// Within an era the store decides which entry is the last one. An older entry that says the same as the
/// known one is used, since an instance does not write an entry again that differs in the number alone.
bool is_outdated(const listed_instance& listed, const listed_instance& known) {
    return listed.era != known.era &&
           std::tie(listed.started_at_ms, listed.update_number) <
               std::tie(known.started_at_ms, known.update_number) &&
           differs(listed, known);
}

} // namespace

void instance_catalog::apply_list(const std::vector<listed_instance>& listed, time_point now) {
    std::set<std::string> listed_ids;
    for (const listed_instance& instance : listed) {
        listed_ids.insert(instance.id);
        upsert(instance);
    }
    for (std::map<std::string, entry>::value_type& known : entries_) {
        if (listed_ids.find(known.first) == listed_ids.end() && !known.second.missing_since) {
            known.second.missing_since = now;
        }
    }
}

void instance_catalog::upsert(const listed_instance& listed) {
    const listed_instance* known = find_known(listed.id);
    if (known != nullptr && is_outdated(listed, *known)) {
        if (on_outdated) {
            on_outdated(listed, *known);
        }
        return;
    }
    listed_instance accepted = listed;
    if (known != nullptr && known->started_at_ms == listed.started_at_ms) {
        // The copy of yet another era may hold an entry from between the two.
        accepted.update_number = std::max(known->update_number, listed.update_number);
    }
    const auto [found, added] = entries_.try_emplace(listed.id, entry{accepted, std::nullopt});
    const bool changed = added || differs(found->second.listed, accepted);
    found->second = {accepted, std::nullopt};
    if (changed && on_change) {
        on_change(accepted);
    }
}

const listed_instance* instance_catalog::find_known(const std::string& id) const {
    const std::map<std::string, entry>::const_iterator found = entries_.find(id);
    if (found != entries_.end()) {
        return &found->second.listed;
    }
    const std::map<std::string, listed_instance>::const_iterator removed = removed_.find(id);
    return removed == removed_.end() ? nullptr : &removed->second;
}

void instance_catalog::remember_removed(const listed_instance& listed) {
    if (removed_.insert_or_assign(listed.id, listed).second) {
        removal_order_.push_back(listed.id);
    }
    if (removal_order_.size() > max_removed) {
        removed_.erase(removal_order_.front());
        removal_order_.pop_front();
    }
}

void instance_catalog::mark_missing(const std::string& id, time_point now) {
    const std::map<std::string, entry>::iterator found = entries_.find(id);
    if (found != entries_.end() && !found->second.missing_since) {
        found->second.missing_since = now;
    }
}

void instance_catalog::expire(time_point now) {
    for (std::map<std::string, entry>::iterator known = entries_.begin(); known != entries_.end();) {
        if (!known->second.missing_since || now - *known->second.missing_since < grace_period) {
            ++known;
            continue;
        }
        const listed_instance removed = known->second.listed;
        known = entries_.erase(known);
        remember_removed(removed);
        if (on_remove) {
            on_remove(removed);
        }
    }
}

bool instance_catalog::has_missing() const {
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const std::map<std::string, entry>::value_type& known) {
                           return known.second.missing_since.has_value();
                       });
}

std::vector<listed_instance> instance_catalog::instances() const {
    std::vector<listed_instance> result;
    result.reserve(entries_.size());
    for (const std::map<std::string, entry>::value_type& known : entries_) {
        result.push_back(known.second.listed);
    }
    return result;
}

} // namespace gentianhill
