#include "tests/relay/simulated_fleet.h"

#include <fmt/format.h>

#include <algorithm>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct scenario {
    std::size_t daemons = 0;
    std::size_t routes = 0;
    /// Link of each host, in Mbit/s.
    double link_mbps = 0;
};

/// Time until all daemons have a version, or a minute.
duration time_until_all_have(simulated_fleet& fleet, std::uint64_t version) {
    const time_point began_at = fleet.clock.now();
    while (!fleet.behind(version).empty() && fleet.clock.now() - began_at < 60s) {
        fleet.run_for(10ms);
    }
    return fleet.clock.now() - began_at;
}

std::uint64_t most_bytes_sent(const simulated_fleet& fleet) {
    std::uint64_t most = 0;
    for (const auto& [name, bytes] : fleet.bytes_sent) {
        most = std::max(most, bytes);
    }
    return most;
}

void play(const scenario& played) {
    constexpr double bytes_per_mbit = 125'000;
    simulated_fleet fleet(1, played.daemons);
    fleet.link_bytes_per_s = played.link_mbps * bytes_per_mbit;
    fleet.configure_routes(2, played.routes / 20);
    fleet.run_for(5s);
    fleet.bytes_sent.clear();
    fleet.configure_routes(3, played.routes);
    const duration growth = time_until_all_have(fleet, 3);
    const std::uint64_t growth_bytes = most_bytes_sent(fleet);
    fleet.run_for(5s);
    fleet.bytes_sent.clear();
    fleet.configure_routes(4, played.routes);
    const duration change = time_until_all_have(fleet, 4);
    fmt::print("{:>7} {:>6} {:>6} {:>10} {:>12} {:>10} {:>12}\n", played.daemons, played.link_mbps,
               played.routes, to_milliseconds(growth), growth_bytes, to_milliseconds(change),
               most_bytes_sent(fleet));
}

} // namespace

/// Prints how long a configuration takes to reach a zone of daemons whose two sources share its transfer, in
/// simulated time: links and messages, without processing.
int main() {
    fmt::print("{:>7} {:>6} {:>6} {:>10} {:>12} {:>10} {:>12}\n", "daemons", "Mbit/s", "routes", "growth ms",
               "most bytes", "change ms", "most bytes");
    for (const double link_mbps : {10.0, 2.0}) {
        for (const std::size_t routes : {1470U, 5000U}) {
            for (const std::size_t daemons : {27U, 100U, 115U, 300U}) {
                play({daemons, routes, link_mbps});
            }
        }
    }
    return 0;
}
