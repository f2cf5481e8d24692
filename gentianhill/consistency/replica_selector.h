#pragma once

#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace gentianhill {

/// Limits and weights of the choice of an instance for a read.
struct replica_selector_settings {
    /// Longest total wait of one read for a replica while the primary is available.
    duration max_wait = std::chrono::milliseconds{250};
    /// Part of the deadline that is kept for the read itself after a wait.
    duration execution_reserve = std::chrono::milliseconds{20};
    /// Granted wait in proportion to the expected one; above 1 because the estimate is a mean.
    double wait_margin = 1.5;
    /// Shortest wait granted when a replica is about to catch up; covers one report interval.
    duration min_wait = std::chrono::milliseconds{5};
    /// A report older than this says little about where a replica is now; a wait of `min_wait` asks for a
    /// newer one. Without it, replicas that are not used would never be heard of again.
    duration report_stale_after = std::chrono::milliseconds{50};
    /// Cost of an instance in another availability zone, in units of load (1 = all slots busy).
    double other_zone_cost = 0.5;
    /// Cost of the primary, in units of load; it is the only instance that can run writes.
    double primary_cost = 2.0;
};

/// One instance of the group as the daemon sees it now. Refers to data of the caller.
struct read_candidate {
    /// Name of the instance.
    std::string_view instance;
    /// Availability zone of its backend server.
    std::string_view zone;
    /// Its last report, or null when it has sent none.
    const instance_report* report = nullptr;
    /// Age of its data; nothing when it is not known.
    std::optional<duration> age;
    /// Requests in flight and queued for it, divided by its slots.
    double load = 0.0;
    /// Rate at which it applies log entries, per second; 0 when it is not known.
    double entries_per_second = 0.0;
    /// True when its backend server is leaving, by its own notice or by the platform's list.
    bool leaving = false;
    /// False while connections to it fail.
    bool reachable = true;
    /// True for the primary of the group's current term.
    bool is_primary = false;
};

/// What one read asks for.
struct read_request {
    /// Position that the session has seen in the group.
    log_position required_position;
    /// Greatest age that the caller accepts; nothing when only the session's position counts.
    std::optional<duration> max_age;
    /// True when the read must run on the primary.
    bool primary_only = false;
    /// Availability zone of the daemon.
    std::string_view zone;
    /// Time that this read has already waited for a replica.
    duration waited{0};
    /// Moment by which the caller needs the answer.
    time_point deadline;
    /// Current time.
    time_point now;
};

/// Run the read at a replica.
struct use_replica {
    /// Index of the candidate.
    std::size_t index;
};

/// Wait for reports of a replica, then decide again; at the end of `limit` decide again in any case.
struct wait_for_replica {
    /// Index of the candidate expected to catch up first.
    std::size_t index;
    /// Longest time to wait.
    duration limit;
};

/// Run the read at the primary.
struct use_primary {
    /// Index of the primary among the candidates.
    std::size_t index;
};

/// Refuse the read without running it.
struct refuse_read {
    /// no_eligible_instance, no_primary, deadline_exceeded or token_ahead_of_history.
    error reason;
};

/// Outcome of a choice.
using read_decision = std::variant<use_replica, wait_for_replica, use_primary, refuse_read>;

/// Chooses the instance for a read: a replica that has what the session saw, preferably in the own zone and
/// with low load; otherwise a bounded wait or the primary. Holds no state and allocates only for a refusal.
class replica_selector {
public:
    explicit replica_selector(const replica_selector_settings& settings);

    /// Decides about one read.
    [[nodiscard]] read_decision choose(const read_request& request,
                                       std::span<const read_candidate> candidates) const;

private:
    struct survey;
    [[nodiscard]] double cost(const read_request& request, const read_candidate& candidate) const;
    [[nodiscard]] survey examine(const read_request& request,
                                 std::span<const read_candidate> candidates) const;
    [[nodiscard]] std::optional<duration> catch_up_of_silent(const read_request& request) const;
    [[nodiscard]] std::optional<duration> expected_catch_up(const read_request& request,
                                                            const read_candidate& candidate) const;
    [[nodiscard]] duration wait_budget(const read_request& request, bool primary_available) const;

    replica_selector_settings settings_;
};

} // namespace gentianhill
