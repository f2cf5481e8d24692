#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/core/time.h"
#include "gentianhill/relay/daemon_directory.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// When statements are handed on to the owner of their group, and to which daemon.
struct owner_selection_settings {
    /// A zone's list of daemons is used once it has not changed for this time. Longer than it takes daemons
    /// that start together to list themselves, so that owners move once.
    duration steady_time = std::chrono::milliseconds(1000);
    /// Statements are handed on when a daemon's part of the connections to an instance is smaller: it needs
    /// one for a transaction whose client pauses and one for the statements meanwhile.
    double min_direct_connections = 2.0;
    /// Share of an instance's connections that the owners of all zones have. The rest is for control
    /// connections, for daemons whose owner is lost, and for processes that replace others: an instance
    /// counts those of a process that has ended for seconds.
    double owner_share = 0.7;
    /// Connections to an instance of a daemon that runs a statement itself although it is not the owner.
    std::size_t reserve_connections = 1;
    /// Time after the start in which a daemon that does not know the others yet opens no connections to
    /// instances on its own account.
    duration unknown_limit = std::chrono::milliseconds(2000);
};

/// Decides which daemon of the zone runs the statements of a group: the first one in the rendezvous order of
/// the group that is not known to be unavailable. Daemons with different views choose different owners for a
/// while, which costs connections only.
class owner_selection {
public:
    /// `directory` and `log` must outlive the object.
    owner_selection(const owner_selection_settings& settings, const daemon_directory& directory, logger& log,
                    metrics& registry);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    /// Called when the owner of some group may have changed.
    std::function<void()> on_change;

    /// Takes over the directory's daemons once they are steady; `is_known` is false while the directory has
    /// no state yet. Call it periodically.
    void tick(bool is_known);
    /// True if statements are handed on at all, for an instance limit of `max_connections`.
    [[nodiscard]] bool is_needed(std::int64_t max_connections) const;
    /// True once the daemons of the zone are known, or have not become known in time.
    [[nodiscard]] bool is_settled() const { return adopted_ || unknown_for_long_; }
    /// Owner of a group; this daemon's own name if it is the owner.
    [[nodiscard]] std::string owner_of(const std::string& group) const;
    [[nodiscard]] bool is_owner(const std::string& group) const {
        return owner_of(group) == directory_.name();
    }
    /// Connections to an instance that the owner of a group in one zone may have.
    [[nodiscard]] std::size_t owner_connections(std::int64_t max_connections) const;
    [[nodiscard]] const owner_selection_settings& settings() const { return settings_; }
    /// Excludes a daemon, or includes it again.
    void set_available(const std::string& name, bool is_available);
    [[nodiscard]] const std::set<std::string>& unavailable() const { return unavailable_; }
    [[nodiscard]] std::optional<endpoint> address_of(const std::string& name) const {
        return directory_.address_of(name);
    }
    [[nodiscard]] const std::string& own_name() const { return directory_.name(); }

private:
    [[nodiscard]] const std::vector<std::string>& order_of(const std::string& group) const;

    owner_selection_settings settings_;
    const daemon_directory& directory_;
    logger& log_;
    counter& changes_;
    /// Daemons of the zone in use, and those that the directory has listed since `seen_at_`.
    std::vector<std::string> members_;
    std::vector<std::string> seen_;
    time_point seen_at_;
    std::optional<time_point> started_at_;
    bool adopted_ = false;
    bool unknown_for_long_ = false;
    std::size_t zones_ = 1;
    std::size_t daemons_ = 1;
    std::set<std::string> unavailable_;
    /// Computed on first use after a change of `members_`.
    mutable std::map<std::string, std::vector<std::string>> orders_;
};

} // namespace gentianhill
