#include "standins/common/process.h"
#include "standins/link/link_relay.h"

#include <optional>

using namespace gentianhill;

int main(int count, char** arguments) {
    error reason;
    const std::optional<standins::link_settings> settings =
        standins::read_link_settings(count, arguments, reason);
    if (!settings) {
        return standins::report_failure(reason);
    }
    event_loop loop;
    standins::link_relay relay{loop, *settings};
    if (!relay.start(reason)) {
        return standins::report_failure(reason);
    }
    return standins::run_process(loop, relay.address());
}
