#include "gentianhill/proxy/placement.h"

#include <array>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 6> wait_names{"none",          "no_primary",  "no_evidence",
                                                     "no_read_point", "no_instance", "no_connection"};

} // namespace

std::string_view to_string(placement_wait reason) {
    return wait_names.at(static_cast<std::size_t>(reason));
}

} // namespace gentianhill
