#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Which commits a read has to see.
enum class consistency_level : std::uint8_t {
    /// All commits acknowledged before the read.
    latest,
    /// All commits acknowledged `max_staleness` before the read.
    bounded_staleness,
    /// As bounded_staleness, and all commits of the same session.
    read_your_writes,
};

/// How statements for one database are served.
struct route {
    /// Name of the route, for logs.
    std::string name;
    /// Database that clients name.
    std::string database;
    /// Database group that serves it.
    std::string group;
    /// Which commits a read has to see.
    consistency_level consistency = consistency_level::latest;
    /// Longest time for one statement.
    duration timeout{0};
    /// Time within which a whole operation should be answered.
    duration target_latency{0};
    /// 0 is served first.
    std::int64_t priority = 0;
    /// Age that a read may have.
    duration max_staleness{0};
};

/// Limits of one database group.
struct group_limits {
    /// Connections that an instance accepts from all proxies together.
    std::int64_t max_connections = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    std::int64_t sync_replicas = 0;
};

/// One whole state of the configuration; the highest number stands.
struct proxy_configuration {
    std::uint64_t version = 0;
    /// Routes by database.
    std::map<std::string, std::shared_ptr<const route>, std::less<>> routes;
    /// Groups by name.
    std::map<std::string, group_limits, std::less<>> groups;
    /// Time after which an idle transaction may be ended; zero means never.
    duration transaction_idle_limit{0};
};

/// Configuration in effect; its version never goes back.
class route_table {
public:
    /// Puts a configuration into effect; false when its version is not above the present one.
    bool apply(proxy_configuration configuration);
    /// Route of a database; null when there is none.
    [[nodiscard]] std::shared_ptr<const route> find(std::string_view database) const;
    /// The configuration in effect; nothing before the first one.
    [[nodiscard]] const std::optional<proxy_configuration>& current() const { return current_; }

private:
    std::optional<proxy_configuration> current_;
};

} // namespace gentianhill
