#include "gentianhill/admission/fair_queue.h"
#include "gentianhill/admission/retry_policy.h"
#include "performance_test/fake_instance.h"
#include "performance_test/scenarios.h"

#include <deque>
#include <map>
#include <memory>

namespace gentianhill::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration mean_service = milliseconds{2};
constexpr duration run_time = seconds{30};
constexpr duration patience = milliseconds{500};
// The baseline without admission control gives up an attempt after this time and tries again.
constexpr duration attempt_timeout = milliseconds{150};
constexpr int max_attempts = 3;
constexpr double overload_factor = 2.0;
// For the load of retries: half the capacity, and the instance fails for a fifth of the time.
constexpr double ordinary_load = 0.5;
constexpr duration failure_period = seconds{5};
constexpr duration failure_length = seconds{1};

/// Ways to treat requests when there are too many.
enum class overload_policy : std::uint8_t {
    /// Fair queue, refusal at once, retry budget.
    admitted,
    /// The same without time kept for the execution.
    no_reserve,
    /// First come first served up to the deadline, no retries.
    first_come,
    /// The same, with the fair queue's time kept for the execution.
    first_come_reserve,
    /// First come first served, each attempt repeated after a timeout, without a budget.
    unbounded_retries,
};

/// What one run found.
struct overload_result {
    std::size_t requests = 0;
    std::size_t retries = 0;
    std::size_t in_time = 0;
};

/// One instance under open-loop load.
class overload_world {
public:
    overload_world(const deployment& place, overload_policy policy, double load, bool failing,
                   std::uint64_t seed)
        : policy_(policy),
          failing_(failing),
          world_(seed),
          server_(world_, place.slots),
          queue_(settings_for(policy)),
          budget_(retry_budget_settings{}, time_point{}) {
        queue_.set_team("all", 1.0);
        const double capacity = static_cast<double>(place.slots) / static_cast<double>(mean_service.count());
        gap_ = duration{static_cast<std::int64_t>(1.0 / (capacity * load))};
    }

    overload_result run() {
        world_.after(gap_, [this] { arrive(); });
        world_.run_until(time_point{run_time});
        return result_;
    }

private:
    struct request {
        time_point deadline;
        int attempts = 0;
        bool is_done = false;
    };
    using request_ref = std::shared_ptr<request>;

    static fair_queue_settings settings_for(overload_policy policy) {
        fair_queue_settings settings;
        if (policy == overload_policy::no_reserve) {
            settings.execution_reserve = duration{0};
        }
        return settings;
    }

    [[nodiscard]] bool has_fair_queue() const {
        return policy_ == overload_policy::admitted || policy_ == overload_policy::no_reserve;
    }

    void arrive() {
        const request_ref created = std::make_shared<request>();
        created->deadline = world_.now() + patience;
        ++result_.requests;
        budget_.add_request(world_.now());
        attempt(created);
        world_.after(world_.exponential(gap_), [this] { arrive(); });
    }

    void attempt(const request_ref& target) {
        ++target->attempts;
        result_.retries += target->attempts > 1 ? 1 : 0;
        if (has_fair_queue()) {
            error reason;
            const std::optional<fair_queue::entry_id> id =
                queue_.push("all", target->deadline, 1.0, world_.now(), reason);
            if (id) {
                waiting_.emplace(*id, target);
            }
        } else {
            line_.push_back(target);
            if (policy_ == overload_policy::unbounded_retries) {
                world_.after(attempt_timeout, [this, target] { time_out(target); });
            }
        }
        dispatch();
    }

    void time_out(const request_ref& target) {
        // The attempt that timed out stays in the line and is still run.
        if (!target->is_done && target->attempts < max_attempts && world_.now() < target->deadline) {
            attempt(target);
        }
    }

    request_ref next() {
        if (has_fair_queue()) {
            expired_.clear();
            const std::optional<fair_queue::entry_id> id = queue_.pop(world_.now(), expired_);
            for (const fair_queue::entry_id gone : expired_) {
                waiting_.erase(gone);
            }
            if (!id) {
                return nullptr;
            }
            request_ref found = waiting_.at(*id);
            waiting_.erase(*id);
            return found;
        }
        const duration reserve = policy_ == overload_policy::first_come_reserve
                                     ? fair_queue_settings{}.execution_reserve
                                     : duration{0};
        while (!line_.empty()) {
            request_ref found = line_.front();
            line_.pop_front();
            if (policy_ == overload_policy::unbounded_retries || found->deadline - reserve > world_.now()) {
                return found;
            }
        }
        return nullptr;
    }

    [[nodiscard]] bool is_failing() const {
        return failing_ && world_.now().time_since_epoch() % failure_period < failure_length;
    }

    void dispatch() {
        while (server_.free_slots() > 0) {
            const request_ref found = next();
            if (found == nullptr) {
                return;
            }
            server_.submit(world_.uniform(mean_service / 2, mean_service * 3 / 2), [this, found] {
                if (is_failing()) {
                    fail(found);
                } else {
                    result_.in_time += !found->is_done && world_.now() <= found->deadline ? 1 : 0;
                    found->is_done = true;
                }
                dispatch();
            });
        }
    }

    void fail(const request_ref& target) {
        if (policy_ == overload_policy::unbounded_retries && target->attempts < max_attempts) {
            attempt(target);
        }
        if (!has_fair_queue()) {
            return;
        }
        failed_attempt failed;
        failed.kind = request_class::read;
        failed.progress = request_progress::sent;
        failed.code = error_code::connection_lost;
        failed.attempts = target->attempts;
        failed.deadline = target->deadline;
        failed.now = world_.now();
        if (retries_.decide(failed, budget_) == retry_action::retry_elsewhere) {
            attempt(target);
        }
    }

    overload_policy policy_;
    bool failing_;
    simulation world_;
    fake_instance server_;
    fair_queue queue_;
    retry_budget budget_;
    retry_policy retries_;
    duration gap_{0};
    std::map<fair_queue::entry_id, request_ref> waiting_;
    std::vector<fair_queue::entry_id> expired_;
    std::deque<request_ref> line_;
    overload_result result_;
};

double goodput(const deployment& place, overload_policy policy, std::uint64_t seed) {
    const overload_result result = overload_world{place, policy, overload_factor, false, seed}.run();
    const double capacity = static_cast<double>(place.slots) * static_cast<double>(run_time / mean_service);
    return static_cast<double>(result.in_time) / capacity;
}

double added_load(const deployment& place, overload_policy policy, std::uint64_t seed) {
    const overload_result result = overload_world{place, policy, ordinary_load, true, seed}.run();
    return static_cast<double>(result.retries) / static_cast<double>(result.requests);
}

} // namespace

std::vector<figure> measure_overload(const deployment& place, std::uint64_t seed) {
    return {figure{"goodput_at_2x_overload",
                   goodput(place, overload_policy::admitted, seed),
                   {{"no_reserve", goodput(place, overload_policy::no_reserve, seed)},
                    {"first_come", goodput(place, overload_policy::first_come, seed)},
                    {"first_come_reserve", goodput(place, overload_policy::first_come_reserve, seed)},
                    {"unbounded_retries", goodput(place, overload_policy::unbounded_retries, seed)}},
                   target{0.90, std::nullopt}},
            figure{"retry_added_load",
                   added_load(place, overload_policy::admitted, seed),
                   {{"unbounded_retries", added_load(place, overload_policy::unbounded_retries, seed)}},
                   target{std::nullopt, 0.10}}};
}

} // namespace gentianhill::bench
