#include "gentianhill/admission/connection_pool.h"
#include "gentianhill/admission/fair_queue.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace gentianhill;

namespace {

/// Pop and push of one request while each of the teams has requests waiting; the argument is the number of
/// teams.
void fair_queue_pop_push(benchmark::State& state) {
    const std::size_t teams = static_cast<std::size_t>(state.range(0));
    fair_queue queue{{.max_length = teams * 8, .max_team_length = 8, .initial_service_rate = 1e6}};
    std::vector<std::string> names;
    time_point now{std::chrono::seconds{1}};
    error reason;
    for (std::size_t team = 0; team < teams; ++team) {
        names.push_back("team-" + std::to_string(team));
        queue.set_team(names.back(), 1.0);
        for (int request = 0; request < 3; ++request) {
            benchmark::DoNotOptimize(queue.push(names.back(), now + std::chrono::hours{1}, 1.0, now, reason));
        }
    }
    std::vector<fair_queue::entry_id> expired;
    std::size_t team = 0;
    while (state.KeepRunning()) {
        now += duration{1};
        benchmark::DoNotOptimize(queue.pop(now, expired));
        benchmark::DoNotOptimize(queue.push(names[team], now + std::chrono::hours{1}, 1.0, now, reason));
        team = team + 1 == teams ? 0 : team + 1;
    }
}

/// Acquire, one exchange and release; the argument is the number of connections.
void connection_pool_acquire_release(benchmark::State& state) {
    const std::size_t limit = static_cast<std::size_t>(state.range(0));
    connection_pool pool{{.limit = limit}};
    time_point now{std::chrono::seconds{1}};
    while (const std::optional<connection_pool::connection_id> id = pool.try_begin_open(limit, now)) {
        pool.mark_opened(*id, now);
    }
    error reason;
    while (state.KeepRunning()) {
        now += duration{1};
        const std::optional<connection_pool::connection_id> id = pool.acquire(reason);
        pool.begin_exchange(*id);
        pool.end_exchange(*id, true);
        benchmark::DoNotOptimize(pool.release(*id, true, now));
    }
}

} // namespace

BENCHMARK(fair_queue_pop_push)->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK(connection_pool_acquire_release)->Arg(8)->Arg(80)->Arg(800);
