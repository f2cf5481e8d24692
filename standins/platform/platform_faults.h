#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <string_view>

namespace gentianhill::standins {

/// Faults of the platform's service that a test can switch on.
struct platform_faults {
    /// Requests are read but neither processed nor answered.
    bool down = false;
    /// Each request closes its connection.
    bool refuse = false;
    /// Delay of each answer.
    duration delay{0};
    /// PUTs that are yet to take effect without being answered.
    std::uint64_t drop_answers = 0;
    /// Reads and lists are answered from the copy made when this was switched on.
    bool stale_reads = false;
    /// Time after which a change of the host list is visible.
    duration hosts_lag{0};

    /// Changes the members named in the body of POST /control; all or none. Errors: as of object_reader.
    [[nodiscard]] bool update(std::string_view body, error& reason);
};

} // namespace gentianhill::standins
