#include "gentianhill/admission/connection_pool.h"
#include "gentianhill/admission/instance_ownership.h"
#include "performance_test/fake_instance.h"
#include "performance_test/scenarios.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>

namespace gentianhill::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three databases of three instances.
constexpr std::size_t instance_count = 9;
// A transaction of two statements with the caller's own time between them; it keeps its connection meanwhile.
constexpr duration mean_service = milliseconds{2};
constexpr duration mean_think = milliseconds{30};
constexpr duration mean_hold = mean_think + 2 * mean_service;
constexpr duration patience = milliseconds{500};
constexpr double ordinary_load = 0.6;
// Part of the transactions after which the connection can't be used again.
constexpr double broken_part = 0.02;
// An instance notices the end of a connection late, and that of a lost host later.
constexpr duration close_notice = milliseconds{20};
constexpr duration lost_host_notice = seconds{3};
// Until then the load balancer still sends callers to the lost daemon, and nobody lists it as lost.
constexpr duration loss_detection = seconds{1};
constexpr duration housekeeping_interval = milliseconds{5};
constexpr time_point before_from{seconds{5}};
constexpr time_point loss_at{seconds{10}};
constexpr time_point after_from{seconds{15}};
constexpr time_point run_end{seconds{20}};
constexpr std::size_t before_loss = 0;
constexpr std::size_t during_loss = 1;
constexpr std::size_t after_loss = 2;
constexpr std::size_t lost_daemon = 0;
constexpr std::size_t hot_daemon = 1;

/// Ways to divide the connections of an instance.
enum class division : std::uint8_t {
    /// Every daemon has an equal part.
    static_parts,
    /// One daemon per instance has all; the others forward to it.
    ownership,
    /// Every daemon opens what it needs.
    uncoordinated,
};

/// Load of one run.
struct connection_scenario {
    /// Part of the transactions that arrive at the hot daemon; 0 for an even load.
    double hot_part = 0.0;
    /// True when a daemon is lost.
    bool loses_host = false;
};

/// What one run found.
struct connection_result {
    std::size_t over_limit = 0;
    /// Transactions that arrived before the loss, in the seconds after it, and later; and how many of them
    /// were done.
    std::array<double, 3> asked{};
    std::array<double, 3> done{};

    [[nodiscard]] double done_part(std::size_t window) const { return done[window] / asked[window]; }
};

/// Instances with limited connections, and the daemons' pools.
class connection_world {
public:
    connection_world(const deployment& place, division policy, const connection_scenario& scenario,
                     std::uint64_t seed)
        : place_(place),
          policy_(policy),
          scenario_(scenario),
          world_(seed),
          ownership_(instance_ownership_settings{}) {
        const std::size_t part = place.connection_limit / place.entry_hosts - 1;
        const std::size_t all = place.connection_limit - place.entry_hosts;
        connection_pool_settings settings;
        settings.limit = policy == division::static_parts ? part : all;
        settings.min_idle = policy == division::ownership ? 0 : settings.min_idle;
        for (std::size_t index = 0; index < instance_count; ++index) {
            instances_.push_back(std::make_unique<limited_instance>(world_, place));
            for (std::size_t daemon = 0; daemon < place.entry_hosts; ++daemon) {
                instances_.back()->gates.push_back(gate{connection_pool{settings}, {}, 0});
            }
        }
        // Load in proportion to what the static parts or the slots can carry, whichever is less.
        const double by_connections =
            static_cast<double>(part * place.entry_hosts) / static_cast<double>(mean_hold.count());
        const double by_slots =
            static_cast<double>(place.slots) / static_cast<double>((2 * mean_service).count());
        const double rate = ordinary_load * std::min(by_connections, by_slots) * instance_count;
        gap_ = duration{static_cast<std::int64_t>(1.0 / rate)};
    }

    connection_result run() {
        ownership_.set_members(members(true), world_.now());
        world_.after(gap_, [this] { arrive(); });
        world_.every(housekeeping_interval, [this] { keep_house(); });
        if (scenario_.loses_host) {
            world_.after(loss_at - world_.now(), [this] { lose_host(); });
        }
        world_.run_until(run_end);
        return result_;
    }

private:
    struct transaction {
        time_point arrived;
        bool is_forwarded = false;
    };
    struct gate {
        connection_pool pool;
        std::deque<transaction> waiting;
        std::size_t accepted = 0;
    };
    struct limited_instance {
        limited_instance(simulation& world, const deployment& place)
            : server(world, place.slots), connections(place.entry_hosts) {}
        fake_instance server;
        /// Connections as the instance counts them; one control connection per daemon from the start.
        std::size_t connections;
        std::vector<gate> gates;
    };

