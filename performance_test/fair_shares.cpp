#include "gentianhill/admission/fair_queue.h"
#include "performance_test/fake_instance.h"
#include "performance_test/scenarios.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <string>

namespace gentianhill::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t team_count = 4;
constexpr std::size_t flooding_team = 0;
// Each team asks for 15% of the capacity, 60% together, until one sends ten times as much.
constexpr double ordinary_load = 0.15;
constexpr double flood_factor = 10.0;
constexpr duration mean_service = milliseconds{2};
constexpr duration run_time = seconds{60};
constexpr duration patience = seconds{1};

enum class queue_policy : std::uint8_t { fair, first_come };

/// What one run found, per team.
struct share_result {
    std::array<double, team_count> asked{};
    std::array<double, team_count> served{};
    std::array<std::vector<double>, team_count> latencies_ms;
};

/// One instance behind a queue that teams share.
class share_world {
public:
    share_world(const deployment& place, queue_policy policy, bool flood, std::uint64_t seed)
        : policy_(policy), world_(seed), server_(world_, place.slots), queue_(fair_queue_settings{}) {
        const double capacity = static_cast<double>(place.slots) / static_cast<double>(mean_service.count());
        for (std::size_t team = 0; team < team_count; ++team) {
            queue_.set_team(name_of(team), 1.0);
            const double factor = flood && team == flooding_team ? flood_factor : 1.0;
            gaps_[team] = duration{static_cast<std::int64_t>(1.0 / (capacity * ordinary_load * factor))};
        }
    }

    share_result run() {
        for (std::size_t team = 0; team < team_count; ++team) {
            world_.after(world_.exponential(gaps_[team]), [this, team] { arrive(team); });
        }
        world_.run_until(time_point{run_time});
        return std::move(result_);
    }

private:
    struct request {
        std::size_t team = 0;
        time_point arrived;
        duration service;
    };

    static std::string name_of(std::size_t team) { return "team-" + std::to_string(team); }

    void arrive(std::size_t team) {
        const request created{team, world_.now(), world_.uniform(mean_service / 2, mean_service * 3 / 2)};
        result_.asked[team] += 1.0;
        if (policy_ == queue_policy::fair) {
            error reason;
            const std::optional<fair_queue::entry_id> id =
                queue_.push(name_of(team), world_.now() + patience, 1.0, world_.now(), reason);
            if (id) {
                waiting_.emplace(*id, created);
            }
        } else {
            line_.push_back(created);
        }
        dispatch();
        world_.after(world_.exponential(gaps_[team]), [this, team] { arrive(team); });
    }

    std::optional<request> next() {
        if (policy_ == queue_policy::fair) {
            expired_.clear();
            const std::optional<fair_queue::entry_id> id = queue_.pop(world_.now(), expired_);
            for (const fair_queue::entry_id gone : expired_) {
                waiting_.erase(gone);
            }
            if (!id) {
                return std::nullopt;
            }
            const request found = waiting_.at(*id);
            waiting_.erase(*id);
            return found;
        }
        // The baseline also gives up at the deadline, but without regard to teams.
        while (!line_.empty() && line_.front().arrived + patience <= world_.now()) {
            line_.pop_front();
        }
        if (line_.empty()) {
            return std::nullopt;
        }
        const request found = line_.front();
        line_.pop_front();
        return found;
    }

    void dispatch() {
        while (server_.free_slots() > 0) {
            const std::optional<request> found = next();
            if (!found) {
                return;
            }
            server_.submit(found->service, [this, done = *found] {
                result_.served[done.team] += 1.0;
                const duration spent = world_.now() - done.arrived;
                result_.latencies_ms[done.team].push_back(
                    std::chrono::duration<double, std::milli>(spent).count());
                dispatch();
            });
        }
    }

    queue_policy policy_;
    simulation world_;
    fake_instance server_;
    fair_queue queue_;
    std::array<duration, team_count> gaps_{};
    std::map<fair_queue::entry_id, request> waiting_;
    std::vector<fair_queue::entry_id> expired_;
    std::deque<request> line_;
    share_result result_;
};

/// Served part of the max-min fair share of each team, the lowest of all.
double min_ratio(const share_result& result) {
    double served_total = 0.0;
    for (const double served : result.served) {
        served_total += served;
    }
    // Quiet teams ask for less than a quarter each, so their fair share is all that they ask for, and the
    // flooding team's is the rest.
    double left = served_total;
    double lowest = 1.0;
    for (std::size_t team = 0; team < team_count; ++team) {
        if (team != flooding_team) {
            left -= result.asked[team];
            lowest = std::min(lowest, result.served[team] / result.asked[team]);
        }
    }
    const double fair = std::min(left, result.asked[flooding_team]);
    return std::min(lowest, result.served[flooding_team] / fair);
}

double quiet_p99(const share_result& result) {
    std::vector<double> all;
    for (std::size_t team = 0; team < team_count; ++team) {
        if (team != flooding_team) {
            all.insert(all.end(), result.latencies_ms[team].begin(), result.latencies_ms[team].end());
        }
    }
    return percentile(all, 0.99);
}

} // namespace

std::vector<figure> measure_fair_shares(const deployment& place, std::uint64_t seed) {
    std::array<double, 2> ratios{};
    std::array<double, 2> p99_ratios{};
    for (const queue_policy policy : {queue_policy::fair, queue_policy::first_come}) {
        const share_result calm = share_world{place, policy, false, seed}.run();
        const share_result flooded = share_world{place, policy, true, seed}.run();
        const std::size_t index = static_cast<std::size_t>(policy);
        ratios[index] = min_ratio(flooded);
        p99_ratios[index] = quiet_p99(flooded) / quiet_p99(calm);
    }
    return {
        figure{"fair_share_min_ratio", ratios[0], {{"first_come", ratios[1]}}, target{0.95, std::nullopt}},
        figure{"quiet_team_p99_ratio",
               p99_ratios[0],
               {{"first_come", p99_ratios[1]}},
               target{std::nullopt, 2.0}}};
}

} // namespace gentianhill::bench
