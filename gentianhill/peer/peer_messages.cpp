#include "gentianhill/peer/peer_messages.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace gentianhill {

namespace {

using path_entry = std::pair<peer_message_kind, std::string_view>;

constexpr std::array message_paths{
    path_entry{peer_message_kind::heartbeat, "/peer/v1/heartbeat"},
    path_entry{peer_message_kind::group_view, "/peer/v1/group_view"},
    path_entry{peer_message_kind::opinion, "/peer/v1/opinion"},
    path_entry{peer_message_kind::tickets_pull, "/peer/v1/tickets"},
    path_entry{peer_message_kind::tickets_push, "/peer/v1/tickets_push"},
    path_entry{peer_message_kind::timeline, "/peer/v1/timeline"},
};

constexpr std::size_t max_items = 10'000;
constexpr std::size_t max_name_bytes = 256;
constexpr std::int64_t max_age_ms = std::int64_t{1} << 40;

/// Reads an array of objects.
std::vector<nlohmann::json> read_objects(object_reader& reader, std::string_view name) {
    const nlohmann::json& items = reader.array(name);
    if (items.size() > max_items) {
        reader.fail(error_code::out_of_range, name, fmt::format("{} items", items.size()),
                    fmt::format("at most {} items", max_items));
        return {};
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!items[i].is_object()) {
            reader.fail(error_code::bad_type, fmt::format("{}[{}]", name, i), items[i].type_name(),
                        "an object");
            return {};
        }
    }
    return {items.begin(), items.end()};
}

std::uint64_t read_number(object_reader& reader, std::string_view name) {
    return static_cast<std::uint64_t>(reader.integer(name, 0, INT64_MAX));
}

template <typename message>
std::optional<message> checked(object_reader& reader, message& value) {
    return reader.finish() ? std::optional<message>{std::move(value)} : std::nullopt;
}

} // namespace

std::string_view path_of(peer_message_kind kind) {
    for (const path_entry& entry : message_paths) {
        if (entry.first == kind) {
            return entry.second;
        }
    }
    return "/peer/v1/unknown";
}

std::optional<peer_message_kind> peer_message_kind_from_path(std::string_view path) {
    for (const path_entry& entry : message_paths) {
        if (entry.second == path) {
            return entry.first;
        }
    }
    return std::nullopt;
}

nlohmann::json peer_heartbeat::to_json() const {
    nlohmann::json value = nlohmann::json::object();
    if (!summary.is_null()) {
        value["summary"] = summary;
    }
    if (wants_summary) {
        value["wants_summary"] = true;
    }
    return value;
}

std::optional<peer_heartbeat> peer_heartbeat::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    peer_heartbeat heartbeat;
    heartbeat.summary = reader.any("summary");
    heartbeat.wants_summary = reader.boolean("wants_summary", false);
    return checked(reader, heartbeat);
}

nlohmann::json group_view_push::to_json() const {
    return nlohmann::json{{"views", views}};
}

std::optional<group_view_push> group_view_push::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    group_view_push push;
    push.views = read_objects(reader, "views");
    return checked(reader, push);
}

nlohmann::json opinion_request::to_json() const {
    return nlohmann::json{{"group", group}, {"primary", primary}, {"term", term}};
}

std::optional<opinion_request> opinion_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    opinion_request request;
    request.group = reader.text("group", max_name_bytes);
    request.primary = reader.text("primary", max_name_bytes);
    request.term = read_number(reader, "term");
    return checked(reader, request);
}

nlohmann::json opinion_answer::to_json() const {
    nlohmann::json value{{"saw_commit_recently", saw_commit_recently}};
    if (age) {
        value["age_ms"] = to_milliseconds(*age);
    }
    return value;
}

std::optional<opinion_answer> opinion_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "answer", reason};
    opinion_answer answer;
    answer.saw_commit_recently = reader.boolean("saw_commit_recently", false);
    const std::optional<std::int64_t> age_ms = reader.optional_integer("age_ms", 0, max_age_ms);
    if (age_ms) {
        answer.age = std::chrono::milliseconds{*age_ms};
    }
    return checked(reader, answer);
}

nlohmann::json tickets_pull::to_json() const {
    return nlohmann::json{{"after", after}};
}

std::optional<tickets_pull> tickets_pull::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    tickets_pull pull;
    pull.after = read_number(reader, "after");
    return checked(reader, pull);
}

nlohmann::json ticket_batch::to_json() const {
    nlohmann::json value{{"tickets", tickets}};
    if (more) {
        value["more"] = true;
    }
    return value;
}

std::optional<ticket_batch> ticket_batch::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    ticket_batch batch;
    batch.tickets = read_objects(reader, "tickets");
    batch.more = reader.boolean("more", false);
    return checked(reader, batch);
}

nlohmann::json timeline_request::to_json() const {
    nlohmann::json value{{"limit", limit}};
    if (!after.empty()) {
        value["after"] = after;
    }
    return value;
}

std::optional<timeline_request> timeline_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "message", reason};
    timeline_request request;
    request.after = reader.optional_text("after", max_name_bytes).value_or("");
    request.limit = static_cast<std::uint64_t>(reader.integer("limit", 1, max_items));
    return checked(reader, request);
}

nlohmann::json timeline_answer::to_json() const {
    return nlohmann::json{{"events", events}};
}

std::optional<timeline_answer> timeline_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "answer", reason};
    timeline_answer answer;
    answer.events = read_objects(reader, "events");
    return checked(reader, answer);
}

} // namespace gentianhill
