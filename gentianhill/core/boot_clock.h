#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Time since the host's boot, including time in which the host was suspended. Windows of trust and tenures
/// are measured on it, so that a host that wakes up holds neither.
[[nodiscard]] time_point boot_now();

} // namespace gentianhill
