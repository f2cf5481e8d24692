#include "gentianhill/consistency/replica_selector.h"
#include "gentianhill/consistency/session_token.h"
#include "gentianhill/consistency/token_codec.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace gentianhill;

namespace {

/// Eligibility of all instances of a group; the argument is their number.
void eligibility_of_group(benchmark::State& state) {
    std::vector<instance_report> reports(static_cast<std::size_t>(state.range(0)));
    for (std::size_t index = 0; index < reports.size(); ++index) {
        reports[index].last_entry = {2, 1000 + index};
        reports[index].term_start = 900;
    }
    const log_position seen{2, 1001};
    while (state.KeepRunning()) {
        for (const instance_report& report : reports) {
            benchmark::DoNotOptimize(check_eligibility(report, seen));
        }
    }
}

/// Choice among all instances of a group; the argument is their number.
void replica_selector_choose(benchmark::State& state) {
    std::vector<instance_report> reports(static_cast<std::size_t>(state.range(0)));
    std::vector<read_candidate> candidates(reports.size());
    for (std::size_t index = 0; index < reports.size(); ++index) {
        reports[index].last_entry = {2, 1000 + index};
        candidates[index].zone = index % 2 == 0 ? "kyushu-a" : "kyushu-b";
        candidates[index].report = &reports[index];
        candidates[index].load = static_cast<double>(index % 5) / 5.0;
        candidates[index].is_primary = index == 0;
    }
    read_request request;
    request.required_position = {2, 1001};
    request.zone = "kyushu-a";
    request.now = time_point{std::chrono::seconds{1}};
    request.deadline = request.now + std::chrono::seconds{1};
    const replica_selector selector{{}};
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(selector.choose(request, candidates));
    }
}

/// Codec and a token that names a number of groups.
struct token_case {
    error reason;
    token_codec codec = *token_codec::create({"microbenchmark-key", {}, {}}, reason);
    session_token token;

    explicit token_case(std::int64_t groups) {
        for (std::int64_t group = 0; group < groups; ++group) {
            benchmark::DoNotOptimize(token.advance("group-" + std::to_string(group), {7, 1000000}, reason));
        }
    }
};

void token_encode(benchmark::State& state) {
    token_case made{state.range(0)};
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(made.codec.encode(made.token, made.reason));
    }
}

void token_decode(benchmark::State& state) {
    token_case made{state.range(0)};
    const std::string text = *made.codec.encode(made.token, made.reason);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(made.codec.decode(text, made.reason));
    }
}

} // namespace

BENCHMARK(eligibility_of_group)->Arg(3)->Arg(30)->Arg(300);
BENCHMARK(replica_selector_choose)->Arg(3)->Arg(30)->Arg(300);
// A token holds at most 8 groups, so there is no size of 10 or 100 times one group.
BENCHMARK(token_encode)->Arg(1)->Arg(4)->Arg(8);
BENCHMARK(token_decode)->Arg(1)->Arg(4)->Arg(8);
