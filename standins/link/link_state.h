#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <string_view>

namespace gentianhill::standins {

/// State of the relayed network path.
struct link_state {
    /// Bytes from the connecting side to the target pass; otherwise they are held.
    bool forward = true;
    /// Bytes from the target to the connecting side pass; otherwise they are held.
    bool backward = true;
    /// Delay of bytes that are read from now on, in each direction.
    duration delay{0};
    /// Rate of each direction of each connection, in bytes per second; 0 for no limit.
    std::int64_t bytes_per_s = 0;

    /// Changes the members named in a control call; all or none. `close` tells whether all connections are to
    /// be closed. Errors: as of object_reader.
    [[nodiscard]] bool update(std::string_view body, bool& close, error& reason);
};

} // namespace gentianhill::standins
