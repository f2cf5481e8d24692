#include "gentianhill/caller/caller_message.h"

#include "gentianhill/core/object_reader.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_token_bytes = 1024;
constexpr std::int64_t max_age_limit_ms = 86'400'000;
constexpr const char* default_team = "default";

using consistency_name = std::pair<read_consistency, std::string_view>;
using status_name = std::pair<request_status, std::string_view>;

constexpr std::array consistency_names{
    consistency_name{read_consistency::session, "session"},
    consistency_name{read_consistency::latest, "latest"},
};

constexpr std::array status_names{
    status_name{request_status::done, "done"},
    status_name{request_status::not_run, "not_run"},
    status_name{request_status::outcome_unknown, "outcome_unknown"},
};

duration read_deadline(object_reader& reader, const caller_limits& limits) {
    const std::int64_t max_deadline_ms = to_milliseconds(limits.max_deadline);
    const std::optional<std::int64_t> requested_ms =
        reader.optional_integer("deadline_ms", 1, max_deadline_ms);
    return requested_ms ? duration{std::chrono::milliseconds{*requested_ms}} : limits.default_deadline;
}

/// Reads `key` and `issued_at`. A request with a key must also state when the key was issued.
std::optional<std::string> read_key(object_reader& reader, std::int64_t& issued_at) {
    std::optional<std::string> key = reader.optional_text("key", max_key_bytes);
    const std::optional<std::int64_t> issued = reader.optional_integer("issued_at", 1, INT64_MAX);
    issued_at = issued.value_or(0);
    if (key && !issued) {
        reader.fail(error_code::missing_field, "issued_at", "",
                    "seconds since the Unix epoch at which the key was issued");
    }
    return key;
}

read_consistency parse_consistency(object_reader& reader) {
    const std::string name = reader.optional_text("consistency", max_name_bytes).value_or("session");
    for (const consistency_name& entry : consistency_names) {
        if (entry.second == name) {
            return entry.first;
        }
    }
    reader.fail(error_code::bad_value, "consistency", name, "session or latest");
    return read_consistency::session;
}

void read_params(object_reader& reader, const caller_limits& limits, statement_request& request) {
    const nlohmann::json& params = reader.any("params");
    if (params.is_null()) {
        return;
    }
    if (!params.is_array()) {
        reader.fail(error_code::bad_type, "params", std::string{params.type_name()}, "an array");
        return;
    }
    if (params.size() > limits.max_params) {
        reader.fail(error_code::too_large, "params", std::to_string(params.size()) + " values",
                    "at most " + std::to_string(limits.max_params) + " values");
        return;
    }
    for (const nlohmann::json& value : params) {
        if (value.is_structured()) {
            reader.fail(error_code::bad_type, "params", std::string{value.type_name()},
                        "null, booleans, numbers and strings");
            return;
        }
    }
    request.params = params;
}

} // namespace

std::string_view to_string(read_consistency consistency) {
    for (const consistency_name& entry : consistency_names) {
        if (entry.first == consistency) {
            return entry.second;
        }
    }
    return "unknown";
}

std::string_view to_string(request_status status) {
    for (const status_name& entry : status_names) {
        if (entry.first == status) {
            return entry.second;
        }
    }
    return "unknown";
}

nlohmann::json caller_answer::to_json() const {
    nlohmann::json body{{"status", std::string{to_string(status)}}};
    if (status == request_status::done) {
        body["columns"] = columns;
        body["rows"] = rows;
        body["changes"] = changes;
    }
    if (!token.empty()) {
        body["token"] = token;
    }
    if (age) {
        body["age_ms"] = to_milliseconds(*age);
    }
    if (!served_by.empty()) {
        body["served_by"] = served_by;
    }
    if (!transaction.empty()) {
        body["transaction"] = transaction;
    }
    if (repeated) {
        body["repeated"] = true;
    }
    if (reason.failed()) {
        body["error"] = gentianhill::to_json(reason);
    }
    return body;
}

