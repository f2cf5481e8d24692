#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <optional>

namespace gentianhill::standins {

/// Settings of the stand-in of the platform's service.
struct platform_settings {
    /// Address to listen on; port 0 lets the system choose one.
    endpoint listen{"127.0.0.1", 0};
    /// Delay of each answer.
    duration delay{0};
    /// Time after which a change of the host list is visible.
    duration hosts_lag{0};
};

/// Reads the command line. Errors: bad_value, out_of_range.
[[nodiscard]] std::optional<platform_settings> read_platform_settings(int count, const char* const* arguments,
                                                                      error& reason);

} // namespace gentianhill::standins
