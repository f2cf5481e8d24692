#include "standins/common/process.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace gentianhill::standins {

int run_process(event_loop& loop, const endpoint& listening) {
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    fmt::print(stderr, "listening {}\n", listening.to_string());
    loop.run();
    return 0;
}

int report_failure(const error& reason) {
    fmt::print(stderr, "error {}\n", reason.describe());
    return 2;
}

} // namespace gentianhill::standins
