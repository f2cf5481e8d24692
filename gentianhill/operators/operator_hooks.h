#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/tickets/ticket.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gentianhill {

/// Receives the JSON answer to one operator call, or nothing and the reason; to be called once.
using operator_answer = std::function<void(const std::optional<nlohmann::json>&, const error&)>;

/// What the daemon provides to the operator endpoint. An empty hook answers unknown_path.
struct operator_hooks {
    /// View of all groups: primary, term, instances with position, age and reachability.
    std::function<nlohmann::json()> groups;
    /// State of the daemon: name, zone, readiness, fingerprint of tickets, queues.
    std::function<nlohmann::json()> state;
    /// Connection shares per instance and team.
    std::function<nlohmann::json()> shares;
    /// Live, leaving and drained hosts.
    std::function<nlohmann::json()> hosts;
    /// timeline::export_since().
    std::function<nlohmann::json(std::uint64_t since, std::size_t limit)> timeline;
    /// ticket_state::export_view().
    std::function<nlohmann::json()> tickets;
    /// Stores a ticket that has passed its schema.
    std::function<void(const ticket&, const operator_answer&)> submit_ticket;
    /// Ticket of that number as stored.
    std::function<void(ticket_number, const operator_answer&)> show_ticket;
    /// Which daemons have applied a ticket and which tickets took precedence.
    std::function<void(ticket_number, const operator_answer&)> ticket_status;
    /// Outcome of a request by group and key.
    std::function<void(const std::string& group, const std::string& key, const operator_answer&)> outcome;
    /// Starts the planned stop of this daemon. Errors: draining when it has started already.
    std::function<bool(error& reason)> drain;
};

} // namespace gentianhill
