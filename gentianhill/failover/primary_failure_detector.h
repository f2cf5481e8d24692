#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Why a primary should be replaced.
enum class primary_verdict : std::uint8_t {
    /// It serves.
    healthy,
    /// It has not answered anything for too long.
    unreachable,
    /// It answers, but no commit is acknowledged.
    not_committing,
    /// It has announced that it leaves.
    leaving,
    /// No instance takes itself for the primary.
    missing,
    /// It serves, but a replica is still fenced by a promotion that nobody finished.
    replicas_fenced,
};

/// Name of a verdict for logs.
[[nodiscard]] std::string_view to_string(primary_verdict verdict);

/// Limits of a primary watch.
struct primary_failure_detector_settings {
    /// Silence, with at least two failed probes, after which a primary counts as unreachable. The slowest
    /// answers of a healthy instance under load take less.
    duration silence_limit = std::chrono::milliseconds(700);
    /// The same for a primary that refuses connections, which a loaded one does not do.
    duration refusal_limit = std::chrono::milliseconds(300);
    /// Time for which a commit may wait while none is acknowledged.
    duration commit_stall_limit = std::chrono::milliseconds(900);
    /// Time for which no instance may claim to be the primary.
    duration missing_limit = std::chrono::milliseconds(1500);
    /// Time for which a replica may stay fenced before it is looked into; a promotion is over by then. The
    /// duty keeps the fences of a running one safe.
    duration stale_fence_limit = std::chrono::milliseconds(1500);
};

/// Judges one database group's primary from the answers to statements and probes.
class primary_failure_detector {
public:
    explicit primary_failure_detector(const primary_failure_detector_settings& settings)
        : settings_(settings) {}

    /// A replica of the primary's term says whether it is fenced.
    void on_replica_fence_state(const std::string& id, bool is_fenced, time_point now);
    /// Starts again for another primary, or for none.
    void reset(bool has_primary, time_point now);
    /// The primary has answered anything.
    void on_answer(time_point now);
    /// The primary, or the instance that claims to lead while none is known, shows that it lives.
    void on_primary_alive(time_point now) {
        on_answer(now);
        missing_since_ = now;
    }
    /// A probe or a connection attempt has failed.
    void on_failure(bool refused, time_point now);
    /// A commit that changes data was sent at `sent_at` and acknowledged.
    void on_commit_acknowledged(time_point sent_at);
    /// A commit that changes data has waited since `sent_at`.
    void on_commit_waiting(time_point sent_at, time_point now);
    /// The primary has announced that it leaves, or has taken that back.
    void set_leaving(bool leaving) { leaving_ = leaving; }
    /// Judgement of now.
    [[nodiscard]] primary_verdict verdict(time_point now) const;
    /// True when a probe or a connection attempt has failed since the last answer.
    [[nodiscard]] bool has_failed() const { return failures_ > 0; }
    /// Time since the last answer; a probe is due when it grows.
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
    /// Replicas that are fenced, since when.
    std::map<std::string, time_point> fenced_since_;
};

} // namespace gentianhill
