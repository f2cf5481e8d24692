#pragma once

#include "gentianhill/core/endpoint.h"

#include <string>

namespace gentianhill {

/// A daemon that this one may talk to.
struct peer_address {
    /// Name of the daemon.
    std::string daemon;
    /// Availability zone.
    std::string zone;
    /// Its peer endpoint.
    endpoint server;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

} // namespace gentianhill
