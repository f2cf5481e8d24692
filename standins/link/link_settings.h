#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"

#include <optional>

namespace gentianhill::standins {

/// Settings of a relay.
struct link_settings {
    /// Address that is relayed; port 0 lets the system choose one.
    endpoint listen{"127.0.0.1", 0};
    /// Where connections are relayed to.
    endpoint target;
    /// Address of the control call; port 0 lets the system choose one.
    endpoint control{"127.0.0.1", 0};
};

/// Reads the command line. Errors: bad_value.
[[nodiscard]] std::optional<link_settings> read_link_settings(int count, const char* const* arguments,
                                                              error& reason);

} // namespace gentianhill::standins
