#include "standins/database/database_requests.h"

#include "gentianhill/core/object_reader.h"

#include <utility>

namespace gentianhill::standins {

namespace {

constexpr std::size_t max_body_bytes = 1U << 20U;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_members = 64;

/// Reader of a call that has already accounted for the fields of the envelope.
object_reader reader_of(const request_envelope& envelope, error& reason) {
    object_reader reader{envelope.body, "", reason};
    static_cast<void>(reader.any("request_id"));
    static_cast<void>(reader.any("source"));
    return reader;
}

term_number term_of(object_reader& reader) {
    return static_cast<term_number>(reader.integer("term", 0, INT64_MAX));
}

std::uint64_t optional_number(object_reader& reader, std::string_view name, std::uint64_t fallback) {
    const std::optional<std::int64_t> found = reader.optional_integer(name, 0, INT64_MAX);
    return found ? static_cast<std::uint64_t>(*found) : fallback;
}

duration wait_of(object_reader& reader) {
    const std::optional<std::int64_t> found =
        reader.optional_integer("wait_ms", 0, to_milliseconds(max_wait));
    return std::chrono::milliseconds{found.value_or(0)};
}

} // namespace

std::optional<request_envelope> read_envelope(std::string_view text, error& reason) {
    std::optional<nlohmann::json> body = parse_json(text, max_body_bytes, reason);
    if (!body) {
        return std::nullopt;
    }
    request_envelope envelope;
    object_reader reader{*body, "", reason};
    envelope.request_id = reader.any("request_id");
    const bool valid_id = envelope.request_id.is_number_integer() ||
                          (envelope.request_id.is_string() &&
                           envelope.request_id.get_ref<const std::string&>().size() <= max_name_bytes);
    if (!valid_id) {
        const bool absent = envelope.request_id.is_null();
        reader.fail(absent ? error_code::missing_field : error_code::bad_type, "request_id",
                    envelope.request_id.type_name(), "a string of at most 128 bytes or an integer");
    }
    envelope.source = reader.text("source", max_name_bytes);
    if (!reader.ok()) {
        return std::nullopt;
    }
    envelope.body = std::move(*body);
    return envelope;
}

std::optional<status_request> read_status(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    status_request request;
    request.after_term = optional_number(reader, "after_term", 0);
    request.after.term = optional_number(reader, "after_log_term", request.after_term);
    request.after.position = optional_number(reader, "after_position", 0);
    request.wait = wait_of(reader);
    return reader.finish() ? std::optional{request} : std::nullopt;
}

std::optional<execute_request> read_execute(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    execute_request request;
    request.term = term_of(reader);
    request.read_only = reader.boolean("read_only", false);
    request.in_transaction = reader.boolean("transaction", false);
    const nlohmann::json& statements = reader.array("statements");
    if (!reader.finish()) {
        return std::nullopt;
    }
    std::optional<std::vector<sql_statement>> read = read_statements(statements, "statements", reason);
    if (!read) {
        return std::nullopt;
    }
    request.statements = std::move(*read);
    return request;
}

std::optional<term_number> read_term(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    const term_number term = term_of(reader);
    return reader.finish() ? std::optional{term} : std::nullopt;
}

std::optional<promote_request> read_promote(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    promote_request request;
    request.term = term_of(reader);
    const nlohmann::json& members = reader.array("members");
    if (members.size() > max_members) {
        reader.fail(error_code::out_of_range, "members", "", "at most 64 names");
    }
    for (const nlohmann::json& member : members) {
        if (!member.is_string()) {
            reader.fail(error_code::bad_type, "members", member.type_name(), "an array of names");
            break;
        }
        request.members.push_back(member.get<std::string>());
    }
    return reader.finish() ? std::optional{std::move(request)} : std::nullopt;
}

std::optional<follow_request> read_follow(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    follow_request request;
    request.term = term_of(reader);
    request.primary = reader.text("primary", max_name_bytes);
    request.admit = reader.boolean("admit", false);
    request.state_id = reader.optional_text("state_id", max_name_bytes).value_or(std::string{});
    const std::optional<std::string> address = reader.optional_text("primary_address", max_name_bytes);
    if (!reader.finish()) {
        return std::nullopt;
    }
    if (address) {
        request.primary_address = endpoint::parse(*address, "primary_address", reason);
        if (!request.primary_address) {
            return std::nullopt;
        }
    }
    return request;
}

std::optional<replicate_request> read_replicate(const request_envelope& envelope, error& reason) {
    object_reader reader = reader_of(envelope, reason);
    replicate_request request;
    request.term = term_of(reader);
    request.after.term = optional_number(reader, "log_term", 0);
    request.after.position = optional_number(reader, "position", 0);
    request.wait = wait_of(reader);
    return reader.finish() ? std::optional{request} : std::nullopt;
}

} // namespace gentianhill::standins
