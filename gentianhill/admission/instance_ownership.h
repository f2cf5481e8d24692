#pragma once

#include "gentianhill/core/time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Live daemon that can own instances.
struct owner_candidate {
    /// Name of the daemon.
    std::string daemon;
    /// Availability zone of its entry host.
    std::string zone;

    // clang-tidy 14 mistakes the generated comparison with 0 for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const owner_candidate&, const owner_candidate&) = default;
};

/// Hysteresis of ownership changes.
struct instance_ownership_settings {
    /// Time for which the membership must be unchanged before it takes effect.
    duration stable_time = std::chrono::seconds{2};
};

/// Assigns each instance to one live daemon by rendezvous hashing: to a daemon in the zone of the instance,
/// or to any daemon if that zone has none. A changed membership takes effect only once it has been stable for
/// instance_ownership_settings::stable_time.
class instance_ownership {
public:
    explicit instance_ownership(const instance_ownership_settings& settings);

    /// Sets the daemons that are live now, in any order. The first non-empty membership takes effect at once.
    void set_members(std::vector<owner_candidate> members, time_point now);
    /// Applies a pending membership that has been stable long enough. Returns true if owners may have
    /// changed.
    bool apply_stable_members(time_point now);
    /// Returns the daemon that owns the instance; nullopt while no daemon is known.
    [[nodiscard]] std::optional<std::string_view> owner_of(std::string_view instance,
                                                           std::string_view zone) const;

private:
    instance_ownership_settings settings_;
    std::vector<owner_candidate> members_;
    std::vector<owner_candidate> pending_members_;
    time_point pending_since_;
    bool has_members_ = false;
    bool has_pending_ = false;
};

} // namespace gentianhill
