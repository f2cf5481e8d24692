#include "gentianhill/tickets/ticket_schema.h"

#include "gentianhill/core/daemon_settings.h"
#include "gentianhill/core/name.h"
#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <span>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::string_view group_prefix = "group/";
constexpr std::string_view team_prefix = "team/";
constexpr std::string_view policy_name = "policy";
constexpr std::size_t max_subjects = 4000;
constexpr std::size_t max_instances = 15;
constexpr std::size_t max_teams = 1000;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t max_age_limit_ms = 86'400'000;
constexpr std::size_t shown_bytes = 64;

using policy_member = std::optional<std::int64_t> policy_subject::*;

/// Member of a policy; its range is that of the setting of the same name.
struct policy_field {
    const char* name;
    policy_member member;
};

constexpr std::array policy_fields{
    policy_field{"confirm_stall_limit_ms", &policy_subject::confirm_stall_limit_ms},
    policy_field{"default_deadline_ms", &policy_subject::default_deadline_ms},
    policy_field{"max_deadline_ms", &policy_subject::max_deadline_ms},
    policy_field{"probe_interval_ms", &policy_subject::probe_interval_ms},
    policy_field{"suspect_after_ms", &policy_subject::suspect_after_ms},
    policy_field{"queue_capacity", &policy_subject::queue_capacity},
    policy_field{"retry_budget_percent", &policy_subject::retry_budget_percent},
    policy_field{"entry_hosts", &policy_subject::entry_hosts},
};

const setting_definition& setting_of(std::string_view name) {
    const std::span<const setting_definition> definitions = daemon_setting_definitions();
    const std::span<const setting_definition>::iterator found =
        std::find_if(definitions.begin(), definitions.end(),
                     [name](const setting_definition& definition) { return definition.name == name; });
    assert(found != definitions.end());
    return *found;
}

bool starts_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

std::string read_name(object_reader& reader, std::string_view field) {
    std::string result = reader.text(field);
    if (reader.ok() && !valid_name(result)) {
        reader.fail(error_code::bad_value, field, result.substr(0, shown_bytes), std::string{allowed_name});
    }
    return result;
}

std::optional<ticket_instance> read_instance(const nlohmann::json& value, const std::string& path,
                                             error& reason) {
    object_reader reader{value, path, reason};
    ticket_instance result;
    result.name = read_name(reader, "name");
    result.zone = read_name(reader, "zone");
    const std::string address = reader.text("address");
    // Each daemon keeps one control connection to each instance.
    result.connections = reader.integer("connections", 2, max_connections);
    result.slots = reader.integer("slots", 1, std::max<std::int64_t>(1, result.connections));
    if (!reader.finish()) {
        return std::nullopt;
    }
    std::optional<endpoint> parsed = endpoint::parse(address, reader.path_of("address"), reason);
    if (!parsed) {
        return std::nullopt;
    }
    result.address = std::move(*parsed);
    return result;
}

bool read_teams(const nlohmann::json& value, object_reader& reader, std::vector<std::string>& teams) {
    if (value.size() > max_teams) {
        reader.fail(error_code::too_large, "teams", fmt::format("{} teams", value.size()),
                    fmt::format("at most {}", max_teams));
        return false;
    }
    std::set<std::string> seen;
    std::size_t index = 0;
    for (const nlohmann::json& item : value) {
        const std::string field = fmt::format("teams[{}]", index++);
        if (!item.is_string() || !valid_name(item.get_ref<const std::string&>())) {
            reader.fail(error_code::bad_value, field, item.dump().substr(0, shown_bytes),
                        std::string{allowed_name});
            return false;
        }
        if (!seen.insert(item.get<std::string>()).second) {
            reader.fail(error_code::bad_value, field, item.get<std::string>(), "each team once");
            return false;
        }
        teams.push_back(item.get<std::string>());
    }
    return true;
}

bool read_instances(const nlohmann::json& value, object_reader& reader, error& reason,
                    std::vector<ticket_instance>& instances) {
    if (value.empty() || value.size() > max_instances) {
        reader.fail(error_code::out_of_range, "instances", fmt::format("{} instances", value.size()),
                    fmt::format("1 to {}", max_instances));
        return false;
    }
    std::set<std::string> names;
    std::set<endpoint> addresses;
    std::size_t index = 0;
    for (const nlohmann::json& item : value) {
        const std::string field = fmt::format("instances[{}]", index++);
        std::optional<ticket_instance> instance = read_instance(item, reader.path_of(field), reason);
        if (!instance) {
            return false;
        }
        if (!names.insert(instance->name).second) {
            reader.fail(error_code::bad_value, field + ".name", instance->name, "each name once in a group");
            return false;
        }
        if (!addresses.insert(instance->address).second) {
            reader.fail(error_code::bad_value, field + ".address", instance->address.to_string(),
                        "an address that no other instance has");
            return false;
        }
        instances.push_back(std::move(*instance));
    }
    return true;
}

