#pragma once

#include "gentianhill/core/endpoint.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gentianhill {

/// Number of a ticket; a higher one takes precedence. 0 means none.
using ticket_number = std::uint64_t;

/// One instance of a database group.
struct ticket_instance {
    /// Name, unique in the group.
    std::string name;
    /// Availability zone of its backend server.
    std::string zone;
    /// Address of its calls.
    endpoint address;
    /// Connection limit of the instance, over all daemons.
    std::int64_t connections = 0;
    /// Statements that it runs at the same time.
    std::int64_t slots = 0;

    friend bool operator==(const ticket_instance&, const ticket_instance&) = default;
};

/// Complete state of a subject "group/<name>".
struct group_subject {
    /// Teams that may use the group; empty admits all teams.
    std::vector<std::string> teams;
    /// All instances of the group.
    std::vector<ticket_instance> instances;

    /// Instance of that name, or nullptr.
    [[nodiscard]] const ticket_instance* find(std::string_view name) const;

    friend bool operator==(const group_subject&, const group_subject&) = default;
};

/// Complete state of a subject "team/<name>".
struct team_subject {
    /// Share of the team relative to other teams, 1 to 1000.
    std::int64_t weight = 100;
    /// Largest age of rows that reads of the team accept unless a request says otherwise, in milliseconds;
    /// nothing for fresh reads only.
    std::optional<std::int64_t> max_age_ms;

    friend bool operator==(const team_subject&, const team_subject&) = default;
};

/// Complete state of the subject "policy": settings that may change while daemons run. Each overrides the
/// setting of the same name while it is present.
struct policy_subject {
    /// See daemon_settings.
    std::optional<std::int64_t> confirm_stall_limit_ms;
    std::optional<std::int64_t> default_deadline_ms;
    std::optional<std::int64_t> max_deadline_ms;
    std::optional<std::int64_t> probe_interval_ms;
    std::optional<std::int64_t> suspect_after_ms;
    std::optional<std::int64_t> queue_capacity;
    std::optional<std::int64_t> retry_budget_percent;
    std::optional<std::int64_t> entry_hosts;

    friend bool operator==(const policy_subject&, const policy_subject&) = default;
};

/// State of a subject; monostate (JSON null) means that the subject is removed.
using ticket_subject = std::variant<std::monostate, group_subject, team_subject, policy_subject>;

/// JSON form of the state of a subject.
[[nodiscard]] nlohmann::json to_json(const ticket_subject& subject);

/// One configuration change. Each subject carries its complete new state.
struct ticket {
    /// Assigned by the submitter, unique.
    ticket_number number = 0;
    /// Who submitted it.
    std::string author;
    /// States by subject: "group/<name>", "team/<name>" or "policy".
    std::map<std::string, ticket_subject, std::less<>> subjects;

    /// JSON form; equal tickets have equal forms.
    [[nodiscard]] nlohmann::json to_json() const;

    friend bool operator==(const ticket&, const ticket&) = default;
};

} // namespace gentianhill
