#include "gentianhill/daemon/instance_poller.h"

#include <utility>

namespace gentianhill {

namespace {

constexpr duration long_poll_wait = std::chrono::milliseconds{100};
constexpr duration answer_timeout = std::chrono::milliseconds{400};
constexpr duration fresh_poll_interval = std::chrono::milliseconds{10};
/// Pause after a failed poll, so that an instance that is down is not polled in a tight loop.
constexpr duration failed_poll_interval = std::chrono::milliseconds{50};
/// A replica that nothing waits for is probed less often than a primary: its failure does not stop writes,
/// and at the rate of a primary the probes of three instances alone took 7.2 KB/s.
constexpr int idle_replica_factor = 5;
/// Probes of several daemons are spread by this share of the interval.
constexpr double probe_jitter = 0.2;

} // namespace

instance_poller::instance_poller(daemon_context& context, instance_gateway& gateway,
                                 std::function<poll_urgency()> urgency,
                                 std::function<const instance_report*()> known)
    : context_(context), gateway_(gateway), urgency_(std::move(urgency)), known_(std::move(known)) {}

void instance_poller::start() {
    poll();
}

void instance_poller::wake() {
    const poll_urgency wanted = urgency_();
    if (!open_) {
        if (wanted != poll_urgency::idle) {
            poll();
        }
        return;
    }
    // A long poll answers only when the position moves, so a fresh report needs a call of its own.
    if (wanted == poll_urgency::fresh && open_urgency_ != poll_urgency::fresh && !fresh_open_) {
        fresh_open_ = true;
        const std::weak_ptr<bool> alive = alive_;
        gateway_.control("/v1/status", nlohmann::json::object(), answer_timeout,
                         [this, alive](const std::optional<database_answer>&, const backend_failure&) {
                             if (!alive.expired()) {
                                 fresh_open_ = false;
                             }
                         });
    }
}

void instance_poller::poll() {
    next_.cancel();
    open_ = true;
    open_urgency_ = urgency_();
    nlohmann::json body = nlohmann::json::object();
    const instance_report* known = known_();
    if (open_urgency_ == poll_urgency::position && known != nullptr) {
        body["after_term"] = known->accepted_term;
        body["after_log_term"] = known->last_entry.term;
        body["after_position"] = known->last_entry.position;
        body["wait_ms"] = to_milliseconds(long_poll_wait);
    }
    const std::weak_ptr<bool> alive = alive_;
    gateway_.control("/v1/status", std::move(body), answer_timeout,
                     [this, alive](const std::optional<database_answer>& answer, const backend_failure&) {
                         if (alive.expired()) {
                             return;
                         }
                         open_ = false;
                         if (answer) {
                             schedule_next();
                             return;
                         }
                         next_ = context_.loop.call_after(failed_poll_interval, [this] { poll(); });
                     });
}

void instance_poller::schedule_next() {
    const poll_urgency urgency = urgency_();
    duration delay{0};
    if (urgency == poll_urgency::fresh) {
        delay = fresh_poll_interval;
    } else if (urgency == poll_urgency::idle) {
        const double interval = static_cast<double>(context_.settings.probe_interval.count());
        const double spread = 1.0 - probe_jitter * context_.random();
        const instance_report* known = known_();
        const bool is_replica = known != nullptr && !known->is_primary && known->initialised;
        const double factor = is_replica ? idle_replica_factor : 1.0;
        delay = duration{static_cast<std::int64_t>(interval * spread * factor)};
    }
    next_ = context_.loop.call_after(delay, [this] { poll(); });
}

} // namespace gentianhill
