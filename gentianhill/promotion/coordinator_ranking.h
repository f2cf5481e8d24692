#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// A live daemon that may coordinate promotions.
struct coordinator_candidate {
    /// Name of the daemon.
    std::string daemon;
    /// Its availability zone.
    std::string zone;
};

/// Number of daemons that hold claims for a group.
constexpr std::size_t default_coordinator_count = 3;

/// Coordinators of a group, highest rank first: rendezvous hashing over the candidates, one per zone until
/// all zones are used. The result does not depend on the order of the candidates.
[[nodiscard]] std::vector<std::string> rank_coordinators(std::string_view group,
                                                         const std::vector<coordinator_candidate>& candidates,
                                                         std::size_t count = default_coordinator_count);

/// Rank of a daemon among the coordinators of a group, from 0; nullopt when it is not a coordinator.
[[nodiscard]] std::optional<std::size_t>
coordinator_rank(std::string_view group, std::string_view daemon,
                 const std::vector<coordinator_candidate>& candidates,
                 std::size_t count = default_coordinator_count);

} // namespace gentianhill
