#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gentianhill::bench {

/// Figures of one deployment (design page, section 1.2).
struct deployment {
    /// Prefix of the names of its figures.
    std::string name;
    /// Availability zones.
    std::vector<std::string> zones;
    /// One-way latency between zones.
    duration zone_latency;
    /// One-way latency to clients.
    duration client_latency;
    /// Requests that one instance runs at once.
    std::size_t slots;
    /// Connections that one instance accepts.
    std::size_t connection_limit;
    /// Daemons.
    std::size_t entry_hosts;
};

/// Both current deployments.
inline std::vector<deployment> deployments() {
    return {deployment{"rimworks",
                       {"kyushu-a", "kyushu-b", "kyushu-c"},
                       std::chrono::milliseconds{1},
                       std::chrono::milliseconds{1},
                       5,
                       35,
                       4},
            deployment{"whitmore",
                       {"kingston-a", "kingston-b", "spanish-town", "may-pen"},
                       std::chrono::microseconds{500},
                       std::chrono::milliseconds{3},
                       2,
                       30,
                       4}};
}

/// One-way latency inside a zone.
constexpr duration local_latency = std::chrono::microseconds{100};
/// Time to establish a connection to an instance.
constexpr duration connect_time = std::chrono::milliseconds{10};

} // namespace gentianhill::bench
