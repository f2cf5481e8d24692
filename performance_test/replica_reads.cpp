#include "gentianhill/consistency/replica_selector.h"
#include "gentianhill/consistency/replication_rate.h"
#include "gentianhill/consistency/session_token.h"
#include "gentianhill/consistency/staleness_tracker.h"
#include "performance_test/fake_instance.h"
#include "performance_test/scenarios.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>

namespace gentianhill::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t instances = 3;
constexpr std::size_t primary = 0;
constexpr std::size_t sessions = 200;
constexpr std::size_t reads_per_write = 9;
constexpr double recent_read_part = 0.1;
constexpr duration recent = milliseconds{50};
// A session writes once per cycle; its other reads are spread over the cycle.
constexpr duration cycle = seconds{2};
constexpr duration run_time = seconds{30};
constexpr duration patience = seconds{2};
constexpr duration read_service = milliseconds{1};
constexpr duration write_service = milliseconds{2};
// Stands for the long polls that are open while requests wait.
constexpr duration report_interval = milliseconds{2};
constexpr duration lag_change_interval = milliseconds{500};
constexpr duration fixed_wait_limit = milliseconds{100};

enum class read_policy : std::uint8_t { selector, always_primary, fixed_wait };

/// Lags of both replicas, and when a write is answered.
struct read_scenario {
    std::string suffix;
    std::array<duration, instances> lag_low;
    std::array<duration, instances> lag_high;
    /// True when writes are answered before a replica has them, unlike in this project.
    bool early_answers = false;
};

/// What one run found.
struct read_result {
    std::size_t at_replica = 0;
    std::size_t at_primary = 0;
    std::size_t failed = 0;
    std::size_t stale_for_session = 0;
    std::size_t wrong_ages = 0;
    std::vector<double> latencies_ms;
    std::vector<double> write_latencies_ms;

    [[nodiscard]] double share() const {
        return static_cast<double>(at_replica) / static_cast<double>(at_replica + at_primary + failed);
    }
};

/// One database group, the daemons in front of it and their sessions.
class read_world {
public:
    read_world(const deployment& place, const read_scenario& scenario, read_policy policy, std::uint64_t seed)
        : place_(place), scenario_(scenario), policy_(policy), world_(seed), daemons_(place.entry_hosts) {
        for (std::size_t index = 0; index < instances; ++index) {
            nodes_.push_back(std::make_unique<node>(world_, place.slots));
            nodes_.back()->zone = place.zones[index % place.zones.size()];
        }
        for (std::size_t index = 0; index < daemons_.size(); ++index) {
            daemons_[index].zone = place.zones[index % place.zones.size()];
        }
    }

    read_result run() {
        change_lags();
        world_.every(lag_change_interval, [this] { change_lags(); });
        world_.every(report_interval, [this] { poll(); });
        for (std::size_t session = 0; session < sessions; ++session) {
            world_.after(world_.uniform(duration{0}, cycle), [this] { write(); });
        }
        world_.run_until(time_point{run_time});
        return std::move(result_);
    }

private:
    struct node {
        node(simulation& world, std::size_t slots) : server(world, slots) {}
        fake_instance server;
        std::string zone;
        duration lag{0};
        std::uint64_t position = 0;
    };
    struct read_state {
        log_position seen;
        time_point started;
        std::size_t daemon = 0;
    };
    struct held_answer {
        std::uint64_t position;
        std::function<void()> done;
    };
    struct daemon_state {
        std::string zone;
        std::array<instance_report, instances> reports;
        std::array<replication_rate, instances> rates;
        std::array<std::size_t, instances> in_flight{};
        staleness_tracker ages{{}};
        std::vector<std::shared_ptr<read_state>> waiting;
        std::vector<held_answer> held;
    };

    void change_lags() {
        for (std::size_t index = 1; index < instances; ++index) {
            nodes_[index]->lag = world_.uniform(scenario_.lag_low[index], scenario_.lag_high[index]);
        }
    }

    std::uint64_t position_at(std::size_t index, time_point at) {
        if (index == primary) {
            return commits_.size();
        }
        node& replica = *nodes_[index];
        while (replica.position < commits_.size() && commits_[replica.position] + replica.lag <= at) {
            ++replica.position;
        }
        return replica.position;
    }

    duration latency(const daemon_state& daemon, std::size_t index) const {
        return daemon.zone == nodes_[index]->zone ? local_latency : place_.zone_latency;
    }

    void learn(daemon_state& daemon, std::size_t index, std::uint64_t position, time_point sent_at) {
        instance_report& report = daemon.reports[index];
        if (position < report.last_entry.position) {
            return;
        }
        report.accepted_term = 1;
        report.last_entry = {1, position};
        report.is_primary = index == primary;
        report.requested_at = sent_at;
        report.received_at = world_.now();
        daemon.rates[index].observe(report);
        if (index == primary) {
            daemon.ages.add_sample(report.last_entry, sent_at);
            daemon.ages.set_majority_seen(1, sent_at);
        }
    }

