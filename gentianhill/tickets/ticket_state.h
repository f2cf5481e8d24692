#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/tickets/ticket.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// State of one subject and the ticket that set it.
struct subject_view {
    /// Highest accepted ticket that touches the subject.
    ticket_number number = 0;
    /// State set by that ticket.
    ticket_subject state;
};

/// View of one daemon of what is in effect. Views only rise: the result depends on the set of tickets that
/// were applied, not on their order, repeats or replays.
class ticket_state {
public:
    /// Applies an accepted ticket; returns the subjects that it raised.
    std::vector<std::string> apply(const ticket& accepted);
    /// Merges the view of another daemon; returns the subjects that it raised.
    /// Errors: those of object_reader; nothing is merged then.
    std::optional<std::vector<std::string>> merge(const nlohmann::json& exported, error& reason);
    /// JSON form {"subjects": {name: {"number", "state"}}} for merge() and operators.
    [[nodiscard]] nlohmann::json export_view() const;
    /// Part of export_view() that exceeds the numbers a peer already has.
    [[nodiscard]] nlohmann::json export_newer_than(const std::map<std::string, ticket_number>& known) const;
    /// Number in effect of each subject.
    [[nodiscard]] std::map<std::string, ticket_number> numbers() const;

    /// Number of the ticket that took precedence over `number` for the subject, if there is one.
    [[nodiscard]] std::optional<ticket_number> superseded_by(ticket_number number,
                                                             std::string_view subject) const;
    /// True when every subject of the ticket is at its number or a higher one.
    [[nodiscard]] bool is_applied(const ticket& accepted) const;
    /// Highest number seen; 0 without any.
    [[nodiscard]] ticket_number highest_number() const { return highest_number_; }
    /// Digest of the whole view in hexadecimal; equal views have equal digests.
    [[nodiscard]] std::string fingerprint() const;

    /// State of a group, or nullptr when it does not exist or was removed. Valid until the next change.
    [[nodiscard]] const group_subject* group(std::string_view name) const;
    /// State of a team, or nullptr.
    [[nodiscard]] const team_subject* team(std::string_view name) const;
    /// Policy in effect; without overrides when no ticket has set one.
    [[nodiscard]] policy_subject policy() const;
    /// Names of all groups that exist.
    [[nodiscard]] std::vector<std::string> group_names() const;
    /// All subjects, including removed ones.
    [[nodiscard]] const std::map<std::string, subject_view, std::less<>>& subjects() const {
        return subjects_;
    }

private:
    [[nodiscard]] bool raise(const std::string& subject, const subject_view& candidate);

    std::map<std::string, subject_view, std::less<>> subjects_;
    ticket_number highest_number_ = 0;
};

} // namespace gentianhill
