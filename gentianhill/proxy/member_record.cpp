#include "gentianhill/proxy/member_record.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianhill {

namespace {

std::optional<std::vector<std::string>> parse_members(const store_answer& answer) {
    if (answer.outcome != store_outcome::done || !answer.object || !answer.object->content.is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> members;
    for (const nlohmann::json& id : answer.object->content) {
        if (!id.is_string()) {
            return std::nullopt;
        }
        members.push_back(id.get<std::string>());
    }
    return members;
}

} // namespace

member_record::member_record(metadata_store& store, logger& log, std::string group)
    : store_(store), log_(log), group_(std::move(group)), object_name_("members-" + group_) {}

void member_record::read(const members_handler& done) {
    store_.get(store_collection::duties, object_name_,
               [done](const store_answer& answer) { done(parse_members(answer)); });
}

void member_record::add(const std::vector<std::string>& members) {
    store_.get(store_collection::duties, object_name_, [this, members](const store_answer& answer) {
        const std::optional<std::vector<std::string>> recorded = parse_members(answer);
        if (!recorded) {
            return;
        }
        std::set<std::string> all(recorded->begin(), recorded->end());
        all.insert(members.begin(), members.end());
        if (all.size() > recorded->size()) {
            // On a write conflict the record may still lack these members, so add them again.
            write({all.begin(), all.end()}, answer.object->revision, [this, members] { add(members); });
        }
    });
}

void member_record::replace(const std::vector<std::string>& members) {
    store_.get(store_collection::duties, object_name_, [this, members](const store_answer& answer) {
        const bool missing = answer.outcome == store_outcome::not_found;
        // Nothing to do when another daemon has already recorded the same members.
        if ((answer.outcome != store_outcome::done && !missing) || parse_members(answer) == members) {
            return;
        }
        write(members, answer.object ? answer.object->revision : 0, nullptr);
    });
}

void member_record::write(const std::vector<std::string>& members, std::uint64_t revision,
                          const std::function<void()>& on_conflict) {
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
                       on_conflict();
                   }
               });
}

} // namespace gentianhill
