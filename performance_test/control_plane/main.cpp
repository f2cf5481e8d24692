#include "performance_test/control_plane/bench_settings.h"
#include "performance_test/control_plane/fleet_run.h"

#include <fmt/format.h>

#include <cstdio>
#include <functional>

namespace {

using namespace gentianhill;
using namespace gentianhill::control_bench;

/// Least-squares line through (daemons, value): prints "a + b x n".
void print_slope(const std::vector<run_result>& results, const char* name,
                 const std::function<double(const run_result&)>& value) {
    const double count = static_cast<double>(results.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const run_result& result : results) {
        const double x = static_cast<double>(result.daemons);
        const double y = value(result);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    const double spread = count * sum_xx - sum_x * sum_x;
    if (spread <= 0) {
        return;
    }
    const double slope = (count * sum_xy - sum_x * sum_y) / spread;
    fmt::print("fit {:<22} {:.3f} + {:.4f} x n\n", name, (sum_y - slope * sum_x) / count, slope);
}

void print_row(const run_result& result) {
    fmt::print("{:>7} {:>10.2f} {:>8} {:>9.0f} {:>9.0f} {:>9.2f} {:>8.3f} {:>9.0f} {:>10.1f} {:>8}\n",
               result.daemons, result.neighbours, result.watchers, result.bytes_per_second,
               result.max_bytes_per_second, result.messages_per_second, result.cpu_percent, result.memory_kib,
               result.ticket_ms_max, result.tickets_missing);
    std::fflush(stdout);
}

} // namespace

int main(int count, char** arguments) {
    error reason;
    const std::optional<bench_settings> settings = read_settings(count, arguments, reason);
    if (!settings) {
        fmt::print(stderr, "{}\n", reason.describe());
        return 2;
    }
    fmt::print("zones={} groups={} tickets/s={} ticket_bytes={} changes/s={} {}\n", settings->zones,
               settings->groups, settings->tickets_per_second, settings->ticket_bytes,
               settings->changes_per_second, settings->full_mesh ? "full mesh" : "bounded neighbours");
    fmt::print("{:>7} {:>10} {:>8} {:>9} {:>9} {:>9} {:>8} {:>9} {:>10} {:>8}\n", "daemons", "neighbours",
               "watchers", "bytes/s", "max", "msgs/s", "cpu%", "mem KiB", "ticket ms", "missing");
    std::vector<run_result> results;
    for (const std::size_t daemons : settings->daemons) {
        fleet_run run{*settings, daemons};
        const std::optional<run_result> result = run.measure(reason);
        if (!result) {
            fmt::print(stderr, "{}\n", reason.describe());
            return 1;
        }
        print_row(*result);
        results.push_back(*result);
    }
    print_slope(results, "bytes/s", [](const run_result& result) { return result.bytes_per_second; });
    print_slope(results, "messages/s", [](const run_result& result) { return result.messages_per_second; });
    print_slope(results, "cpu%", [](const run_result& result) { return result.cpu_percent; });
    return 0;
}
