#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_version.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// A daemon of the deployment, as it lists itself in the metadata store.
struct directory_entry {
    /// Availability zone; empty in an entry of a version that does not list it.
    std::string zone;
    /// Address for other daemons; nothing when it talks to none.
    std::optional<endpoint> address;

    friend bool operator==(const directory_entry&, const directory_entry&) = default;
};

/// Timing of the directory.
struct daemon_directory_settings {
    /// Pause before an attempt to write the own entry is repeated.
    duration write_pause = std::chrono::milliseconds(1000);
    /// Time without a message after which a daemon of the own zone is taken for gone and its entry is
    /// removed. Longer than a daemon may be suspended, since one that returns has to write its entry again.
    duration silence_limit = std::chrono::seconds(20);
    /// A pause of this length between two checks shows that this process was suspended.
    duration suspension_limit = std::chrono::seconds(1);
    /// Time between two checks for entries to remove.
    duration check_interval = std::chrono::seconds(1);
};

/// Daemons of the deployment, by their entries in the metadata store. A daemon writes its entry at its start
/// and removes it at a planned stop. The entry of one that has gone otherwise is removed by the first live
/// daemon of its zone, which hears the others of the zone when they ask it for state.
class daemon_directory {
public:
    /// `store`, `replica` (of the daemons' collection) and `log` must outlive the directory.
    daemon_directory(metadata_store& store, const collection_replica& replica, logger& log,
                     const daemon_directory_settings& settings, std::string name, directory_entry self);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    /// Called when the number of daemons has changed.
    std::function<void(std::size_t count)> on_count;

    /// Applies a change of the replica.
    void update();
    /// Records that a daemon of the own zone is alive.
    void on_heard(const std::string& name);
    /// Writes the own entry when it is missing, and removes those of daemons that have gone. Call it
    /// periodically; `store_reachable` is false while entries may be out of date.
    void tick(bool store_reachable);
    /// Removes the own entry from the store and does not write it again.
    void remove_own_entry();

    /// Number of daemons, including this one.
    [[nodiscard]] std::size_t count() const;
    /// Daemons of the own zone that are ranked above this one, highest first.
    [[nodiscard]] const std::vector<std::string>& ranked_above() const { return ranked_above_; }
    /// Daemons of the own zone that are ranked below this one, highest first.
    [[nodiscard]] const std::vector<std::string>& ranked_below() const { return ranked_below_; }
    /// Daemons of the own zone in the order for a subject, such as a database group; includes this one.
    [[nodiscard]] const std::vector<std::string>& zone_order(const std::string& subject) const;
    /// Number of daemons that precede this one in the order of all daemons for a subject.
    [[nodiscard]] std::size_t rank(const std::string& subject) const;
    [[nodiscard]] std::optional<endpoint> address_of(const std::string& name) const;
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::map<std::string, directory_entry, std::less<>>& entries() const {
        return entries_;
    }

private:
    void write();
    void on_written(const store_answer& answer);
    void remove_silent(time_point current);
    [[nodiscard]] bool is_silent(const std::string& name, time_point current) const;
    [[nodiscard]] nlohmann::json own_content() const;

    metadata_store& store_;
    const collection_replica& replica_;
    logger& log_;
    daemon_directory_settings settings_;
    std::string name_;
    directory_entry self_;
    /// All other daemons.
    std::map<std::string, directory_entry, std::less<>> entries_;
    std::vector<std::string> ranked_above_;
    std::vector<std::string> ranked_below_;
    /// Last message of each daemon of the own zone, or the time at which its entry was first seen.
    std::map<std::string, time_point> heard_at_;
    /// Computed on first use after a change of `entries_`.
    mutable std::map<std::string, std::size_t> ranks_;
    mutable std::map<std::string, std::vector<std::string>> zone_orders_;
    std::size_t reported_count_ = 1;
    /// Version at which the own entry was last written or found; revision 0 when there is none.
    store_version own_version_;
    bool own_entry_confirmed_ = false;
    bool writing_ = false;
    bool own_entry_removed_ = false;
    time_point next_write_;
    time_point next_check_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
