#include "standins/common/process.h"
#include "standins/database/database_instance.h"

#include <optional>

using namespace gentianhill;

int main(int count, char** arguments) {
    error reason;
    const std::optional<standins::database_settings> settings =
        standins::read_database_settings(count, arguments, reason);
    if (!settings) {
        return standins::report_failure(reason);
    }
    event_loop loop;
    standins::database_instance instance{loop, *settings};
    if (!instance.start(reason)) {
        return standins::report_failure(reason);
    }
    return standins::run_process(loop, instance.address());
}