    [[nodiscard]] std::vector<owner_candidate> members(bool with_lost) const {
        std::vector<owner_candidate> result;
        for (std::size_t daemon = with_lost ? 0 : 1; daemon < place_.entry_hosts; ++daemon) {
            result.push_back(
                {"daemon-" + std::to_string(daemon), place_.zones[daemon % place_.zones.size()]});
        }
        return result;
    }

    [[nodiscard]] bool is_lost(std::size_t daemon) const {
        return scenario_.loses_host && daemon == lost_daemon && world_.now() >= loss_at;
    }

    // Windows by arrival; the last patience of the run is left out, since its transactions may be unfinished.
    static void count(std::array<double, 3>& windows, time_point arrived) {
        if (arrived >= before_from && arrived < loss_at) {
            windows[before_loss] += 1.0;
        } else if (arrived >= loss_at && arrived < after_from) {
            windows[during_loss] += 1.0;
        } else if (arrived >= after_from && arrived < run_end - 2 * patience) {
            windows[after_loss] += 1.0;
        }
    }

    void arrive() {
        world_.after(world_.exponential(gap_), [this] { arrive(); });
        count(result_.asked, world_.now());
        std::size_t daemon = world_.index_below(place_.entry_hosts);
        if (world_.chance(scenario_.hot_part)) {
            daemon = hot_daemon;
        }
        if (is_lost(daemon) && world_.now() >= loss_at + loss_detection) {
            daemon = 1 + world_.index_below(place_.entry_hosts - 1);
        }
        const std::size_t index = world_.index_below(instance_count);
        const std::size_t target = policy_ == division::ownership ? owner_of(index) : daemon;
        if (is_lost(daemon) || is_lost(target)) {
            return;
        }
        instances_[index]->gates[target].waiting.push_back(transaction{world_.now(), target != daemon});
        pump(index, target);
    }

    [[nodiscard]] std::size_t owner_of(std::size_t index) const {
        const std::string name = "instance-" + std::to_string(index);
        const std::string_view owner = *ownership_.owner_of(name, place_.zones[index % place_.zones.size()]);
        return static_cast<std::size_t>(owner.back() - '0');
    }

    void pump(std::size_t index, std::size_t daemon) {
        gate& target = instances_[index]->gates[daemon];
        while (!target.waiting.empty()) {
            if (target.waiting.front().arrived + patience <= world_.now()) {
                target.waiting.pop_front();
                continue;
            }
            error reason;
            const std::optional<connection_pool::connection_id> id = target.pool.acquire(reason);
            if (!id) {
                break;
            }
            const transaction started = target.waiting.front();
            target.waiting.pop_front();
            run_transaction(index, daemon, *id, started);
        }
        while (const std::optional<connection_pool::connection_id> id =
                   target.pool.try_begin_open(target.waiting.size(), world_.now())) {
            open(index, daemon, *id);
        }
    }

    void open(std::size_t index, std::size_t daemon, connection_pool::connection_id id) {
        world_.after(connect_time, [this, index, daemon, id] {
            if (is_lost(daemon)) {
                return;
            }
            limited_instance& instance = *instances_[index];
            gate& target = instance.gates[daemon];
            if (instance.connections >= place_.connection_limit) {
                ++result_.over_limit;
                target.pool.mark_open_failed(id, world_.now(), world_.uniform(0.0, 1.0));
                return;
            }
            ++instance.connections;
            ++target.accepted;
            if (!target.pool.mark_opened(id, world_.now())) {
                close(index, daemon, id);
            }
            pump(index, daemon);
        });
    }

    void close(std::size_t index, std::size_t daemon, connection_pool::connection_id id) {
        gate& target = instances_[index]->gates[daemon];
        target.pool.mark_closed(id, world_.now());
        --target.accepted;
        world_.after(world_.uniform(duration{0}, close_notice),
                     [this, index] { --instances_[index]->connections; });
    }

    void run_transaction(std::size_t index, std::size_t daemon, connection_pool::connection_id id,
                         const transaction& started) {
        instances_[index]->gates[daemon].pool.pin(id);
        // Forwarding adds a way there and back to each statement.
        const duration think =
            world_.exponential(mean_think) + (started.is_forwarded ? 4 * place_.zone_latency : duration{0});
        run_statement(index, daemon, id, [this, index, daemon, id, started, think] {
            world_.after(think, [this, index, daemon, id, started] {
                if (is_lost(daemon)) {
                    return;
                }
                run_statement(index, daemon, id,
                              [this, index, daemon, id, started] { finish(index, daemon, id, started); });
            });
        });
    }

