#pragma once

#include "gentianhill/core/rendezvous.h"
#include "gentianhill/peer/peer_address.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Sizes of the neighbour set.
struct neighbour_settings {
    /// Up to this many other daemons, each daemon exchanges heartbeats with all of them.
    std::size_t full_mesh_limit = 8;
    /// Daemons of the own zone to choose beyond it, besides the parent in the relay tree.
    std::size_t own_zone = 1;
    /// Daemons of other zones to choose beyond it, each in a zone of its own.
    std::size_t other_zones = 1;
};

/// Chooses the daemons that a daemon exchanges heartbeats with, by rendezvous hashing. Pure.
/// Silent daemons stay in the result, so that their return is noticed, and each is replaced by the next
/// choice.
[[nodiscard]] std::set<std::string> choose_neighbours(const neighbour_settings& settings,
                                                      const std::string& self, const std::string& own_zone,
                                                      const std::vector<peer_address>& peers,
                                                      const std::set<std::string>& silent);

/// Orders the daemons of one zone by their weight for a subject, highest first. Pure.
[[nodiscard]] std::vector<std::string> rank_in_zone(std::string_view subject, std::string_view zone,
                                                    const std::vector<peer_address>& peers);

} // namespace gentianhill
