#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gentianhill {

/// Phase of a graceful shutdown, in the order in which the phases follow each other.
enum class stop_phase : std::uint8_t {
    running,
    /// Reported as not ready; new clients may still connect until the load balancer has noticed.
    unready,
    /// Sessions without an open transaction are closed between two statements.
    closing_sessions,
    /// New statements are refused, open transactions are rolled back, statements in flight finish.
    refusing,
    /// Statements that are still in flight are answered, and the answers are sent.
    ending,
    stopped,
};

/// Returns the name of a phase for logging.
[[nodiscard]] std::string_view to_string(stop_phase phase);

/// Timing of a graceful shutdown.
struct graceful_stop_settings {
    /// Time from the request until the process is killed.
    duration grace = std::chrono::seconds(6);
    /// Time until the load balancer notices that the daemon is not ready: two probes one second apart, plus
    /// transit time.
    duration balancer_delay = std::chrono::milliseconds(2300);
    /// True when clients are told to send nothing more, as by GOAWAY in HTTP/2: the process then exits before
    /// half of the grace time if no work is open.
    bool exits_early = false;
};

/// Decides when a daemon that was asked to stop closes sessions, refuses statements and exits. Half of the
/// grace time belongs to open transactions, so that what is in flight at its end has the other half to
/// finish.
class graceful_stop {
public:
    explicit graceful_stop(const graceful_stop_settings& settings) : settings_(settings) {}

    /// Begins the shutdown; later calls have no effect.
    void request(time_point now);
    /// Moves on to the phase that is due and returns it. `has_open_work` is true while a client has a
    /// statement or a transaction open, or an answer that is not sent.
    stop_phase advance(time_point now, bool has_open_work);

    [[nodiscard]] stop_phase phase() const { return phase_; }
    [[nodiscard]] bool is_requested() const { return phase_ != stop_phase::running; }
    /// True while new statements are run.
    [[nodiscard]] bool accepts_statements() const { return phase_ < stop_phase::refusing; }
    /// Time since the request.
    [[nodiscard]] duration elapsed(time_point now) const;

private:
    [[nodiscard]] bool is_past(time_point now, double share) const;

    graceful_stop_settings settings_;
    stop_phase phase_ = stop_phase::running;
    time_point requested_at_;
    std::optional<time_point> finished_since_;
};

} // namespace gentianhill
