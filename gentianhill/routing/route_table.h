#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/teams/team_directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Consistency of reads: which commits a read must see.
enum class consistency_level : std::uint8_t {
    /// All commits acknowledged before the read began.
    latest,
    /// All commits acknowledged at least `max_staleness` before the read.
    bounded_staleness,
    /// Like bounded_staleness, plus all commits of the same session.
    read_your_writes,
};

/// Rules for serving the statements of one database.
struct route {
    /// Name of the route, for logging.
    std::string name;
    /// Database name used by clients.
    std::string database;
    /// Database group that serves the database.
    std::string group;
    /// Consistency of reads.
    consistency_level consistency = consistency_level::latest;
    /// Maximum duration of one statement.
    duration timeout{0};
    /// Target for the total latency of an operation.
    duration target_latency{0};
    /// Lower values are served first.
    std::int64_t priority = 0;
    /// Maximum age of the data returned by a read.
    duration max_staleness{0};
    /// True if callers need no key.
    bool is_public = false;
};

/// Connection limit and replication settings of one database group.
struct group_limits {
    /// Maximum number of connections to an instance from all proxies together.
    std::int64_t max_connections = 0;
    /// Number of replicas that must have received a commit before it is acknowledged.
    std::int64_t sync_replicas = 0;
};

/// Complete version of the configuration; the highest version takes effect.
struct proxy_configuration {
    std::uint64_t version = 0;
    /// Routes by database.
    std::map<std::string, std::shared_ptr<const route>, std::less<>> routes;
    /// Groups by name.
    std::map<std::string, group_limits, std::less<>> groups;
    /// Idle time after which a transaction may be ended; zero means never.
    duration transaction_idle_limit{0};
    /// Teams whose callers may use the routes; null when the deployment knows no teams, so that every caller
    /// may use every route.
    std::shared_ptr<const team_directory> teams;
};

/// Holds the configuration in effect; its version never decreases.
class route_table {
public:
    /// Puts a configuration into effect. Returns false if its version is not higher than the current one.
    bool apply(proxy_configuration configuration);
    /// Returns the route of a database, or null if there is none.
    [[nodiscard]] std::shared_ptr<const route> find(std::string_view database) const;
    /// Returns the configuration in effect; nullopt before the first one.
    [[nodiscard]] const std::optional<proxy_configuration>& current() const { return current_; }

private:
    std::optional<proxy_configuration> current_;
};

} // namespace gentianhill
