#pragma once

#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/tickets/ticket.h"

namespace gentianhill {

/// Settings of a daemon with the overrides of a policy in effect. A policy may set one of two settings that
/// limit each other; the other one, which comes from the daemon, is then moved as far as necessary.
/// suspect_after never goes below two probe intervals.
[[nodiscard]] daemon_settings with_policy(const daemon_settings& base, const policy_subject& policy);

} // namespace gentianhill