    // A position is confirmed once a replica has it: the primary and one replica are a majority of three.
    static std::uint64_t confirmed(const daemon_state& daemon) {
        return std::max(daemon.reports[1].last_entry.position, daemon.reports[2].last_entry.position);
    }

    void hold_until_confirmed(daemon_state& daemon, std::uint64_t position, std::function<void()> done) {
        if (scenario_.early_answers || confirmed(daemon) >= position) {
            done();
            return;
        }
        daemon.held.push_back(held_answer{position, std::move(done)});
    }

    [[nodiscard]] double milliseconds_since(time_point start) const {
        const duration spent = world_.now() - start + 2 * place_.client_latency;
        return std::chrono::duration<double, std::milli>(spent).count();
    }

    void poll() {
        for (daemon_state& daemon : daemons_) {
            if (daemon.waiting.empty() && daemon.held.empty()) {
                continue;
            }
            for (std::size_t index = 0; index < instances; ++index) {
                const duration way = latency(daemon, index);
                const std::uint64_t position = position_at(index, world_.now());
                const time_point sent_at = world_.now() - way;
                world_.after(way, [this, &daemon, index, position, sent_at] {
                    learn(daemon, index, position, sent_at);
                    retry_waiting(daemon);
                });
            }
        }
    }

    void retry_waiting(daemon_state& daemon) {
        std::vector<held_answer> held;
        held.swap(daemon.held);
        for (held_answer& answer : held) {
            hold_until_confirmed(daemon, answer.position, std::move(answer.done));
        }
        std::vector<std::shared_ptr<read_state>> waiting;
        waiting.swap(daemon.waiting);
        for (const std::shared_ptr<read_state>& read : waiting) {
            decide(read);
        }
    }

    void write() {
        daemon_state& daemon = daemons_[world_.index_below(daemons_.size())];
        const duration way = latency(daemon, primary);
        const time_point sent_at = world_.now();
        world_.after(way, [this, &daemon, way, sent_at] {
            const duration service = world_.uniform(write_service / 2, write_service * 3 / 2);
            nodes_[primary]->server.submit(service, [this, &daemon, way, sent_at] {
                commits_.push_back(world_.now());
                const std::uint64_t position = commits_.size();
                world_.after(way, [this, &daemon, position, sent_at] {
                    learn(daemon, primary, position, sent_at);
                    hold_until_confirmed(daemon, position, [this, position, sent_at] {
                        result_.write_latencies_ms.push_back(milliseconds_since(sent_at));
                        plan_cycle(position);
                    });
                });
            });
        });
    }

    void plan_cycle(std::uint64_t position) {
        for (std::size_t read = 0; read < reads_per_write; ++read) {
            const duration delay = world_.chance(recent_read_part) ? world_.uniform(duration{0}, recent)
                                                                   : world_.uniform(recent, cycle);
            world_.after(delay, [this, position] {
                const std::shared_ptr<read_state> read_started = std::make_shared<read_state>();
                read_started->seen = {1, position};
                read_started->started = world_.now();
                read_started->daemon = world_.index_below(daemons_.size());
                decide(read_started);
            });
        }
        world_.after(cycle, [this] { write(); });
    }

    void decide(const std::shared_ptr<read_state>& read) {
        if (policy_ == read_policy::always_primary) {
            serve(read, primary);
        } else if (policy_ == read_policy::fixed_wait) {
            decide_fixed(read);
        } else {
            decide_selected(read);
        }
    }

    void decide_fixed(const std::shared_ptr<read_state>& read) {
        daemon_state& daemon = daemons_[read->daemon];
        for (std::size_t index = 1; index < instances; ++index) {
            if (check_eligibility(daemon.reports[index], read->seen) == eligibility::eligible) {
                serve(read, index);
                return;
            }
        }
        if (world_.now() - read->started >= fixed_wait_limit) {
            serve(read, primary);
        } else {
            daemon.waiting.push_back(read);
        }
    }

    void decide_selected(const std::shared_ptr<read_state>& read) {
        daemon_state& daemon = daemons_[read->daemon];
        std::array<read_candidate, instances> candidates;
        for (std::size_t index = 0; index < instances; ++index) {
            read_candidate& candidate = candidates[index];
            candidate.zone = nodes_[index]->zone;
            const bool is_heard_of = daemon.reports[index].accepted_term > 0;
            candidate.report = is_heard_of ? &daemon.reports[index] : nullptr;
            candidate.age = daemon.ages.age(daemon.reports[index].last_entry, world_.now());
            candidate.load = static_cast<double>(daemon.in_flight[index]) / static_cast<double>(place_.slots);
            candidate.entries_per_second = daemon.rates[index].entries_per_second();
            candidate.is_primary = index == primary;
        }
        read_request request;
        request.required_position = read->seen;
        request.zone = daemon.zone;
        request.now = world_.now();
        request.waited = world_.now() - read->started;
        request.deadline = read->started + patience;
        const read_decision decision = selector_.choose(request, candidates);
        if (const use_replica* chosen = std::get_if<use_replica>(&decision)) {
            serve(read, chosen->index);
        } else if (const use_primary* chosen_primary = std::get_if<use_primary>(&decision)) {
            serve(read, chosen_primary->index);
        } else if (std::holds_alternative<wait_for_replica>(decision)) {
            // Decided again at each report, so before the limit of the wait.
            daemon.waiting.push_back(read);
        } else {
            ++result_.failed;
        }
    }