std::optional<ticket_subject> read_group(const nlohmann::json& value, const std::string& path,
                                         error& reason) {
    object_reader reader{value, path, reason};
    const nlohmann::json& teams = reader.array("teams");
    const nlohmann::json& instances = reader.array("instances");
    if (!reader.finish()) {
        return std::nullopt;
    }
    group_subject result;
    if (!read_teams(teams, reader, result.teams) ||
        !read_instances(instances, reader, reason, result.instances)) {
        return std::nullopt;
    }
    return result;
}

std::optional<ticket_subject> read_team(const nlohmann::json& value, const std::string& path, error& reason) {
    object_reader reader{value, path, reason};
    team_subject result;
    result.weight = reader.integer("weight", 1, max_weight);
    result.max_age_ms = reader.optional_integer("max_age_ms", 0, max_age_limit_ms);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return result;
}

std::optional<ticket_subject> read_policy(const nlohmann::json& value, const std::string& path,
                                          error& reason) {
    object_reader reader{value, path, reason};
    policy_subject result;
    for (const policy_field& field : policy_fields) {
        const setting_definition& setting = setting_of(field.name);
        result.*field.member = reader.optional_integer(field.name, setting.low, setting.high);
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    if (result.default_deadline_ms && result.max_deadline_ms &&
        *result.default_deadline_ms > *result.max_deadline_ms) {
        reader.fail(error_code::bad_value, "default_deadline_ms",
                    fmt::format("{}", *result.default_deadline_ms),
                    fmt::format("at most max_deadline_ms, which is {}", *result.max_deadline_ms));
        return std::nullopt;
    }
    if (result.suspect_after_ms && result.probe_interval_ms &&
        *result.suspect_after_ms < 2 * *result.probe_interval_ms) {
        reader.fail(error_code::bad_value, "suspect_after_ms", fmt::format("{}", *result.suspect_after_ms),
                    fmt::format("at least twice probe_interval_ms, which is {}", *result.probe_interval_ms));
        return std::nullopt;
    }
    return result;
}

// Group whose instance has the address, other than `group`; empty when there is none.
std::string find_address(const endpoint& address, std::string_view group,
                         const std::map<std::string, const group_subject*>& groups) {
    for (const std::pair<const std::string, const group_subject*>& entry : groups) {
        if (entry.first == group) {
            continue;
        }
        for (const ticket_instance& instance : entry.second->instances) {
            if (instance.address == address) {
                return entry.first;
            }
        }
    }
    return {};
}

// Refuses an address that two groups of the map use; only the groups of the ticket are checked.
bool check_addresses(const ticket& checked, const std::map<std::string, const group_subject*>& groups,
                     error& reason) {
    for (const std::pair<const std::string, ticket_subject>& subject : checked.subjects) {
        const group_subject* group = std::get_if<group_subject>(&subject.second);
        if (group == nullptr) {
            continue;
        }
        for (std::size_t index = 0; index < group->instances.size(); ++index) {
            const endpoint& address = group->instances[index].address;
            const std::string other = find_address(address, subject.first, groups);
            if (!other.empty()) {
                reason = error{error_code::bad_value,
                               fmt::format("subjects[{}].instances[{}].address", subject.first, index),
                               address.to_string(),
                               fmt::format("an address that no other group has; {} uses it", other)};
                return false;
            }
        }
    }
    return true;
}

std::map<std::string, const group_subject*> groups_of(const ticket& source) {
    std::map<std::string, const group_subject*> result;
    for (const std::pair<const std::string, ticket_subject>& subject : source.subjects) {
        const group_subject* group = std::get_if<group_subject>(&subject.second);
        if (group != nullptr) {
            result.emplace(subject.first, group);
        }
    }
    return result;
}

// Instances that were added, removed or moved to another address.
std::size_t count_changes(const group_subject& before, const group_subject& after) {
    std::size_t changes = 0;
    for (const ticket_instance& instance : after.instances) {
        const ticket_instance* previous = before.find(instance.name);
        changes += previous == nullptr || previous->address != instance.address ? 1 : 0;
    }
    for (const ticket_instance& instance : before.instances) {
        changes += after.find(instance.name) == nullptr ? 1 : 0;
    }
    return changes;
}

bool check_instance_changes(const ticket& checked, const ticket_state& view, error& reason) {
    for (const std::pair<const std::string, const group_subject*>& entry : groups_of(checked)) {
        const group_subject* before = view.group(std::string_view{entry.first}.substr(group_prefix.size()));
        const std::size_t changes = before == nullptr ? 0 : count_changes(*before, *entry.second);
        if (changes > 1) {
            reason = error{error_code::bad_value, fmt::format("subjects[{}].instances", entry.first),
                           fmt::format("{} instances added, removed or moved", changes),
                           "one instance per ticket, the next once all daemons have applied the first: "
                           "majorities before and after must overlap"};
            return false;
        }
    }
    return true;
}

void warn_about_group(const std::string& subject, const group_subject& group, const ticket& checked,
                      const ticket_state& view, std::vector<std::string>& warnings) {
    const std::size_t count = group.instances.size();
    if (count % 2 == 0) {
        warnings.push_back(fmt::format("{} has {} instances; it tolerates no more failures than {}", subject,
                                       count, count - 1));
    }
    std::map<std::string, std::size_t> per_zone;
    for (const ticket_instance& instance : group.instances) {
        ++per_zone[instance.zone];
    }
    for (const std::pair<const std::string, std::size_t>& zone : per_zone) {
        if (count > 1 && count - zone.second < count / 2 + 1) {
            warnings.push_back(fmt::format("{} has no majority without zone {}", subject, zone.first));
        }
    }
    for (const std::string& team : group.teams) {
        const bool in_ticket = checked.subjects.count("team/" + team) > 0;
        if (!in_ticket && view.team(team) == nullptr) {
            warnings.push_back(fmt::format("{} admits team {}, which no ticket defines; it has weight {}",
                                           subject, team, team_subject{}.weight));
        }
    }
}

} // namespace

