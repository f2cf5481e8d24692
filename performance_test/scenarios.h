#pragma once

#include "performance_test/deployment.h"
#include "performance_test/figures.h"

#include <cstdint>
#include <vector>

namespace gentianhill::bench {

/// Share of reads on replicas, violations and read latency, at several replication lags.
[[nodiscard]] std::vector<figure> measure_replica_reads(const deployment& place, std::uint64_t seed);
/// Shares and latency of teams while one of them sends ten times its load.
[[nodiscard]] std::vector<figure> measure_fair_shares(const deployment& place, std::uint64_t seed);
/// Goodput at twice the capacity, and the load that retries add while attempts fail.
[[nodiscard]] std::vector<figure> measure_overload(const deployment& place, std::uint64_t seed);
/// Connections above the limit and capacity after the loss of a daemon, for ways to divide connections.
[[nodiscard]] std::vector<figure> measure_connections(const deployment& place, std::uint64_t seed);

} // namespace gentianhill::bench
