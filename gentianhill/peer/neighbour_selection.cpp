#include "gentianhill/peer/neighbour_selection.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using weighted_name = std::pair<std::uint64_t, std::string>;

/// Names by weight, highest first.
std::vector<std::string> by_weight(std::vector<weighted_name> entries) {
    std::sort(entries.begin(), entries.end(), std::greater<>{});
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (weighted_name& entry : entries) {
        names.push_back(std::move(entry.second));
    }
    return names;
}

/// Adds names in order until `count` of them are not silent; at most twice as many in all.
void add_first(const std::vector<std::string>& ranked, std::size_t count, const std::set<std::string>& silent,
               std::set<std::string>& chosen) {
    std::size_t heard = 0;
    std::size_t added = 0;
    for (const std::string& name : ranked) {
        if (heard == count || added == 2 * count) {
            return;
        }
        chosen.insert(name);
        ++added;
        heard += silent.count(name) == 0 ? 1 : 0;
    }
}

} // namespace

std::vector<std::string> rank_in_zone(std::string_view subject, std::string_view zone,
                                      const std::vector<peer_address>& peers) {
    std::vector<weighted_name> members;
    for (const peer_address& peer : peers) {
        if (peer.zone == zone) {
            members.emplace_back(rendezvous_weight(subject, peer.daemon), peer.daemon);
        }
    }
    return by_weight(std::move(members));
}

std::set<std::string> choose_neighbours(const neighbour_settings& settings, const std::string& self,
                                        const std::string& own_zone, const std::vector<peer_address>& peers,
                                        const std::set<std::string>& silent) {
    std::set<std::string> chosen;
    if (peers.size() <= settings.full_mesh_limit) {
        for (const peer_address& peer : peers) {
            chosen.insert(peer.daemon);
        }
        return chosen;
    }
    add_first(rank_in_zone(self, own_zone, peers), settings.own_zone, silent, chosen);
    // The zones are ranked for this daemon, so that all pairs of zones are linked by some daemons.
    std::set<std::string> zones;
    for (const peer_address& peer : peers) {
        if (peer.zone != own_zone) {
            zones.insert(peer.zone);
        }
    }
    std::vector<weighted_name> ranked_zones;
    ranked_zones.reserve(zones.size());
    for (const std::string& zone : zones) {
        ranked_zones.emplace_back(rendezvous_weight(self, zone), zone);
    }
    std::vector<std::string> first_of_zones;
    for (const std::string& zone : by_weight(std::move(ranked_zones))) {
        first_of_zones.push_back(rank_in_zone(self, zone, peers).front());
    }
    add_first(first_of_zones, settings.other_zones, silent, chosen);
    return chosen;
}

} // namespace gentianhill
