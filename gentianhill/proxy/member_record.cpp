#include "gentianhill/proxy/member_record.h"

#include <fmt/format.h>

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

member_record::member_record(metadata_store& store, const collection_replica& replica,
                             const duty_lease& lease, logger& log, std::string group)
    : store_(store), replica_(replica), lease_(lease), log_(log), group_(std::move(group)) {}

std::string member_record::object_name(std::uint64_t era) const {
    return era == 0 ? "members-" + group_ : fmt::format("era-{}-members-{}", era, group_);
}

void member_record::read(const members_handler& done) {
    const std::uint64_t era = lease_.era();
    store_.get(store_collection::duties, object_name(era), [era, done](const store_answer& answer) {
        const bool is_valid = answer.outcome == store_outcome::done && answer.era == era;
        done(is_valid ? parse_members(answer.object) : std::nullopt);
    });
}

std::optional<stored_object> member_record::recorded() const {
    const auto found = replica_.objects().find(object_name(lease_.era()));
    return found == replica_.objects().end() ? std::nullopt : std::optional(found->second);
}

void member_record::add(const std::vector<std::string>& members) {
    add_to(recorded(), lease_.era(), members);
}

void member_record::add_to(const std::optional<stored_object>& object, std::uint64_t era,
                           const std::vector<std::string>& members) {
    const std::optional<std::vector<std::string>> known = parse_members(object);
    if (!known) {
        return;
    }
    std::set<std::string> all(known->begin(), known->end());
    all.insert(members.begin(), members.end());
    if (all.size() > known->size()) {
        // The record that caused a conflict may still lack these members.
        write({all.begin(), all.end()}, era, object->revision,
              [this, era, members](const std::optional<stored_object>& stored) {
                  add_to(stored, era, members);
              });
    }
}

void member_record::replace(const std::vector<std::string>& members) {
    const std::optional<stored_object> object = recorded();
    if (parse_members(object) != members) {
        write(members, lease_.era(), object ? object->revision : 0, nullptr);
    }
}

void member_record::write(const std::vector<std::string>& members, std::uint64_t era, std::uint64_t revision,
                          const std::function<void(const std::optional<stored_object>&)>& on_conflict) {
    stored_object object;
    object.name = object_name(era);
    object.revision = revision;
    object.content = members;
    store_.put(store_collection::duties, object,
               [this, era, count = members.size(), on_conflict](const store_answer& answer) {
                   log_.write(log_level::info, "failover", "members_recorded",
                              {{"group", group_},
                               {"members", count},
                               {"era", era},
                               {"outcome", to_string(answer.outcome)}});
                   // After a restore the daemons record all members again.
                   if (answer.outcome == store_outcome::conflict && answer.era == era && on_conflict) {
                       on_conflict(answer.object);
                   }
               });
}

} // namespace gentianhill
