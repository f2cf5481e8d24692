#include "gentianhill/core/hybrid_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace gentianhill {

hybrid_clock::hybrid_clock(const hybrid_clock_settings& settings) : settings_(settings) {}

hybrid_timestamp hybrid_clock::advance(hybrid_timestamp floor, std::int64_t wall_ms) {
    if (wall_ms > floor.wall_ms) {
        last_ = hybrid_timestamp{wall_ms, 0};
    } else if (floor.counter == std::numeric_limits<std::uint32_t>::max()) {
        // The counter must not wrap: readings would no longer increase.
        last_ = hybrid_timestamp{floor.wall_ms + 1, 0};
    } else {
        last_ = hybrid_timestamp{floor.wall_ms, floor.counter + 1};
    }
    return last_;
}

hybrid_timestamp hybrid_clock::now(std::int64_t wall_ms) {
    return advance(last_, wall_ms);
}

std::optional<hybrid_timestamp> hybrid_clock::receive(const hybrid_timestamp& remote, std::int64_t wall_ms,
                                                      error& reason) {
    if (remote.wall_ms < 0 || remote.wall_ms > wall_ms + settings_.max_lead_ms) {
        reason =
            error{error_code::out_of_range, "clock", remote.to_string(),
                  fmt::format("0 to {} (at most {} ms ahead of this host); check the clock of the sender",
                              wall_ms + settings_.max_lead_ms, settings_.max_lead_ms)};
        return std::nullopt;
    }
    return advance(std::max(last_, remote), wall_ms);
}

} // namespace gentianhill
