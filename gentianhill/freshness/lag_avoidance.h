#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

namespace gentianhill {

/// Times of a lag avoidance.
struct lag_avoidance_settings {
    /// Time for which a replica is avoided after its first refusal; about the lag of a healthy replica.
    duration first_pause = std::chrono::milliseconds{25};
    /// Longest pause. Reads turn to a replica that has caught up within this time.
    duration longest_pause = std::chrono::milliseconds{400};
};

/// Decides whether a replica that has refused a read because its log is too short is worth asking again. Each
/// refusal takes a round trip and a slot from reads that it could serve.
class lag_avoidance {
public:
    explicit lag_avoidance(const lag_avoidance_settings& settings = {}) : settings_(settings) {}

    /// Records that the replica lacked a position.
    void on_lagging(const log_position& needed, time_point now);
    /// Records a position that the replica has reached.
    void on_reached(const log_position& position);
    /// True if the replica is not expected to have reached a position.
    [[nodiscard]] bool is_behind(const log_position& needed, time_point now) const;
    /// True while the replica is avoided for some reads.
    [[nodiscard]] bool is_avoided(time_point now) const { return pause_ > duration(0) && now < until_; }
    /// Forgets everything, because the instance has restarted.
    void reset() { pause_ = duration(0); }

private:
    lag_avoidance_settings settings_;
    /// Lowest position that the replica lacked.
    log_position lacked_;
    time_point until_;
    /// Zero when no position is known to be lacking.
    duration pause_{0};
};

} // namespace gentianhill
