#include "gentianhill/tickets/ticket_state.h"

#include "gentianhill/core/object_reader.h"
#include "gentianhill/tickets/ticket_schema.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::string_view group_prefix = "group/";
constexpr std::string_view team_prefix = "team/";
constexpr std::string_view policy_subject_name = "policy";

nlohmann::json to_entry(const subject_view& view) {
    return nlohmann::json{{"number", view.number}, {"state", to_json(view.state)}};
}

template <typename state_type>
const state_type* find_state(const std::map<std::string, subject_view, std::less<>>& subjects,
                             std::string_view prefix, std::string_view name) {
    const std::map<std::string, subject_view, std::less<>>::const_iterator found =
        subjects.find(fmt::format("{}{}", prefix, name));
    return found == subjects.end() ? nullptr : std::get_if<state_type>(&found->second.state);
}

} // namespace

bool ticket_state::raise(const std::string& subject, const subject_view& candidate) {
    highest_number_ = std::max(highest_number_, candidate.number);
    const std::map<std::string, subject_view, std::less<>>::iterator found = subjects_.find(subject);
    if (found == subjects_.end()) {
        subjects_.emplace(subject, candidate);
        return true;
    }
    if (candidate.number < found->second.number) {
        return false;
    }
    // Two contents under one number cannot be stored; if a faulty relay reports them, all daemons must still
    // choose the same one, independently of the order of arrival.
    if (candidate.number == found->second.number &&
        to_json(candidate.state).dump() <= to_json(found->second.state).dump()) {
        return false;
    }
    found->second = candidate;
    return true;
}

std::vector<std::string> ticket_state::apply(const ticket& accepted) {
    std::vector<std::string> raised;
    for (const std::pair<const std::string, ticket_subject>& subject : accepted.subjects) {
        if (raise(subject.first, subject_view{accepted.number, subject.second})) {
            raised.push_back(subject.first);
        }
    }
    return raised;
}

std::optional<std::vector<std::string>> ticket_state::merge(const nlohmann::json& exported, error& reason) {
    // Read everything before anything is changed.
    reason = {};
    object_reader reader{exported, "", reason};
    const nlohmann::json& members = reader.object("subjects");
    std::map<std::string, subject_view> candidates;
    for (nlohmann::json::const_iterator member = members.begin(); member != members.end(); ++member) {
        const std::string path = fmt::format("subjects[{}]", member.key());
        object_reader entry{*member, path, reason};
        const std::int64_t number = entry.integer("number", 1, static_cast<std::int64_t>(max_ticket_number));
        const nlohmann::json& state = entry.any("state");
        if (!entry.finish()) {
            return std::nullopt;
        }
        std::optional<ticket_subject> subject =
            subject_from_json(member.key(), state, path + ".state", reason);
        if (!subject) {
            return std::nullopt;
        }
        candidates.emplace(member.key(),
                           subject_view{static_cast<ticket_number>(number), std::move(*subject)});
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    // Raise what is newer.
    std::vector<std::string> raised;
    for (const std::pair<const std::string, subject_view>& candidate : candidates) {
        if (raise(candidate.first, candidate.second)) {
            raised.push_back(candidate.first);
        }
    }
    return raised;
}

nlohmann::json ticket_state::export_view() const {
    return export_newer_than({});
}

nlohmann::json ticket_state::export_newer_than(const std::map<std::string, ticket_number>& known) const {
    nlohmann::json members = nlohmann::json::object();
    for (const std::pair<const std::string, subject_view>& subject : subjects_) {
        const std::map<std::string, ticket_number>::const_iterator found = known.find(subject.first);
        if (found == known.end() || found->second < subject.second.number) {
            members[subject.first] = to_entry(subject.second);
        }
    }
    return nlohmann::json{{"subjects", std::move(members)}};
}

std::map<std::string, ticket_number> ticket_state::numbers() const {
    std::map<std::string, ticket_number> result;
    for (const std::pair<const std::string, subject_view>& subject : subjects_) {
        result.emplace(subject.first, subject.second.number);
    }
    return result;
}

std::optional<ticket_number> ticket_state::superseded_by(ticket_number number,
                                                         std::string_view subject) const {
    const std::map<std::string, subject_view, std::less<>>::const_iterator found = subjects_.find(subject);
    if (found == subjects_.end() || found->second.number <= number) {
        return std::nullopt;
    }
    return found->second.number;
}

bool ticket_state::is_applied(const ticket& accepted) const {
    return std::all_of(accepted.subjects.begin(), accepted.subjects.end(),
                       [this, &accepted](const std::pair<const std::string, ticket_subject>& subject) {
                           const std::map<std::string, subject_view, std::less<>>::const_iterator found =
                               subjects_.find(subject.first);
                           return found != subjects_.end() && found->second.number >= accepted.number;
                       });
}

std::string ticket_state::fingerprint() const {
    const std::string text = export_view().dump();
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

const group_subject* ticket_state::group(std::string_view name) const {
    return find_state<group_subject>(subjects_, group_prefix, name);
}

const team_subject* ticket_state::team(std::string_view name) const {
    return find_state<team_subject>(subjects_, team_prefix, name);
}

policy_subject ticket_state::policy() const {
    const policy_subject* found = find_state<policy_subject>(subjects_, policy_subject_name, "");
    return found == nullptr ? policy_subject{} : *found;
}

std::vector<std::string> ticket_state::group_names() const {
    std::vector<std::string> result;
    for (const std::pair<const std::string, subject_view>& subject : subjects_) {
        if (std::holds_alternative<group_subject>(subject.second.state)) {
            result.push_back(subject.first.substr(group_prefix.size()));
        }
    }
    return result;
}

} // namespace gentianhill
