#pragma once

#include "gentianhill/tickets/ticket.h"

#include <cstddef>
#include <vector>

namespace gentianhill {

/// Numbers of tickets that may be deleted from the platform: every subject of theirs is set again by a higher
/// accepted ticket, and they are not among the `keep_latest` highest. A view rebuilt from the rest is equal.
[[nodiscard]] std::vector<ticket_number> compactable_tickets(const std::vector<ticket>& accepted,
                                                             std::size_t keep_latest);

} // namespace gentianhill