    void run_statement(std::size_t index, std::size_t daemon, connection_pool::connection_id id,
                       std::function<void()> done) {
        limited_instance& instance = *instances_[index];
        instance.gates[daemon].pool.begin_exchange(id);
        const duration service = world_.uniform(mean_service / 2, mean_service * 3 / 2);
        instance.server.submit(service, [this, index, daemon, id, done = std::move(done)] {
            if (!is_lost(daemon)) {
                instances_[index]->gates[daemon].pool.end_exchange(id, true);
                done();
            }
        });
    }

    void finish(std::size_t index, std::size_t daemon, connection_pool::connection_id id,
                const transaction& started) {
        count(result_.done, started.arrived);
        connection_pool& pool = instances_[index]->gates[daemon].pool;
        pool.unpin(id);
        if (!pool.release(id, !world_.chance(broken_part), world_.now())) {
            close(index, daemon, id);
        }
        pump(index, daemon);
    }

    void keep_house() {
        ownership_.apply_stable_members(world_.now());
        for (std::size_t index = 0; index < instance_count; ++index) {
            for (std::size_t daemon = 0; daemon < place_.entry_hosts; ++daemon) {
                if (is_lost(daemon)) {
                    continue;
                }
                connection_pool& pool = instances_[index]->gates[daemon].pool;
                while (const std::optional<connection_pool::connection_id> id =
                           pool.try_begin_close(world_.now())) {
                    close(index, daemon, *id);
                }
                pump(index, daemon);
            }
        }
    }

    void lose_host() {
        world_.after(loss_detection, [this] { ownership_.set_members(members(false), world_.now()); });
        world_.after(lost_host_notice, [this] {
            for (const std::unique_ptr<limited_instance>& instance : instances_) {
                constexpr std::size_t control_connections = 1;
                instance->connections -= instance->gates[lost_daemon].accepted + control_connections;
            }
        });
    }

    const deployment& place_;
    division policy_;
    connection_scenario scenario_;
    simulation world_;
    instance_ownership ownership_;
    std::vector<std::unique_ptr<limited_instance>> instances_;
    duration gap_{0};
    connection_result result_;
};

/// Figures of one way to divide connections, over all scenarios.
struct division_summary {
    double over_limit = 0.0;
    double capacity_after_loss = 0.0;
    double done_within_5s_of_loss = 0.0;
    double goodput_hot = 0.0;
};

division_summary summarize(const deployment& place, division policy, std::uint64_t seed) {
    constexpr connection_scenario host_loss{0.0, true};
    constexpr connection_scenario hot{0.6, false};
    const connection_result lost = connection_world{place, policy, host_loss, seed}.run();
    const connection_result skewed = connection_world{place, policy, hot, seed}.run();
    division_summary summary;
    summary.over_limit = static_cast<double>(lost.over_limit + skewed.over_limit);
    summary.capacity_after_loss = lost.done_part(after_loss) / lost.done_part(before_loss);
    summary.done_within_5s_of_loss = lost.done_part(during_loss);
    summary.goodput_hot = skewed.done_part(before_loss);
    return summary;
}

} // namespace

std::vector<figure> measure_connections(const deployment& place, std::uint64_t seed) {
    const division_summary parts = summarize(place, division::static_parts, seed);
    const division_summary owner = summarize(place, division::ownership, seed);
    const division_summary free = summarize(place, division::uncoordinated, seed);
    return {
        figure{"connections_over_limit",
               parts.over_limit,
               {{"ownership", owner.over_limit}, {"uncoordinated", free.over_limit}},
               target{std::nullopt, 0.0}},
        figure{"capacity_after_host_loss",
               parts.capacity_after_loss,
               {{"ownership", owner.capacity_after_loss}, {"uncoordinated", free.capacity_after_loss}},
               target{0.95, std::nullopt}},
        figure{"done_within_5s_of_host_loss",
               parts.done_within_5s_of_loss,
               {{"ownership", owner.done_within_5s_of_loss}, {"uncoordinated", free.done_within_5s_of_loss}},
               {}},
        figure{"goodput_with_hot_daemon",
               parts.goodput_hot,
               {{"ownership", owner.goodput_hot}, {"uncoordinated", free.goodput_hot}},
               {}}};
}

} // namespace gentianhill::bench
