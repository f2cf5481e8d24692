#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace gentianhill {

/// Settings of the comparison with other daemons.
struct ticket_comparison_settings {
    /// Longest wait for daemons that do not answer, so that a lone daemon can accept tickets. The silence
    /// limit of the peer network: a daemon that is silent for longer counts as lost.
    duration limit = std::chrono::seconds{3};
};

/// Daemons whose tickets have been read in the present era of the platform's store. A restored store may lack
/// accepted tickets, so that a number that it does not hold may still be taken.
class ticket_comparison {
public:
    explicit ticket_comparison(const ticket_comparison_settings& settings = {}) : settings_(settings) {}

    /// Starts over for an era of the store; no effect if the comparison is of this era already.
    void begin(std::uint64_t era, time_point now);
    /// Records that all tickets of a daemon were read by a request that was sent in the era.
    void record(const std::string& daemon, std::uint64_t era);
    /// Era that is compared; nothing before the first one.
    [[nodiscard]] std::optional<std::uint64_t> era() const { return era_; }
    /// True if the tickets of the daemon have been read in the present era.
    [[nodiscard]] bool has_read(const std::string& daemon) const { return read_.contains(daemon); }
    /// True if all given daemons have been read or the limit has passed; false before the first era.
    [[nodiscard]] bool is_complete(const std::set<std::string>& daemons, time_point now) const;

private:
    ticket_comparison_settings settings_;
    std::optional<std::uint64_t> era_;
    time_point began_{};
    std::set<std::string> read_;
};

} // namespace gentianhill
