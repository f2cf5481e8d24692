#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/hybrid_timestamp.h"

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace gentianhill {

/// What a timeline event records.
enum class event_kind : std::uint8_t {
    // Failover
    suspected,
    opinion_asked,
    opinion_given,
    attempt_started,
    attempt_held_off,
    attempt_ended,
    fence_sent,
    fence_accepted,
    fence_rejected,
    promote_sent,
    promoted,
    follow_sent,
    follow_accepted,
    primary_changed,
    first_confirmed_write,
    claim_recorded,
    claim_consumed,
    // Requests
    request_rejected,
    outcome_unknown,
    outcome_resolved,
    retry_denied,
    // Tickets
    ticket_submitted,
    ticket_accepted,
    ticket_rejected,
    ticket_applied,
    // Membership and shutdown
    host_live,
    host_leaving,
    host_gone,
    drain_started,
    drain_finished,
    daemon_started,
    daemon_paused,
    // Faults
    instance_lost,
    instance_returned,
    instance_reinitialised,
    platform_lost,
    platform_returned,
    peer_lost,
    peer_returned,
    answer_mismatched,
    fault,
    // A kind that this version does not know; the field "kind" has its name
    other,
};

/// Name of a kind.
[[nodiscard]] std::string_view to_string(event_kind kind);

/// Kind of a name; nothing for a name that is not in the table.
[[nodiscard]] std::optional<event_kind> event_kind_from(std::string_view name);

/// Identifies one event of a deployment.
struct event_id {
    /// Daemon that recorded it.
    std::string daemon;
    /// Start of that daemon process, in milliseconds since the Unix epoch; sequences restart with it.
    std::int64_t incarnation = 0;
    /// Number of the event within the process, from 1 without gaps.
    std::uint64_t sequence = 0;

    /// Parses the text of to_string(). Errors: bad_value, naming `field`.
    [[nodiscard]] static std::optional<event_id> parse(std::string_view text, std::string_view field,
                                                       error& reason);
    /// Text "daemon/incarnation/sequence".
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const event_id&, const event_id&) = default;
    // Written out: clang-tidy 14 reports a literal 0 in the defaulted operator (modernize-use-nullptr).
    friend std::strong_ordering operator<=>(const event_id& a, const event_id& b) {
        return std::tie(a.daemon, a.incarnation, a.sequence) <=>
               std::tie(b.daemon, b.incarnation, b.sequence);
    }
};

/// One event of a timeline.
struct timeline_event {
    /// Assigned by timeline::record().
    event_id id;
    /// Hybrid logical clock reading.
    hybrid_timestamp at;
    /// What happened.
    event_kind kind = event_kind::fault;
    /// Database group concerned; may be empty.
    std::string group;
    /// Request concerned; may be empty.
    std::string request_id;
    /// Event that led to this one, possibly of another daemon.
    std::optional<event_id> cause;
    /// Further names and values.
    std::vector<std::pair<std::string, std::string>> fields;

    /// JSON form.
    [[nodiscard]] nlohmann::json to_json() const;
    /// Reads the JSON form. Errors: those of object_reader, with paths below `path`.
    [[nodiscard]] static std::optional<timeline_event> from_json(const nlohmann::json& value,
                                                                 const std::string& path, error& reason);
};

} // namespace gentianhill
