#include "gentianhill/tickets/ticket.h"

#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

nlohmann::json to_json(const group_subject& group) {
    nlohmann::json instances = nlohmann::json::array();
    for (const ticket_instance& instance : group.instances) {
        instances.push_back(nlohmann::json{{"name", instance.name},
                                           {"zone", instance.zone},
                                           {"address", instance.address.to_string()},
                                           {"connections", instance.connections},
                                           {"slots", instance.slots}});
    }
    return nlohmann::json{{"teams", group.teams}, {"instances", std::move(instances)}};
}

nlohmann::json to_json(const team_subject& team) {
    nlohmann::json result{{"weight", team.weight}};
    if (team.max_age_ms) {
        result["max_age_ms"] = *team.max_age_ms;
    }
    return result;
}

nlohmann::json to_json(const policy_subject& policy) {
    const std::initializer_list<std::pair<const char*, const std::optional<std::int64_t>&>> members{
        {"confirm_stall_limit_ms", policy.confirm_stall_limit_ms},
        {"default_deadline_ms", policy.default_deadline_ms},
        {"max_deadline_ms", policy.max_deadline_ms},
        {"probe_interval_ms", policy.probe_interval_ms},
        {"suspect_after_ms", policy.suspect_after_ms},
        {"queue_capacity", policy.queue_capacity},
        {"retry_budget_percent", policy.retry_budget_percent},
        {"entry_hosts", policy.entry_hosts},
    };
    nlohmann::json result = nlohmann::json::object();
    for (const std::pair<const char*, const std::optional<std::int64_t>&>& member : members) {
        if (member.second) {
            result[member.first] = *member.second;
        }
    }
    return result;
}

nlohmann::json to_json(const std::monostate& /*removed*/) {
    return nullptr;
}

} // namespace

const ticket_instance* group_subject::find(std::string_view name) const {
    for (const ticket_instance& instance : instances) {
        if (instance.name == name) {
            return &instance;
        }
    }
    return nullptr;
}

nlohmann::json to_json(const ticket_subject& subject) {
    return std::visit([](const auto& state) { return to_json(state); }, subject);
}

nlohmann::json ticket::to_json() const {
    nlohmann::json members = nlohmann::json::object();
    for (const std::pair<const std::string, ticket_subject>& subject : subjects) {
        members[subject.first] = gentianhill::to_json(subject.second);
    }
    return nlohmann::json{{"number", number}, {"author", author}, {"subjects", std::move(members)}};
}

} // namespace gentianhill
