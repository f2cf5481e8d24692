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

/// Times of the registry.
struct daemon_registry_settings {
    /// Time between two refreshes of the own entry.
    duration refresh = std::chrono::seconds(8);
    /// Time between two looks at the list; a new daemon is counted at most this much later.
    duration look = std::chrono::seconds(3);
    /// An entry that has not changed for this time belongs to a daemon that has ended. Several refreshes.
    duration lapse = std::chrono::seconds(26);
};

/// Counts the live daemons of a deployment by their entries in the metadata store. The store removes nothing
/// by itself, so entries that no longer change are left out, by this process's own clock.
class daemon_registry {
public:
    /// `store` and `log` must outlive the registry.
    daemon_registry(metadata_store& store, logger& log, const daemon_registry_settings& settings,
                    std::string name, std::string incarnation);

    /// Time that counts while the host is suspended.
    std::function<time_point()> now;
    /// The number of daemons has changed.
    std::function<void(std::size_t count)> on_count;

    /// Regular work.
    void tick();
    /// Removes the own entry.
    void leave();
    /// Daemons that are counted, this one included; at least 1.
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
    std::map<std::string, observation> seen_;
    std::uint64_t refreshes_ = 0;
    std::size_t count_ = 1;
    time_point next_refresh_;
    time_point next_look_;
    bool writing_ = false;
    bool listing_ = false;
    bool left_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
