#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/core/setting_definition.h"
#include "gentianhill/core/setting_values.h"
#include "gentianhill/core/signal_mask.h"
#include "gentianhill/daemon/gentianhill_daemon.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace gentianhill;

namespace {

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

int fail(int code, const error& reason) {
    fmt::print(stderr, "gentianhilld: {}\n", reason.describe());
    return code;
}

int run(const daemon_settings& settings) {
    event_loop loop;
    error reason;
    const std::unique_ptr<gentianhill_daemon> daemon = gentianhill_daemon::create(loop, settings, reason);
    if (daemon == nullptr) {
        return fail(exit_usage, reason);
    }
    // Before start(): from then on callers may connect, and the default action would cut them off.
    daemon->on_drained = [&loop] { loop.stop(); };
    loop.on_signal(SIGTERM, [&daemon] { daemon->drain(); });
    loop.on_signal(SIGINT, [&daemon] { daemon->drain(); });
    // All settings come from flags and environment variables, so there is nothing to read again; the default
    // action would end the process and cut off its requests.
    loop.on_signal(SIGHUP, [&daemon] {
        daemon->context().log.write(log_level::info, "process", "settings_kept",
                                    {{"reason", "flags and environment variables change with a restart"}});
    });
    unblock_signal(SIGHUP);
    if (!daemon->start(reason)) {
        return fail(exit_failed, reason);
    }
    loop.run();
    return 0;
}

} // namespace

int main(int count, char** arguments) {
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Without a handler SIGHUP ends the process.
    block_signal(SIGHUP);
    std::vector<std::string> flags{arguments + 1, arguments + count};
    bool print_settings = false;
    for (std::vector<std::string>::iterator flag = flags.begin(); flag != flags.end();) {
        if (*flag == "--help") {
            fmt::print("{}", settings_help(daemon_setting_definitions()));
            return 0;
        }
        if (*flag == "--print-settings") {
            print_settings = true;
            flag = flags.erase(flag);
        } else {
            ++flag;
        }
    }
    error reason;
    const std::optional<setting_values> values =
        setting_values::read(daemon_setting_definitions(), flags, process_environment(), reason);
    if (!values) {
        return fail(exit_usage, reason);
    }
    const std::optional<daemon_settings> settings = daemon_settings::read(*values, reason);
    if (!settings) {
        return fail(exit_usage, reason);
    }
    if (print_settings) {
        fmt::print("{}", values->print());
        return 0;
    }
    return run(*settings);
}
