#include "gentianhill/peer/relay_tree.h"

#include "gentianhill/peer/neighbour_selection.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace gentianhill {

relay_tree::relay_tree(const relay_tree_settings& settings, const std::string& self, const std::string& zone,
                       const std::set<std::string>& members, const std::set<std::string>& silent)
    : settings_(settings), self_(self), order_(members.begin(), members.end()) {
    assert(settings_.watchers > 0 && settings_.fan_out > 0);
    std::sort(order_.begin(), order_.end(), [&zone](const std::string& left, const std::string& right) {
        return std::pair{rendezvous_weight(zone, left), left} >
               std::pair{rendezvous_weight(zone, right), right};
    });
    const std::optional<std::size_t> own_index = index_of(self_);
    assert(own_index);
    for (std::optional<std::size_t> above = parent_of(*own_index); above; above = parent_of(*above)) {
        const std::string& name = order_[*above];
        if (depth_ == 0) {
            designated_parent_ = name;
        }
        ++depth_;
        if (!parent_ && silent.count(name) == 0) {
            parent_ = name;
        }
    }
}

std::vector<std::string> relay_tree::children_of(const std::string& daemon) const {
    const std::optional<std::size_t> index = index_of(daemon);
    std::vector<std::string> children;
    if (!index) {
        return children;
    }
    const std::size_t first = settings_.watchers + *index * settings_.fan_out;
    for (std::size_t i = first; i < std::min(first + settings_.fan_out, order_.size()); ++i) {
        children.push_back(order_[i]);
    }
    return children;
}

std::optional<std::size_t> relay_tree::index_of(const std::string& daemon) const {
    const std::vector<std::string>::const_iterator found = std::find(order_.begin(), order_.end(), daemon);
    if (found == order_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(order_.begin(), found));
}

std::optional<std::size_t> relay_tree::parent_of(std::size_t index) const {
    if (index < settings_.watchers) {
        return std::nullopt;
    }
    return (index - settings_.watchers) / settings_.fan_out;
}

} // namespace gentianhill
