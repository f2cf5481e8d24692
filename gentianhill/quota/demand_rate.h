#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Rate of events, averaged with exponentially falling weights.
class demand_rate {
public:
    /// Time constant of the average: short enough to follow demand that moves to another zone within a
    /// second.
    static constexpr duration time_constant = std::chrono::milliseconds(700);

    void add(double events, time_point now);
    /// Events per second.
    [[nodiscard]] double at(time_point now) const;

private:
    double rate_ = 0;
    time_point updated_at_;
};

} // namespace gentianhill
