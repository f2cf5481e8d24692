#include "gentianhill/core/boot_clock.h"

#include <ctime>

namespace gentianhill {

time_point boot_now() {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    const std::chrono::nanoseconds since_boot =
        std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace gentianhill
