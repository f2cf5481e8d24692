#include "standins/common/process.h"
#include "standins/platform/platform_service.h"

#include <optional>

using namespace gentianhill;

int main(int count, char** arguments) {
    error reason;
    const std::optional<standins::platform_settings> settings =
        standins::read_platform_settings(count, arguments, reason);
    if (!settings) {
        return standins::report_failure(reason);
    }
    event_loop loop;
    standins::platform_service service{loop, *settings};
    if (!service.start(reason)) {
        return standins::report_failure(reason);
    }
    return standins::run_process(loop, service.address());
}
