#pragma once

#include "gentianhill/peer/neighbour_selection.h"
#include "gentianhill/peer/relay_tree.h"

#include <cstddef>

namespace gentianhill::control_bench {

/// Shape of the exchanges in a fleet, computed without running it.
struct fleet_plan {
    /// Pairs of daemons that exchange heartbeats, counted at each daemon: average, 99th percentile and
    /// greatest.
    double pairs_mean = 0;
    std::size_t pairs_p99 = 0;
    std::size_t pairs_max = 0;
    /// Daemons that watch the platform, in all zones.
    std::size_t watchers = 0;
    /// Most steps from a watcher to a daemon.
    std::size_t relay_depth = 0;
    /// Daemons that news from one daemon reaches over the pairs.
    std::size_t reached = 0;
};

/// Computes neighbour sets and relay trees of `daemons` daemons in `zones` zones of equal size.
[[nodiscard]] fleet_plan plan_fleet(std::size_t daemons, std::size_t zones,
                                    const neighbour_settings& neighbours, const relay_tree_settings& relay);

} // namespace gentianhill::control_bench
