#pragma once

#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/core/event_loop.h"
#include "gentianhill/core/hybrid_clock.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/core/timeline.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gentianhill {

/// What all parts of one daemon share. Lives as long as the daemon.
class daemon_context {
public:
    /// `incarnation_ms` is the start of the process, in milliseconds since the Unix epoch.
    daemon_context(event_loop& shared_loop, const daemon_settings& checked_settings,
                   std::int64_t incarnation_ms);

    event_loop& loop;
    const daemon_settings& settings;
    /// Start of this process, in milliseconds since the Unix epoch.
    const std::int64_t incarnation;
    logger log;
    metrics metric_registry;
    hybrid_clock clock;
    timeline events;

    /// Uniform value in [0, 1).
    [[nodiscard]] double random();
    /// Request id that no other request of any incarnation of this daemon has.
    [[nodiscard]] std::string next_request_id();
    /// Identifier of this run of the daemon.
    [[nodiscard]] std::string incarnation_text() const { return std::to_string(incarnation); }
    /// Records an event at the current time and returns its identifier.
    event_id record(event_kind kind, const std::string& group,
                    std::vector<std::pair<std::string, std::string>> fields,
                    const std::optional<event_id>& cause = std::nullopt, const std::string& request_id = {});

private:
    std::mt19937_64 generator_;
    std::uint64_t next_request_ = 1;
};

} // namespace gentianhill
