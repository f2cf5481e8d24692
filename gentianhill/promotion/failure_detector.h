#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Limits of a failure_detector. They assume a probe every `probe_interval` while no other answers arrive.
struct failure_detector_settings {
    /// Maximum time between two requests to the primary whose results are passed to the detector.
    duration probe_interval = std::chrono::milliseconds{100};
    /// Number of consecutive refused connections, without an answer in between, that indicate a crash.
    std::size_t refused_count = 2;
    /// Minimum time from the first to the last of these refusals.
    duration refused_span = std::chrono::milliseconds{80};
    /// Time without any answer while a request waits. A pause of 500 ms and a TCP retransmission after 200 ms
    /// must not be suspected, so 700 ms is the lower bound.
    duration silence_limit = std::chrono::milliseconds{800};
    /// Time without any answer to a write while writes are sent.
    duration commit_limit = std::chrono::milliseconds{1200};
    /// Minimum number of unanswered writes for a suspicion; a single one may have lost its connection.
    std::size_t unanswered_writes = 2;
    /// Time without confirmation progress while an executed write waits. A replication lag spike of 2 s that
    /// ends in a pause of 700 ms must not be suspected; 2.5 s is too short for that.
    duration confirm_limit = std::chrono::milliseconds{3000};
    /// Time without a known primary.
    duration no_primary_limit = std::chrono::seconds{1};
    /// Time after a change of primary without suspicion, except for refused connections.
    duration hysteresis = std::chrono::seconds{2};
    /// Maximum age of a confirmed write that is reported to peers as evidence that the primary works. Shorter
    /// than silence_limit.
    duration opinion_window = std::chrono::milliseconds{300};
    /// A longer gap of the event loop discards all evidence.
    duration loop_gap_limit = std::chrono::milliseconds{500};
};

/// State of the primary as seen by this daemon.
enum class primary_health : std::uint8_t { unknown, healthy, suspected };
/// Evidence behind a suspicion.
enum class suspicion_reason : std::uint8_t {
    none,
    connection_refused,
    silent,
    not_committing,
    not_confirming,
    no_primary,
};
/// Name of a health as it appears in logs.
[[nodiscard]] std::string_view to_string(primary_health health);
/// Name of a reason as it appears in logs.
[[nodiscard]] std::string_view to_string(suspicion_reason reason);

/// Assessment of the primary by a failure_detector.
struct primary_assessment {
    primary_health health = primary_health::unknown;
    suspicion_reason reason = suspicion_reason::none;
};

/// Decides whether the primary of one database group is suspected to have failed.
class failure_detector {
public:
    explicit failure_detector(const failure_detector_settings& settings);

    /// Changes the limits; evidence gathered so far is kept.
    void set_settings(const failure_detector_settings& settings) { settings_ = settings; }
    /// Sets the primary and its term; a change discards all evidence and starts the hysteresis period.
    void observe_primary(const std::optional<std::string>& instance, term_number term, time_point now);
    /// A request was sent to the primary.
    void on_request_sent(time_point now);
    /// The primary sent any answer, including errors and answers to probes.
    void on_answer(time_point now);
    /// A connection to the primary was refused.
    void on_connection_refused(time_point now);
    /// A request timed out or lost its connection. This is not evidence by itself: silence is measured from
    /// the first request without an answer.
    void on_request_unanswered(time_point now);
    /// A write was sent to the primary. Each call is followed by exactly one of on_write_executed,
    /// on_write_rejected and on_write_unanswered. Writes that may wait for locks of an open transaction must
    /// not be reported.
    void on_write_sent(time_point now);
    /// The primary executed the write; it now waits for confirmation.
    void on_write_executed(time_point now);
    /// The primary answered the write with an error.
    void on_write_rejected(time_point now);
    /// The write timed out or its connection was lost.
    void on_write_unanswered(time_point now);
    /// The confirmed position advanced; `all_confirmed` when no executed write waits for confirmation.
    void on_confirm_progress(bool all_confirmed, time_point now);
    /// The event loop did not run for `gap`. Time in which this process could not receive answers does not
    /// count as silence of the primary; a gap above loop_gap_limit discards all evidence.
    void observe_loop_gap(duration gap);

    [[nodiscard]] primary_assessment assessment(time_point now) const;
    /// True when a write was confirmed within opinion_window and this daemon does not suspect the primary.
    /// This is the opinion given to peers.
    [[nodiscard]] bool saw_confirmed_write(time_point now) const;

private:
    void discard_evidence();
    void on_write_answered(time_point now);
    [[nodiscard]] suspicion_reason find_suspicion(time_point now) const;

    failure_detector_settings settings_;
    std::optional<std::string> primary_;
    term_number term_ = 0;
    std::optional<time_point> changed_at_;
    std::optional<time_point> no_primary_since_;
    bool answered_ = false;
    std::optional<time_point> unanswered_since_;
    std::size_t refusals_ = 0;
    time_point first_refusal_;
    time_point last_refusal_;
    std::size_t waiting_writes_ = 0;
    std::size_t writes_since_answer_ = 0;
    time_point last_write_sent_;
    std::optional<time_point> uncommitted_since_;
    std::optional<time_point> unconfirmed_since_;
    std::optional<time_point> last_confirmation_;
};

} // namespace gentianhill
