#include "gentianhill/core/graceful_stop.h"

#include <algorithm>
#include <array>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 6> phase_names{"running",  "unready", "closing_sessions",
                                                      "refusing", "ending",  "stopped"};
/// Share of the grace time after which sessions are closed even if the load balancer may not have noticed.
constexpr double max_unready_share = 0.4;
/// Share of the grace time that belongs to open transactions.
constexpr double refusing_share = 0.5;
/// Share of the grace time after which statements in flight are answered without their result. The rest
/// covers the delivery of these answers on an overloaded host.
constexpr double ending_share = 0.88;
/// Share of the grace time after which the process exits whatever is left.
constexpr double exit_share = 0.97;
/// Time without open work before the process exits, in which the last answers reach their clients: an exit
/// with unread input resets a connection.
constexpr duration settling_time = 100ms;

duration share_of(duration length, double share) {
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * share));
}

} // namespace

std::string_view to_string(stop_phase phase) {
    return phase_names.at(static_cast<std::size_t>(phase));
}

void graceful_stop::request(time_point now) {
    if (is_requested()) {
        return;
    }
    phase_ = stop_phase::unready;
    requested_at_ = now;
}

duration graceful_stop::elapsed(time_point now) const {
    return is_requested() ? now - requested_at_ : duration(0);
}

bool graceful_stop::is_past(time_point now, double share) const {
    return elapsed(now) >= share_of(settings_.grace, share);
}

stop_phase graceful_stop::advance(time_point now, bool has_open_work) {
    const duration unready_time =
        std::min(settings_.balancer_delay, share_of(settings_.grace, max_unready_share));
    if (phase_ == stop_phase::unready && elapsed(now) >= unready_time) {
        phase_ = stop_phase::closing_sessions;
    }
    if (phase_ == stop_phase::closing_sessions && is_past(now, refusing_share)) {
        phase_ = stop_phase::refusing;
        return phase_;
    }
    const bool may_exit = phase_ == stop_phase::refusing || phase_ == stop_phase::ending ||
                          (phase_ == stop_phase::closing_sessions && settings_.exits_early);
    if (!may_exit) {
        return phase_;
    }
    if (has_open_work) {
        finished_since_.reset();
    } else if (!finished_since_) {
        finished_since_ = now;
    }
    const bool is_settled = finished_since_ && now - *finished_since_ >= settling_time;
    if (phase_ == stop_phase::refusing && !is_settled) {
        // Statements are answered in this phase also when the process was suspended past its end.
        phase_ = is_past(now, ending_share) ? stop_phase::ending : stop_phase::refusing;
        return phase_;
    }
    if (is_settled || is_past(now, exit_share)) {
        phase_ = stop_phase::stopped;
    }
    return phase_;
}

} // namespace gentianhill
