#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Shape of the relay tree of a zone.
struct relay_tree_settings {
    /// Daemons per zone that watch the platform; the second one covers the failure of the first.
    std::size_t watchers = 2;
    /// Daemons that each daemon passes tickets on to.
    std::size_t fan_out = 4;
};

/// Place of one daemon in the relay tree of its zone. Every daemon computes it from its own view of the zone:
/// the members ordered by hash, without those known to be silent. Views that differ cost a repeated or a
/// missing message, which the comparison of ticket numbers in heartbeats repairs.
class relay_tree {
public:
    /// `members` are all daemons of the zone, `self` included.
    relay_tree(const relay_tree_settings& settings, const std::string& self, const std::string& zone,
               const std::set<std::string>& members, const std::set<std::string>& silent);

    /// True when this daemon watches the platform itself.
    [[nodiscard]] bool is_watcher() const { return !parent_; }
    /// Daemon that passes tickets on to this one; nothing for a watcher.
    [[nodiscard]] const std::optional<std::string>& parent() const { return parent_; }
    /// Daemons that this one passes tickets on to.
    [[nodiscard]] const std::vector<std::string>& children() const { return children_; }
    /// Steps from a watcher to this daemon.
    [[nodiscard]] std::size_t depth() const { return depth_; }

private:
    std::optional<std::string> parent_;
    std::vector<std::string> children_;
    std::size_t depth_ = 0;
};

} // namespace gentianhill
