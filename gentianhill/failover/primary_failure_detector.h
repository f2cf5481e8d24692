#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// State of a primary; every value but `healthy` is a reason for a promotion or for releasing fences.
enum class primary_verdict : std::uint8_t {
    healthy,
    /// It has not answered any request for too long.
    unreachable,
    /// It answers requests but acknowledges no commits.
    not_committing,
    /// It has announced that it is leaving.
    leaving,
    /// No instance claims to be the primary.
    missing,
    /// It serves, but a replica is still fenced by an unfinished promotion.
    replicas_fenced,
};

/// Returns the name of a verdict as it appears in logs.
[[nodiscard]] std::string_view to_string(primary_verdict verdict);

/// Timeouts of the failure detector.
struct primary_failure_detector_settings {
    /// Time without an answer, with at least two failed probes, after which a primary counts as unreachable.
    /// Exceeds the slowest answers of a healthy instance under load.
    duration silence_limit = std::chrono::milliseconds(700);
    /// The same for a primary that refuses connections. It can be shorter, because an overloaded primary does
    /// not refuse connections.
    duration refusal_limit = std::chrono::milliseconds(300);
    /// Time for which a commit may wait while no later one is acknowledged.
    duration commit_stall_limit = std::chrono::milliseconds(900);
    /// Time without any instance claiming to be the primary after which the primary counts as missing.
    duration missing_limit = std::chrono::milliseconds(1500);
    /// Time after which the fence of a replica counts as left over; a promotion is finished by then. Fences
    /// of a running promotion are not at risk, because they are released only under the duty lease.
    duration stale_fence_limit = std::chrono::milliseconds(1500);
};

/// Failure detector for the primary of one database group, fed by the answers to statements and probes.
class primary_failure_detector {
public:
    explicit primary_failure_detector(const primary_failure_detector_settings& settings)
        : settings_(settings) {}

    /// Records whether a replica of the primary's term is fenced.
    void on_replica_fence_state(const std::string& id, bool is_fenced, time_point now);
    /// Discards all observations, because the primary has changed or is no longer known.
    void reset(bool has_primary, time_point now);
    /// Records an answer of the primary to any request.
    void on_answer(time_point now);
    /// Records that the primary, or the instance that claims to be it while none is known, is alive.
    void on_primary_alive(time_point now) {
        on_answer(now);
        missing_since_ = now;
    }
    /// Records a failed probe or connection attempt.
    void on_failure(bool refused, time_point now);
    /// Records the acknowledgement of a data-changing commit that was sent at `sent_at`.
    void on_commit_acknowledged(time_point sent_at);
    /// Records that a data-changing commit sent at `sent_at` is still unacknowledged at `now`.
    void on_commit_waiting(time_point sent_at, time_point now);
    /// Records whether the primary has announced that it is leaving.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    /// Returns the state of the primary at `now`.
    [[nodiscard]] primary_verdict verdict(time_point now) const;
    /// True if a probe or connection attempt has failed since the last answer.
    [[nodiscard]] bool has_failed() const { return failures_ > 0; }
    /// Time since the last answer; decides when the next probe is due.
    [[nodiscard]] duration silence(time_point now) const { return now - last_answer_; }

private:
    primary_failure_detector_settings settings_;
    bool has_primary_ = false;
    bool leaving_ = false;
    time_point missing_since_;
    time_point last_answer_;
    std::int64_t failures_ = 0;
    std::int64_t refusals_ = 0;
    std::optional<time_point> last_acknowledged_sent_at_;
    bool commit_stalled_ = false;
    /// Fenced replicas, with the time at which each was first seen fenced.
    std::map<std::string, time_point> fenced_since_;
};

} // namespace gentianhill
