#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// Intervals and timeouts of the registry.
struct daemon_registry_settings {
    /// Time between two writes of the daemon's own entry.
    duration refresh_interval = std::chrono::seconds(8);
    /// Time between two listings of all entries; bounds the delay until a new daemon is counted.
    duration list_interval = std::chrono::seconds(3);
    /// An entry unchanged for this time counts as that of a stopped daemon. Must span several refresh
    /// intervals.
    duration entry_timeout = std::chrono::seconds(26);
};

/// Counts the live daemons of a deployment by their entries in the metadata store. The store does not expire
/// entries, so an entry is ignored once it has not changed for `entry_timeout` on the local clock.
class daemon_registry {
public:
    /// `store` and `log` must outlive the registry.
    daemon_registry(metadata_store& store, logger& log, const daemon_registry_settings& settings,
                    std::string name, std::string incarnation);

    /// Clock that also advances while the host is suspended.
    std::function<time_point()> now;
    /// Called when the number of live daemons changes.
    std::function<void(std::size_t count)> on_count;

    /// Refreshes the own entry and lists all entries when due; call it periodically.
    void tick();
    /// Removes the own entry from the store and stops refreshing it.
    void remove_own_entry();
    /// Number of live daemons, including this one.
    [[nodiscard]] std::size_t count() const { return count_; }

private:
    struct observation {
        std::uint64_t revision = 0;
        time_point changed_at;
        bool listed = false;
    };

    void write(std::uint64_t revision);
    void list(const std::string& after);
    void on_page(const store_answer& answer);
    void recount();

    metadata_store& store_;
    logger& log_;
    daemon_registry_settings settings_;
    std::string name_;
    std::string incarnation_;
    std::map<std::string, observation> entries_;
    std::uint64_t refreshes_ = 0;
    std::size_t count_ = 1;
    time_point next_refresh_;
    time_point next_list_;
    bool writing_ = false;
    bool listing_ = false;
    bool own_entry_removed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
