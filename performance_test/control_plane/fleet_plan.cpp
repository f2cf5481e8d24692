#include "performance_test/control_plane/fleet_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentianhill::control_bench {

namespace {

using link_map = std::map<std::string, std::set<std::string>>;

std::size_t count_reached(const link_map& links) {
    std::set<std::string> reached{links.begin()->first};
    std::vector<std::string> open{links.begin()->first};
    while (!open.empty()) {
        const std::string next = open.back();
        open.pop_back();
        for (const std::string& other : links.at(next)) {
            if (reached.insert(other).second) {
                open.push_back(other);
            }
        }
    }
    return reached.size();
}

} // namespace

fleet_plan plan_fleet(std::size_t daemons, std::size_t zones, const neighbour_settings& neighbours,
                      const relay_tree_settings& relay) {
    std::vector<peer_address> fleet;
    std::map<std::string, std::set<std::string>> members;
    for (std::size_t i = 0; i < daemons; ++i) {
        const peer_address address{fmt::format("entry-host-{:04}", i), fmt::format("zone-{:02}", i % zones),
                                   endpoint{"127.0.0.1", 1}};
        members[address.zone].insert(address.daemon);
        fleet.push_back(address);
    }
    fleet_plan plan;
    link_map links;
    for (std::size_t i = 0; i < daemons; ++i) {
        const peer_address self = fleet[i];
        std::vector<peer_address> peers = fleet;
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
        std::set<std::string> chosen = choose_neighbours(neighbours, self.daemon, self.zone, peers, {});
        const relay_tree tree{relay, self.daemon, self.zone, members[self.zone], {}};
        plan.watchers += tree.is_watcher() ? 1 : 0;
        plan.relay_depth = std::max(plan.relay_depth, tree.depth());
        if (tree.parent()) {
            chosen.insert(*tree.parent());
        }
        for (const std::string& other : chosen) {
            links[self.daemon].insert(other);
            links[other].insert(self.daemon);
        }
    }
    std::vector<std::size_t> pairs;
    pairs.reserve(links.size());
    for (const std::pair<const std::string, std::set<std::string>>& entry : links) {
        pairs.push_back(entry.second.size());
        plan.pairs_mean += static_cast<double>(entry.second.size()) / static_cast<double>(daemons);
    }
    std::sort(pairs.begin(), pairs.end());
    plan.pairs_p99 = pairs[pairs.size() * 99 / 100];
    plan.pairs_max = pairs.back();
    plan.reached = count_reached(links);
    return plan;
}

} // namespace gentianhill::control_bench
