#include "gentianhill/relay/relay_messages.h"

#include "gentianhill/core/object_reader.h"
#include "gentianhill/relay/relay_port.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 5> kind_names{"state", "evidence", "quota-tokens", "quota-shares",
                                                     "quota-holdings"};
constexpr std::array<store_collection, 4> all_collections{
    store_collection::instances, store_collection::configuration, store_collection::duties,
    store_collection::proxies};
constexpr std::size_t max_name_length = 256;
/// Objects or changes of one collection in one answer.
constexpr std::size_t max_objects = 100'000;
/// Read points and members in one answer.
constexpr std::size_t max_points = 16;
constexpr std::size_t max_members = 64;
constexpr std::size_t digest_length = 32;
constexpr std::int64_t max_content_bytes = 64LL << 20U;
constexpr std::int64_t max_revision = std::numeric_limits<std::int64_t>::max();
/// Longest duration in a message; a longer age is sent as this one.
constexpr duration max_duration = std::chrono::hours(24);

std::int64_t clamp(duration length) {
    return std::clamp(length, duration(0), max_duration).count();
}

duration read_duration(object_reader& reader, std::string_view name) {
    return duration(reader.integer(name, 0, max_duration.count()));
}

std::uint64_t read_revision(object_reader& reader, std::string_view name) {
    return static_cast<std::uint64_t>(reader.integer(name, 0, max_revision));
}

nlohmann::json versions_to_json(const std::map<store_collection, store_version>& versions) {
    nlohmann::json value = nlohmann::json::object();
    for (const std::map<store_collection, store_version>::value_type& entry : versions) {
        value[std::string(to_string(entry.first))] = {{"era", entry.second.era},
                                                      {"revision", entry.second.revision}};
    }
    return value;
}

/// The era has no default: a daemon that does not state it can't tell states before and after a restore
/// apart.
store_version read_version(object_reader& reader) {
    return {read_revision(reader, "era"), read_revision(reader, "revision")};
}

std::map<store_collection, store_version> read_versions(object_reader& reader, std::string_view name,
                                                        error& reason) {
    std::map<store_collection, store_version> versions;
    const nlohmann::json& members = reader.object(name);
    for (const store_collection collection : all_collections) {
        const std::string member(to_string(collection));
        if (reader.ok() && members.contains(member)) {
            object_reader version(members.at(member), reader.path_of(name) + "." + member, reason);
            versions.emplace(collection, read_version(version));
        }
    }
    return versions;
}

nlohmann::json object_to_json(const stored_object& object, const content_reference* reference) {
    nlohmann::json value{{"name", object.name}, {"revision", object.revision}};
    if (reference != nullptr) {
        value["content_digest"] = to_string(reference->digest);
        value["content_bytes"] = reference->bytes;
    } else {
        value["content"] = object.content;
    }
    return value;
}

stored_object read_object(object_reader& reader) {
    stored_object object;
    object.name = reader.text("name", max_name_length);
    object.revision = read_revision(reader, "revision");
    object.content = reader.any("content");
    return object;
}

/// Reference to the content of an object; nothing when the message holds the content.
std::optional<content_reference> read_reference(object_reader& reader) {
    const std::optional<std::string> text = reader.optional_text("content_digest", digest_length);
    if (!text) {
        return std::nullopt;
    }
    const std::optional<content_digest> digest = read_digest(*text);
    if (!digest) {
        reader.fail(error_code::bad_value, "content_digest", *text, "32 hexadecimal digits");
        return std::nullopt;
    }
    return content_reference{*digest,
                             static_cast<std::size_t>(reader.integer("content_bytes", 0, max_content_bytes))};
}

const content_reference* find_reference(const collection_update& update, const std::string& name) {
    const auto found = update.references.find(name);
    return found == update.references.end() ? nullptr : &found->second;
}