    void serve(const std::shared_ptr<read_state>& read, std::size_t index) {
        daemon_state& daemon = daemons_[read->daemon];
        const duration way = latency(daemon, index);
        const time_point sent_at = world_.now();
        ++daemon.in_flight[index];
        world_.after(way, [this, &daemon, read, index, way, sent_at] {
            const duration service = world_.uniform(read_service / 2, read_service * 3 / 2);
            nodes_[index]->server.submit(service, [this, &daemon, read, index, way, sent_at] {
                const std::uint64_t position = position_at(index, world_.now());
                world_.after(way, [this, &daemon, read, index, position, sent_at] {
                    --daemon.in_flight[index];
                    learn(daemon, index, position, sent_at);
                    // A replica that has an entry confirms it together with the primary.
                    hold_until_confirmed(
                        daemon, index == primary ? position : 0,
                        [this, &daemon, read, index, position] { finish(daemon, *read, index, position); });
                });
            });
        });
    }

    void finish(daemon_state& daemon, const read_state& read, std::size_t index, std::uint64_t position) {
        (index == primary ? result_.at_primary : result_.at_replica) += 1;
        result_.stale_for_session += position < read.seen.position ? 1 : 0;
        result_.latencies_ms.push_back(milliseconds_since(read.started));
        // The data is as old as the first commit that it does not include.
        const bool is_behind = position < commits_.size();
        const duration true_age = is_behind ? world_.now() - commits_[position] : duration{0};
        const std::optional<duration> stated = daemon.ages.age({1, position}, world_.now());
        result_.wrong_ages += stated && *stated < true_age ? 1 : 0;
    }

    const deployment& place_;
    const read_scenario& scenario_;
    read_policy policy_;
    simulation world_;
    replica_selector selector_{replica_selector_settings{}};
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<daemon_state> daemons_;
    std::vector<time_point> commits_;
    read_result result_;
};

std::vector<read_scenario> scenarios() {
    constexpr duration low = milliseconds{20};
    constexpr duration high = milliseconds{200};
    constexpr duration far = seconds{2};
    const std::array<duration, instances> lows{duration{0}, low, low};
    const std::array<duration, instances> highs{duration{0}, high, high};
    const std::array<duration, instances> one_low{duration{0}, far, low};
    const std::array<duration, instances> one_high{duration{0}, far, high};
    const std::array<duration, instances> both{duration{0}, far, far};
    return {read_scenario{"", lows, highs, false},
            read_scenario{"_lag_2s_one", one_low, one_high, false},
            read_scenario{"_lag_2s_both", both, both, false},
            read_scenario{"_early_answer", lows, highs, true},
            read_scenario{"_early_answer_lag_2s_one", one_low, one_high, true},
            read_scenario{"_early_answer_lag_2s_both", both, both, true}};
}

} // namespace

std::vector<figure> measure_replica_reads(const deployment& place, std::uint64_t seed) {
    std::vector<figure> figures;
    double stale = 0.0;
    double wrong_ages = 0.0;
    for (const read_scenario& scenario : scenarios()) {
        read_result ours = read_world{place, scenario, read_policy::selector, seed}.run();
        read_result at_primary = read_world{place, scenario, read_policy::always_primary, seed}.run();
        read_result fixed = read_world{place, scenario, read_policy::fixed_wait, seed}.run();
        stale += static_cast<double>(ours.stale_for_session);
        wrong_ages += static_cast<double>(ours.wrong_ages);
        // The page's target is for lags of 20 to 200 ms.
        const bool is_target = scenario.suffix.empty();
        figures.push_back(figure{"replica_read_share" + scenario.suffix,
                                 ours.share(),
                                 {{"always_primary", at_primary.share()}, {"fixed_wait", fixed.share()}},
                                 is_target ? target{0.90, std::nullopt} : target{}});
        for (const double part : {0.5, 0.99}) {
            figures.push_back(figure{fmt::format("read_latency_ms_p{:g}{}", part * 100, scenario.suffix),
                                     percentile(ours.latencies_ms, part),
                                     {{"always_primary", percentile(at_primary.latencies_ms, part)},
                                      {"fixed_wait", percentile(fixed.latencies_ms, part)}},
                                     {}});
        }
        figures.push_back(figure{
            "write_latency_ms_p50" + scenario.suffix, percentile(ours.write_latencies_ms, 0.5), {}, {}});
        figures.push_back(figure{"failed_reads" + scenario.suffix,
                                 static_cast<double>(ours.failed),
                                 {},
                                 target{std::nullopt, 0.0}});
    }
    figures.push_back(figure{"read_your_writes_violations", stale, {}, target{std::nullopt, 0.0}});
    figures.push_back(figure{"stated_age_violations", wrong_ages, {}, target{std::nullopt, 0.0}});
    return figures;
}

} // namespace gentianhill::bench
