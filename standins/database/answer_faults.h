#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/server.h"
#include "standins/database/database_faults.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace gentianhill::standins {

/// Whether the call took effect.
enum class answer_kind : std::uint8_t { success, refusal };

/// Sends the answers to statement and transaction calls with the faults that are switched on.
class answer_faults {
public:
    /// Both references must outlive this object.
    answer_faults(event_loop& loop, database_faults& faults) : loop_(loop), faults_(faults) {}

    /// Sends, delays, swaps, truncates or drops an answer. The responder may be called later.
    void deliver(const http2::server::responder& respond, http2::response reply, answer_kind kind);
    /// Sends an answer that waits for another to be swapped with, after the fault was switched off.
    void faults_changed();

private:
    void send(const http2::server::responder& respond, http2::response reply);

    event_loop& loop_;
    database_faults& faults_;
    std::optional<std::pair<http2::server::responder, http2::response>> waiting_;
};

} // namespace gentianhill::standins
