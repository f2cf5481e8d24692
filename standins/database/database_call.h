#pragma once

#include "gentianhill/http2/server.h"
#include "standins/database/database_requests.h"

namespace gentianhill::standins {

/// One request whose envelope has been read, with the way to answer it.
struct database_call {
    /// Connection that it came on.
    http2::connection_id connection = 0;
    request_envelope envelope;
    http2::server::responder respond;
};

} // namespace gentianhill::standins
