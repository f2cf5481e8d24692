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

/// Place of one daemon in the relay tree of its zone. Every daemon computes the tree from its own view of the
/// zone: all members ordered by hash, the first ones are the roots. A silent daemon keeps its place; those
/// below it turn to the next one above, or watch the platform themselves when there is none. Views that
/// differ cost a repeated or a missing message, which the comparison of ticket numbers in heartbeats repairs.
class relay_tree {
public:
    /// `members` are all daemons of the zone, `self` included.
    relay_tree(const relay_tree_settings& settings, const std::string& self, const std::string& zone,
               const std::set<std::string>& members, const std::set<std::string>& silent);

    /// True when this daemon watches the platform itself.
    [[nodiscard]] bool is_watcher() const { return !parent_; }
    /// Daemon that passes tickets on to this one; nothing for a watcher.
    [[nodiscard]] const std::optional<std::string>& parent() const { return parent_; }
    /// Daemon directly above, silent or not; nothing for a root. Its return is worth noticing.
    [[nodiscard]] const std::optional<std::string>& designated_parent() const { return designated_parent_; }
    /// Daemons directly below this one.
    [[nodiscard]] std::vector<std::string> children() const { return children_of(self_); }
    /// Daemons directly below another one, which are served in its place when it does not answer.
    [[nodiscard]] std::vector<std::string> children_of(const std::string& daemon) const;
    /// Steps from a root to this daemon.
    [[nodiscard]] std::size_t depth() const { return depth_; }

private:
    [[nodiscard]] std::optional<std::size_t> index_of(const std::string& daemon) const;
    [[nodiscard]] std::optional<std::size_t> parent_of(std::size_t index) const;

    relay_tree_settings settings_;
    std::string self_;
    std::vector<std::string> order_;
    std::optional<std::string> parent_;
    std::optional<std::string> designated_parent_;
    std::size_t depth_ = 0;
};

} // namespace gentianhill
