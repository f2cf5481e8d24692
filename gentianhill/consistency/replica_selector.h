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

/// Limits and cost weights of replica_selector.
struct replica_selector_settings {
    /// Maximum total time that one read waits for a replica while the primary is available.
    duration max_wait = std::chrono::milliseconds{250};
    /// Time before the deadline that is reserved for executing the read after a wait.
    duration execution_reserve = std::chrono::milliseconds{20};
    /// Factor from the expected catch-up time to the wait; above 1 because the estimate is a mean.
    double wait_factor = 1.5;
    /// Minimum wait for a replica to catch up; covers one report interval.
    duration min_wait = std::chrono::milliseconds{5};
    /// Age from which a report is not used to predict the position of a replica. A read then waits for
    /// `min_wait`, which requests a new report; otherwise unused replicas would never be asked for one again.
    duration report_stale_after = std::chrono::milliseconds{50};
    /// Additional cost of an instance in another availability zone, in units of load (1 = all slots busy).
    double other_zone_cost = 0.5;
    /// Additional cost of the primary, in units of load; it is the only instance that can run writes.
    double primary_cost = 2.0;
};

/// Current state of one instance that may serve a read. Refers to data owned by the caller.
struct read_candidate {
    /// Name of the instance.
    std::string_view instance;
    /// Availability zone of its backend server.
    std::string_view zone;
    /// Its latest report, or null when none has arrived.
    const instance_report* report = nullptr;
    /// Age of its data; nullopt when unknown.
    std::optional<duration> age;
    /// Requests in flight and queued for it, divided by its slots.
    double load = 0.0;
    /// Rate at which it applies log entries; 0 when unknown.
    double entries_per_second = 0.0;
    /// True when its backend server is leaving, as announced by the server or listed by the platform.
    bool leaving = false;
    /// False while connections to it fail.
    bool reachable = true;
    /// True for the primary of the group's current term.
    bool is_primary = false;
};

/// Requirements of one read.
struct read_request {
    /// Position that the session has seen in the group; the instance must have reached it.
    log_position required_position;
    /// Maximum age of the data that the caller accepts; nullopt when only the session's position matters.
    std::optional<duration> max_age;
    /// True when the read must run on the primary.
    bool primary_only = false;
    /// Availability zone of the daemon.
    std::string_view zone;
    /// Total time that this read has waited for replicas so far.
    duration waited{0};
    /// Time by which the caller needs the answer.
    time_point deadline;
    /// Current time.
    time_point now;
};

/// Run the read at a replica.
struct use_replica {
    /// Index of the candidate.
    std::size_t index;
};

/// Wait for a new report of a replica, for at most `limit`, and then choose again.
struct wait_for_replica {
    /// Index of the candidate expected to catch up first.
    std::size_t index;
    /// Maximum time to wait.
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

/// Decision about one read.
using read_decision = std::variant<use_replica, wait_for_replica, use_primary, refuse_read>;

/// Chooses the instance for a read: a replica that has reached the position of the session, preferably in the
/// zone of the daemon and with low load; otherwise a bounded wait or the primary. Stateless; allocates memory
/// only to refuse a read.
class replica_selector {
public:
    explicit replica_selector(const replica_selector_settings& settings);

    /// Chooses among `candidates` for one read.
    [[nodiscard]] read_decision choose(const read_request& request,
                                       std::span<const read_candidate> candidates) const;

private:
    struct candidate_summary;
    [[nodiscard]] double cost(const read_request& request, const read_candidate& candidate) const;
    [[nodiscard]] candidate_summary summarize(const read_request& request,
                                              std::span<const read_candidate> candidates) const;
    [[nodiscard]] std::optional<duration> fresh_report_wait(const read_request& request) const;
    [[nodiscard]] std::optional<duration> expected_catch_up_time(const read_request& request,
                                                                 const read_candidate& candidate) const;
    [[nodiscard]] duration wait_budget(const read_request& request, bool primary_available) const;

    replica_selector_settings settings_;
};

} // namespace gentianhill
