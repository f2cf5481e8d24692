#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/proxy/proxy_instance.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Instances of one group that were removed from the list, for as long as a daemon with an older list may
/// believe them (docs/design/promotion-members.md). Such an instance may be cut from the store alone, live,
/// and receive from the primary.
///
/// Also tracks whether an instance may have departed unseen, before this daemon had its first list or while
/// its watch missed changes.
class departed_instances {
public:
    /// How the time of a departed instance was over.
    struct resolution {
        std::string id;
        /// It has ended; otherwise no daemon can believe it any longer.
        bool has_ended = false;
    };

    /// `network` and `log` must outlive the object. No daemon believes an instance that was removed `limit`
    /// ago.
    departed_instances(instance_network& network, logger& log, std::function<time_point()> clock,
                       duration limit);

    /// Called for every connection attempt, for metrics; may be empty.
    std::function<void()> on_connection_attempt;

    /// Adds an instance that was removed from the list.
    void add(const listed_instance& listed, const instance_pool_settings& pool);
    /// Forgets an instance, since it is listed again; returns its last entry, if it was here.
    std::optional<listed_instance> remove(const std::string& id);
    [[nodiscard]] proxy_instance* find(const std::string& id);
    [[nodiscard]] bool contains(const std::string& id) const { return instances_.count(id) > 0; }
    /// Last entries, by id.
    [[nodiscard]] std::vector<listed_instance> entries() const;
    /// Probes instances that have not answered yet, if `may_probe`, and forgets those whose time is over.
    [[nodiscard]] std::vector<resolution> tick(bool may_probe);

    /// Records that changes of the list may have been missed before now.
    void on_list_gap();
    /// True if no instance can have departed unseen that another daemon still believes.
    [[nodiscard]] bool are_known() const { return are_known_; }
    /// Time since changes may have been missed last.
    [[nodiscard]] duration gap_age() const { return clock_() - gap_at_; }
    /// Records whether the record of members, read after the gap at `gap`, names only instances that this
    /// daemon knows. Returns true if an unknown one was believed until now.
    [[nodiscard]] bool on_record_read(time_point gap, bool names_known_only);
    [[nodiscard]] time_point gap_at() const { return gap_at_; }

private:
    struct departed {
        std::unique_ptr<proxy_instance> instance;
        time_point removed_at;
        /// It has accepted a connection since.
        bool has_answered = false;
        /// Nothing listens at its address any more, or it was leaving and does not answer.
        bool has_ended = false;
    };

    instance_network& network_;
    logger& log_;
    std::function<time_point()> clock_;
    duration limit_;
    std::map<std::string, departed> instances_;
    /// Destroyed by the next tick, since one of their callbacks may be on the stack.
    std::vector<std::unique_ptr<proxy_instance>> removed_;
    time_point gap_at_;
    bool are_known_ = false;
};

} // namespace gentianhill
