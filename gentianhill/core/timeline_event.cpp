#include "gentianhill/core/timeline_event.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <system_error>

namespace gentianhill {

namespace {

using kind_name = std::pair<event_kind, std::string_view>;

constexpr std::array kind_names{
    kind_name{event_kind::suspected, "suspected"},
    kind_name{event_kind::opinion_asked, "opinion_asked"},
    kind_name{event_kind::opinion_given, "opinion_given"},
    kind_name{event_kind::attempt_started, "attempt_started"},
    kind_name{event_kind::attempt_held_off, "attempt_held_off"},
    kind_name{event_kind::attempt_ended, "attempt_ended"},
    kind_name{event_kind::fence_sent, "fence_sent"},
    kind_name{event_kind::fence_accepted, "fence_accepted"},
    kind_name{event_kind::fence_rejected, "fence_rejected"},
    kind_name{event_kind::promote_sent, "promote_sent"},
    kind_name{event_kind::promoted, "promoted"},
    kind_name{event_kind::follow_sent, "follow_sent"},
    kind_name{event_kind::follow_accepted, "follow_accepted"},
    kind_name{event_kind::primary_changed, "primary_changed"},
    kind_name{event_kind::first_confirmed_write, "first_confirmed_write"},
    kind_name{event_kind::claim_recorded, "claim_recorded"},
    kind_name{event_kind::claim_consumed, "claim_consumed"},
    kind_name{event_kind::request_rejected, "request_rejected"},
    kind_name{event_kind::outcome_unknown, "outcome_unknown"},
    kind_name{event_kind::outcome_resolved, "outcome_resolved"},
    kind_name{event_kind::retry_denied, "retry_denied"},
    kind_name{event_kind::ticket_submitted, "ticket_submitted"},
    kind_name{event_kind::ticket_accepted, "ticket_accepted"},
    kind_name{event_kind::ticket_rejected, "ticket_rejected"},
    kind_name{event_kind::ticket_applied, "ticket_applied"},
    kind_name{event_kind::host_live, "host_live"},
    kind_name{event_kind::host_leaving, "host_leaving"},
    kind_name{event_kind::host_gone, "host_gone"},
    kind_name{event_kind::drain_started, "drain_started"},
    kind_name{event_kind::drain_finished, "drain_finished"},
    kind_name{event_kind::daemon_started, "daemon_started"},
    kind_name{event_kind::daemon_paused, "daemon_paused"},
    kind_name{event_kind::instance_lost, "instance_lost"},
    kind_name{event_kind::instance_returned, "instance_returned"},
    kind_name{event_kind::instance_reinitialised, "instance_reinitialised"},
    kind_name{event_kind::platform_lost, "platform_lost"},
    kind_name{event_kind::platform_returned, "platform_returned"},
    kind_name{event_kind::peer_lost, "peer_lost"},
    kind_name{event_kind::peer_returned, "peer_returned"},
    kind_name{event_kind::answer_mismatched, "answer_mismatched"},
    kind_name{event_kind::fault, "fault"},
    kind_name{event_kind::other, "other"},
};

constexpr std::size_t max_name_bytes = 128;

template <typename number>
bool parse_whole(std::string_view text, number& result) {
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

void read_fields(const nlohmann::json& value, object_reader& reader, timeline_event& result) {
    if (!value.is_object()) {
        reader.fail(error_code::bad_type, "fields", value.dump().substr(0, max_name_bytes), "an object");
        return;
    }
    for (nlohmann::json::const_iterator member = value.begin(); member != value.end(); ++member) {
        if (!member->is_string()) {
            reader.fail(error_code::bad_type, "fields." + member.key(),
                        member->dump().substr(0, max_name_bytes), "a string");
            return;
        }
        result.fields.emplace_back(member.key(), member->get<std::string>());
    }
}

} // namespace

std::string_view to_string(event_kind kind) {
    for (const kind_name& entry : kind_names) {
        if (entry.first == kind) {
            return entry.second;
        }
    }
    return "fault";
}

std::optional<event_kind> event_kind_from(std::string_view name) {
    for (const kind_name& entry : kind_names) {
        if (entry.second == name) {
            return entry.first;
        }
    }
    return std::nullopt;
}

std::optional<event_id> event_id::parse(std::string_view text, std::string_view field, error& reason) {
    const std::size_t second = text.rfind('/');
    const std::size_t first = second == std::string_view::npos || second == 0 ? std::string_view::npos
                                                                              : text.rfind('/', second - 1);
    event_id result;
    if (first == std::string_view::npos || first == 0 || first > max_name_bytes ||
        !parse_whole(text.substr(first + 1, second - first - 1), result.incarnation) ||
        !parse_whole(text.substr(second + 1), result.sequence)) {
        reason = error{error_code::bad_value, std::string{field}, std::string{text.substr(0, max_name_bytes)},
                       "daemon/incarnation/sequence"};
        return std::nullopt;
    }
    result.daemon = std::string{text.substr(0, first)};
    return result;
}

std::string event_id::to_string() const {
    return fmt::format("{}/{}/{}", daemon, incarnation, sequence);
}

nlohmann::json timeline_event::to_json() const {
    nlohmann::json result{
        {"id", id.to_string()}, {"at", at.to_string()}, {"kind", std::string{gentianhill::to_string(kind)}}};
    if (!group.empty()) {
        result["group"] = group;
    }
    if (!request_id.empty()) {
        result["request_id"] = request_id;
    }
    if (cause) {
        result["cause"] = cause->to_string();
    }
    if (!fields.empty()) {
        nlohmann::json members = nlohmann::json::object();
        for (const std::pair<std::string, std::string>& member : fields) {
            members[member.first] = member.second;
        }
        result["fields"] = std::move(members);
    }
    return result;
}

std::optional<timeline_event> timeline_event::from_json(const nlohmann::json& value, const std::string& path,
                                                        error& reason) {
    reason = {};
    object_reader reader{value, path, reason};
    timeline_event result;
    const std::string id_text = reader.text("id");
    const std::string at_text = reader.text("at");
    const std::string kind_text = reader.text("kind");
    result.group = reader.optional_text("group").value_or("");
    result.request_id = reader.optional_text("request_id").value_or("");
    const std::optional<std::string> cause_text = reader.optional_text("cause");
    const nlohmann::json& members = reader.any("fields");
    if (!members.is_null()) {
        read_fields(members, reader, result);
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    // Texts with a form of their own.
    const std::optional<event_id> parsed_id = event_id::parse(id_text, reader.path_of("id"), reason);
    if (!parsed_id) {
        return std::nullopt;
    }
    const std::optional<hybrid_timestamp> parsed_at =
        hybrid_timestamp::parse(at_text, reader.path_of("at"), reason);
    if (!parsed_at) {
        return std::nullopt;
    }
    if (cause_text) {
        result.cause = event_id::parse(*cause_text, reader.path_of("cause"), reason);
        if (!result.cause) {
            return std::nullopt;
        }
    }
    result.id = *parsed_id;
    result.at = *parsed_at;
    // During a rolling upgrade other daemons may record kinds that this version does not know.
    result.kind = event_kind_from(kind_text).value_or(event_kind::other);
    if (result.kind == event_kind::other) {
        result.fields.emplace_back("kind", kind_text);
    }
    return result;
}

} // namespace gentianhill