nlohmann::json update_to_json(const collection_update& update) {
    nlohmann::json value{{"era", update.version.era}, {"revision", update.version.revision}};
    if (!update.from) {
        nlohmann::json objects = nlohmann::json::array();
        for (const stored_object& object : update.objects) {
            objects.push_back(object_to_json(object, find_reference(update, object.name)));
        }
        value["objects"] = std::move(objects);
        return value;
    }
    value["from"] = *update.from;
    nlohmann::json events = nlohmann::json::array();
    for (const store_event& event : update.events) {
        nlohmann::json entry = object_to_json(event.object, find_reference(update, event.object.name));
        if (event.deleted) {
            entry["deleted"] = true;
        }
        events.push_back(std::move(entry));
    }
    value["events"] = std::move(events);
    return value;
}

std::optional<collection_update> read_update(const nlohmann::json& value, const std::string& path,
                                             error& reason) {
    object_reader reader(value, path, reason);
    collection_update update;
    update.version = read_version(reader);
    const std::optional<std::int64_t> from = reader.optional_integer("from", 0, max_revision);
    const std::string_view list_name = from ? "events" : "objects";
    const nlohmann::json& list = reader.array(list_name);
    if (list.size() > max_objects) {
        reader.fail(error_code::out_of_range, list_name, std::to_string(list.size()),
                    "at most " + std::to_string(max_objects));
    }
    for (std::size_t index = 0; index < list.size() && reader.ok(); ++index) {
        object_reader entry(list[index], reader.path_of(list_name) + "[" + std::to_string(index) + "]",
                            reason);
        stored_object object = read_object(entry);
        object.era = update.version.era;
        if (const std::optional<content_reference> reference = read_reference(entry)) {
            update.references.insert_or_assign(object.name, *reference);
        }
        if (from) {
            update.events.push_back({std::move(object), entry.boolean("deleted", false)});
        } else {
            update.objects.push_back(std::move(object));
        }
    }
    if (!reader.ok()) {
        return std::nullopt;
    }
    if (from) {
        update.from = static_cast<std::uint64_t>(*from);
    }
    return update;
}

} // namespace

std::string_view to_string(relay_request_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

nlohmann::json state_request::to_json() const {
    nlohmann::json value{{"daemon", daemon},
                         {"versions", versions_to_json(versions)},
                         {"wait_us", clamp(wait)},
                         {"with_content", with_content}};
    if (configuration_version) {
        value["configuration_version"] = *configuration_version;
    }
    if (takes_references) {
        value["takes_references"] = true;
    }
    return value;
}

std::optional<state_request> state_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    state_request request;
    request.daemon = reader.text("daemon", max_name_length);
    request.versions = read_versions(reader, "versions", reason);
    request.wait = read_duration(reader, "wait_us");
    request.with_content = reader.boolean("with_content", true);
    const std::optional<std::int64_t> configuration =
        reader.optional_integer("configuration_version", 0, max_revision);
    if (configuration) {
        request.configuration_version = static_cast<std::uint64_t>(*configuration);
    }
    request.takes_references = reader.boolean("takes_references", false);
    return reader.ok() ? std::optional(std::move(request)) : std::nullopt;
}

nlohmann::json state_answer::to_json() const {
    nlohmann::json value{{"daemon", daemon},
                         {"store_reachable", store_reachable},
                         {"age_us", clamp(age)},
                         {"has_news", has_news},
                         {"is_behind", is_behind}};
    if (configuration_age) {
        value["configuration_age_us"] = clamp(*configuration_age);
    }
    if (instances_age) {
        value["instances_age_us"] = clamp(*instances_age);
    }
    nlohmann::json collections = nlohmann::json::object();
    for (const std::map<store_collection, collection_update>::value_type& entry : updates) {
        collections[std::string(to_string(entry.first))] = update_to_json(entry.second);
    }
    if (!collections.empty()) {
        value["updates"] = std::move(collections);
    }
    if (configuration) {
        value["configuration"] =
            object_to_json(*configuration, configuration_reference ? &*configuration_reference : nullptr);
    }
    return value;
}

