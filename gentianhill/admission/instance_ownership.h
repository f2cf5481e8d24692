#pragma once

#include "gentianhill/core/time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// A live daemon that can own instances.
struct owner_candidate {
    /// Name of the daemon.
    std::string daemon;
    /// Availability zone of its entry host.
    std::string zone;

    // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const owner_candidate&, const owner_candidate&) = default;
};

/// Hysteresis of ownership.
struct instance_ownership_settings {
    /// The membership must be unchanged for this time before owners change.
    duration stable_time = std::chrono::seconds{2};
};

/// Assigns each instance to one live daemon by rendezvous hashing: to one of its zone, or to any if the zone
/// has none. Owners change only after the membership has been stable for a while.
class instance_ownership {
public:
    explicit instance_ownership(const instance_ownership_settings& settings);

    /// Takes the daemons that are live now, in any order. The first membership takes effect at once.
    void set_members(std::vector<owner_candidate> members, time_point now);
    /// Lets a stable membership take effect; returns whether owners may have changed.
    bool apply_stable_members(time_point now);
    /// Daemon that owns the instance; nothing while no daemon is known.
    [[nodiscard]] std::optional<std::string_view> owner_of(std::string_view instance,
                                                           std::string_view zone) const;

private:
    instance_ownership_settings settings_;
    std::vector<owner_candidate> members_;
    std::vector<owner_candidate> pending_;
    time_point pending_since_;
    bool has_members_ = false;
    bool is_pending_ = false;
};

} // namespace gentianhill