int caller_answer::http_status() const {
    constexpr int ok = 200;
    constexpr int bad_request = 400;
    constexpr int conflict = 409;
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    if (status == request_status::done) {
        return ok;
    }
    if (status == request_status::outcome_unknown) {
        return gateway_timeout;
    }
    switch (reason.code) {
    case error_code::bad_json:
    case error_code::missing_field:
    case error_code::unknown_field:
    case error_code::bad_type:
    case error_code::out_of_range:
    case error_code::bad_value:
    case error_code::too_large:
    case error_code::bad_signature:
    case error_code::unknown_group:
    case error_code::unknown_team:
    case error_code::unknown_path:
    case error_code::statement_failed:
    case error_code::token_foreign_group:
    case error_code::token_ahead_of_history:
        return bad_request;
    case error_code::duplicate_key:
    case error_code::key_reused:
    case error_code::key_expired:
    case error_code::key_cancelled:
    case error_code::transaction_unknown:
    case error_code::transaction_closed:
        return conflict;
    case error_code::queue_full:
    case error_code::deadline_exceeded:
    case error_code::retry_budget_spent:
        return too_many_requests;
    default:
        return unavailable;
    }
}

caller_answer caller_answer::refused(error reason) {
    caller_answer answer;
    answer.status = request_status::not_run;
    answer.reason = std::move(reason);
    return answer;
}

caller_answer caller_answer::unknown_outcome(error reason) {
    caller_answer answer;
    answer.status = request_status::outcome_unknown;
    answer.reason = std::move(reason);
    return answer;
}

std::optional<statement_request> parse_statement_request(const nlohmann::json& body,
                                                         const caller_limits& limits, error& reason) {
    object_reader reader{body, "", reason};
    statement_request request;
    request.group = reader.text("group", max_name_bytes);
    request.team = reader.optional_text("team", max_name_bytes).value_or(default_team);
    request.sql = reader.text("sql", limits.max_sql_bytes);
    read_params(reader, limits, request);
    request.read_only = reader.boolean("read_only", false);
    request.deadline = read_deadline(reader, limits);
    request.token = reader.optional_text("token", max_token_bytes);
    request.key = read_key(reader, request.issued_at);
    const std::optional<std::int64_t> max_age = reader.optional_integer("max_age_ms", 0, max_age_limit_ms);
    if (max_age) {
        request.max_age = duration{std::chrono::milliseconds{*max_age}};
    }
    request.consistency = parse_consistency(reader);
    request.transaction = reader.optional_text("transaction", max_name_bytes);
    if (request.key && request.read_only) {
        reader.fail(error_code::bad_value, "key", *request.key, "no key on a read-only statement");
    }
    if (!reader.finish()) {
        return std::nullopt;
    }
    return request;
}

std::optional<outcome_request> parse_outcome_request(const nlohmann::json& body, const caller_limits& limits,
                                                     error& reason) {
    object_reader reader{body, "", reason};
    outcome_request request;
    request.group = reader.text("group", max_name_bytes);
    request.team = reader.optional_text("team", max_name_bytes).value_or(default_team);
    request.key = reader.text("key", max_key_bytes);
    request.deadline = read_deadline(reader, limits);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return request;
}

std::optional<transaction_request> parse_transaction_request(const nlohmann::json& body,
                                                             transaction_operation operation,
                                                             const caller_limits& limits, error& reason) {
    object_reader reader{body, "", reason};
    transaction_request request;
    request.deadline = read_deadline(reader, limits);
    if (operation == transaction_operation::begin) {
        request.group = reader.text("group", max_name_bytes);
        request.team = reader.optional_text("team", max_name_bytes).value_or(default_team);
    } else {
        request.transaction = reader.text("transaction", max_name_bytes);
    }
    if (operation == transaction_operation::commit) {
        request.key = read_key(reader, request.issued_at);
    }
    request.token = reader.optional_text("token", max_token_bytes);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return request;
}

} // namespace gentianhill
