#include "gentianhill/proxy/member_record.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianhill {

namespace {

std::optional<std::vector<std::string>> parse_members(const std::optional<stored_object>& object) {
    if (!object || !object->content.is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> members;
    for (const nlohmann::json& id : object->content) {
        if (!id.is_string()) {
            return std::nullopt;
        }
        members.push_back(id.get<std::string>());
    }
    return members;
}

} // namespace

member_record::member_record(metadata_store& store, const collection_replica& replica, logger& log,
                             std::string group)
    : store_(store),
      replica_(replica),
      log_(log),
      group_(std::move(group)),
      object_name_("members-" + group_) {}

void member_record::read(const members_handler& done) {
    store_.get(store_collection::duties, object_name_, [done](const store_answer& answer) {
        done(answer.outcome == store_outcome::done ? parse_members(answer.object) : std::nullopt);
    });
}

std::optional<stored_object> member_record::recorded() const {
    const auto found = replica_.objects().find(object_name_);
    return found == replica_.objects().end() ? std::nullopt : std::optional(found->second);
}

void member_record::add(const std::vector<std::string>& members) {
    add_to(recorded(), members);
}

void member_record::add_to(const std::optional<stored_object>& object,
                           const std::vector<std::string>& members) {
    const std::optional<std::vector<std::string>> known = parse_members(object);
    if (!known) {
        return;
    }
    std::set<std::string> all(known->begin(), known->end());
    all.insert(members.begin(), members.end());
    if (all.size() > known->size()) {
        // The record that caused a conflict may still lack these members.
        write({all.begin(), all.end()}, object->revision,
              [this, members](const std::optional<stored_object>& stored) { add_to(stored, members); });
    }
}

void member_record::replace(const std::vector<std::string>& members) {
    const std::optional<stored_object> object = recorded();
    if (parse_members(object) != members) {
        write(members, object ? object->revision : 0, nullptr);
    }
}

void member_record::write(const std::vector<std::string>& members, std::uint64_t revision,
                          const std::function<void(const std::optional<stored_object>&)>& on_conflict) {
    stored_object object;
    object.name = object_name_;
    object.revision = revision;
    object.content = members;
    store_.put(store_collection::duties, object,
               [this, count = members.size(), on_conflict](const store_answer& answer) {
                   log_.write(
                       log_level::info, "failover", "members_recorded",
                       {{"group", group_}, {"members", count}, {"outcome", to_string(answer.outcome)}});
                   if (answer.outcome == store_outcome::conflict && on_conflict) {
                       on_conflict(answer.object);
                   }
               });
}

} // namespace gentianhill