std::optional<ticket_subject> subject_from_json(std::string_view subject, const nlohmann::json& value,
                                                const std::string& path, error& reason) {
    reason = {};
    const bool is_group =
        starts_with(subject, group_prefix) && valid_name(subject.substr(group_prefix.size()));
    const bool is_team = starts_with(subject, team_prefix) && valid_name(subject.substr(team_prefix.size()));
    if (!is_group && !is_team && subject != policy_name) {
        reason = error{error_code::bad_value, path, std::string{subject.substr(0, shown_bytes)},
                       fmt::format("group/NAME, team/NAME or policy; NAME is {}", allowed_name)};
        return std::nullopt;
    }
    if (value.is_null()) {
        return ticket_subject{};
    }
    if (is_group) {
        return read_group(value, path, reason);
    }
    return is_team ? read_team(value, path, reason) : read_policy(value, path, reason);
}

std::optional<ticket> ticket_from_json(const nlohmann::json& value, error& reason) {
    reason = {};
    object_reader reader{value, "", reason};
    ticket result;
    result.number =
        static_cast<ticket_number>(reader.integer("number", 1, static_cast<std::int64_t>(max_ticket_number)));
    result.author = reader.text("author", shown_bytes);
    const nlohmann::json& subjects = reader.object("subjects");
    if (!reader.finish()) {
        return std::nullopt;
    }
    if (subjects.empty() || subjects.size() > max_subjects) {
        reader.fail(error_code::out_of_range, "subjects", fmt::format("{} subjects", subjects.size()),
                    fmt::format("1 to {}", max_subjects));
        return std::nullopt;
    }
    for (nlohmann::json::const_iterator member = subjects.begin(); member != subjects.end(); ++member) {
        std::optional<ticket_subject> subject = subject_from_json(
            member.key(), *member,
            fmt::format("subjects[{}]", std::string_view{member.key()}.substr(0, 2 * shown_bytes)), reason);
        if (!subject) {
            return std::nullopt;
        }
        result.subjects.emplace(member.key(), std::move(*subject));
    }
    if (!check_addresses(result, groups_of(result), reason)) {
        return std::nullopt;
    }
    return result;
}

std::optional<ticket> parse_ticket(std::string_view text, error& reason) {
    const std::optional<nlohmann::json> value = parse_json(text, max_ticket_bytes, reason);
    return value ? ticket_from_json(*value, reason) : std::nullopt;
}

bool check_ticket(const ticket& checked, const ticket_state& view, error& reason) {
    if (checked.number > view.highest_number() + max_number_step) {
        reason = error{error_code::out_of_range, "number", fmt::format("{}", checked.number),
                       fmt::format("at most {}; the next free number is {}",
                                   view.highest_number() + max_number_step, view.highest_number() + 1)};
        return false;
    }
    // A ticket without any effect is a mistake of the submitter.
    ticket_number superseding = 0;
    bool effective = false;
    for (const std::pair<const std::string, ticket_subject>& subject : checked.subjects) {
        const std::optional<ticket_number> higher = view.superseded_by(checked.number, subject.first);
        superseding = std::max(superseding, higher.value_or(0));
        effective = effective || !higher;
    }
    if (!effective) {
        reason = error{error_code::superseded, "number", fmt::format("{}", checked.number),
                       fmt::format("more than {}, the ticket in effect", superseding)};
        return false;
    }
    // Groups in effect once this ticket is.
    std::map<std::string, const group_subject*> groups;
    for (const std::string& name : view.group_names()) {
        groups.emplace(fmt::format("{}{}", group_prefix, name), view.group(name));
    }
    for (const std::pair<const std::string, ticket_subject>& subject : checked.subjects) {
        groups.erase(subject.first);
    }
    return check_addresses(checked, groups, reason) && check_instance_changes(checked, view, reason);
}

std::vector<std::string> ticket_warnings(const ticket& checked, const ticket_state& view) {
    std::vector<std::string> warnings;
    for (const std::pair<const std::string, ticket_subject>& subject : checked.subjects) {
        const std::optional<ticket_number> higher = view.superseded_by(checked.number, subject.first);
        if (higher) {
            warnings.push_back(fmt::format("{} keeps the state of ticket {}", subject.first, *higher));
        }
        const group_subject* group = std::get_if<group_subject>(&subject.second);
        if (group != nullptr) {
            warn_about_group(subject.first, *group, checked, view, warnings);
        }
    }
    return warnings;
}

} // namespace gentianhill