std::optional<state_answer> state_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    state_answer answer;
    answer.daemon = reader.text("daemon", max_name_length);
    answer.store_reachable = reader.boolean("store_reachable", false);
    answer.age = read_duration(reader, "age_us");
    answer.has_news = reader.boolean("has_news", false);
    const std::optional<std::int64_t> configuration_age =
        reader.optional_integer("configuration_age_us", 0, max_duration.count());
    if (configuration_age) {
        answer.configuration_age = duration(*configuration_age);
    }
    const std::optional<std::int64_t> instances_age =
        reader.optional_integer("instances_age_us", 0, max_duration.count());
    if (instances_age) {
        answer.instances_age = duration(*instances_age);
    }
    answer.is_behind = reader.boolean("is_behind", false);
    const nlohmann::json& updates = reader.any("updates");
    for (const store_collection collection : all_collections) {
        const std::string name(to_string(collection));
        if (!reader.ok() || !updates.is_object() || !updates.contains(name)) {
            continue;
        }
        std::optional<collection_update> update = read_update(updates.at(name), "updates." + name, reason);
        if (update) {
            answer.updates.emplace(collection, std::move(*update));
        }
    }
    const nlohmann::json& configuration = reader.any("configuration");
    if (reader.ok() && !configuration.is_null()) {
        object_reader object(configuration, "configuration", reason);
        answer.configuration = read_object(object);
        answer.configuration_reference = read_reference(object);
    }
    return reader.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

nlohmann::json evidence_request::to_json() const {
    nlohmann::json value{{"daemon", daemon}, {"group", group}, {"trust", need.trust}};
    if (need.max_point_age) {
        value["max_point_age_us"] = clamp(*need.max_point_age);
    }
    return value;
}

std::optional<evidence_request> evidence_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    evidence_request request;
    request.daemon = reader.text("daemon", max_name_length);
    request.group = reader.text("group", max_name_length);
    request.need.trust = reader.boolean("trust", false);
    const std::optional<std::int64_t> age =
        reader.optional_integer("max_point_age_us", 0, max_duration.count());
    if (age) {
        request.need.max_point_age = duration(*age);
    }
    return reader.ok() ? std::optional(std::move(request)) : std::nullopt;
}

nlohmann::json evidence_answer::to_json() const {
    nlohmann::json value{{"daemon", daemon},
                         {"term", term},
                         {"trust_left_us", std::clamp(trust_left, -max_duration, max_duration).count()}};
    if (!primary.empty()) {
        value["primary"] = primary;
    }
    nlohmann::json listed = nlohmann::json::array();
    for (const aged_position& point : points) {
        listed.push_back({{"term", point.position.term},
                          {"position", point.position.position},
                          {"age_us", clamp(point.age)}});
    }
    value["points"] = std::move(listed);
    value["settled_members"] = settled_members;
    if (settled_era > 0) {
        value["settled_era"] = settled_era;
    }
    return value;
}

std::optional<evidence_answer> evidence_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    evidence_answer answer;
    answer.daemon = reader.text("daemon", max_name_length);
    answer.primary = reader.optional_text("primary", max_name_length).value_or("");
    answer.term = read_revision(reader, "term");
    answer.trust_left =
        duration(reader.integer("trust_left_us", -max_duration.count(), max_duration.count()));
    answer.settled_era =
        static_cast<std::uint64_t>(reader.optional_integer("settled_era", 0, max_revision).value_or(0));
    const nlohmann::json& points = reader.array("points");
    const nlohmann::json& members = reader.array("settled_members");
    if (points.size() > max_points || members.size() > max_members) {
        reader.fail(error_code::out_of_range, "points", std::to_string(points.size()),
                    fmt::format("at most {} points and {} members", max_points, max_members));
    }
    for (std::size_t index = 0; index < points.size() && reader.ok(); ++index) {
        object_reader point(points[index], fmt::format("points[{}]", index), reason);
        aged_position read;
        read.position.term = read_revision(point, "term");
        read.position.position = read_revision(point, "position");
        read.age = read_duration(point, "age_us");
        answer.points.push_back(read);
    }
    for (std::size_t index = 0; index < members.size() && reader.ok(); ++index) {
        if (!members[index].is_string()) {
            reader.fail(error_code::bad_type, "settled_members", members[index].type_name(), "strings");
            break;
        }
        answer.settled_members.push_back(members[index].get<std::string>());
    }
    return reader.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace gentianhill
