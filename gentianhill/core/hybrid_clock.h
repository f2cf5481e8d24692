#pragma once

#include "gentianhill/core/hybrid_timestamp.h"

#include <cstdint>
#include <optional>

namespace gentianhill {

/// Limits of a hybrid logical clock.
struct hybrid_clock_settings {
    /// Largest lead of a remote reading over the local wall clock that is accepted, in milliseconds.
    std::int64_t max_lead_ms = 60'000;
};

/// Hybrid logical clock: each reading is greater than all earlier ones and all received ones.
class hybrid_clock {
public:
    explicit hybrid_clock(const hybrid_clock_settings& settings = {});

    /// Reading for a local event or a message to send; `wall_ms` is the wall clock now.
    hybrid_timestamp now(std::int64_t wall_ms);
    /// Reading for a received message that carries `remote`.
    /// Errors: out_of_range when `remote` leads the wall clock by more than max_lead_ms; the clock is then
    /// unchanged, since one faulty host must not move the clocks of all others.
    std::optional<hybrid_timestamp> receive(const hybrid_timestamp& remote, std::int64_t wall_ms,
                                            error& reason);
    /// Last reading handed out.
    [[nodiscard]] hybrid_timestamp last() const { return last_; }

private:
    hybrid_timestamp advance(hybrid_timestamp floor, std::int64_t wall_ms);

    hybrid_clock_settings settings_;
    hybrid_timestamp last_;
};

} // namespace gentianhill
