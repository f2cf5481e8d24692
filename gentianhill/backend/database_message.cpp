#include "gentianhill/backend/database_message.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_answer_bytes = 4U << 20U;
constexpr int http_ok = 200;
constexpr std::int64_t max_integer = INT64_MAX;

/// True for codes with which an instance cannot state that it did not run the request.
bool leaves_outcome_open(error_code code) {
    switch (code) {
    case error_code::none:
    case error_code::unexpected:
    case error_code::connection_lost:
    case error_code::timed_out:
    case error_code::bad_answer:
    case error_code::mismatched_answer:
    case error_code::deadline_exceeded:
    case error_code::outcome_unknown:
        return true;
    default:
        return false;
    }
}

bool has_results(const nlohmann::json& results, std::size_t count) {
    return results.size() == count &&
           std::all_of(results.begin(), results.end(),
                       [](const nlohmann::json& result) { return result.is_object(); });
}

/// First part that the answer lacks; no failure if it is complete.
error missing_part(const nlohmann::json& body, const database_answer& answer, const answer_parts& required) {
    if (required.results && !has_results(answer.results, *required.results)) {
        return error{error_code::bad_answer, "results", fmt::format("{} results", answer.results.size()),
                     fmt::format("{} objects, one for each statement", *required.results)};
    }
    if (required.position && !body.contains("log_term")) {
        return error{error_code::bad_answer, "log_term", "", "the log position of the data"};
    }
    if (required.report && !answer.report) {
        return error{error_code::bad_answer, "status", "", "the state of the instance"};
    }
    return error{};
}

} // namespace

answer_parts answer_parts_of(std::string_view path, const nlohmann::json& body) {
    answer_parts required;
    if (path == "/v1/execute") {
        const nlohmann::json::const_iterator statements = body.find("statements");
        required.results = statements == body.end() ? 0 : statements->size();
    }
    required.position = path == "/v1/execute" || path == "/v1/commit";
    required.report =
        path == "/v1/status" || path == "/v1/fence" || path == "/v1/promote" || path == "/v1/follow";
    return required;
}

nlohmann::json execute_request::to_json() const {
    nlohmann::json list = nlohmann::json::array();
    for (const sql_statement& statement : statements) {
        list.push_back({{"sql", statement.sql}, {"params", statement.params}});
    }
    nlohmann::json body{{"term", term}, {"statements", std::move(list)}, {"read_only", read_only}};
    if (in_transaction) {
        body["transaction"] = true;
    }
    return body;
}

std::optional<instance_report> parse_instance_report(const nlohmann::json& status, time_point sent_at,
                                                     time_point received_at, error& reason) {
    object_reader reader{status, "status", reason};
    instance_report report;
    report.instance = reader.text("instance");
    report.initialised = reader.boolean("initialised", true);
    report.accepted_term = static_cast<term_number>(reader.integer("accepted_term", 0, max_integer));
    report.last_entry.term = static_cast<term_number>(reader.integer("log_term", 0, max_integer));
    report.last_entry.position = static_cast<std::uint64_t>(reader.integer("position", 0, max_integer));
    report.term_start = static_cast<std::uint64_t>(reader.integer("term_start", 0, max_integer));
    const std::string role = reader.text("role");
    report.is_primary = role == "primary";
    report.leaving = reader.boolean("leaving", false);
    const nlohmann::json& primary = reader.any("primary");
    report.primary = primary.is_string() ? primary.get<std::string>() : std::string{};
    report.state_id = reader.optional_text("state_id").value_or("");
    report.requested_at = sent_at;
    report.received_at = received_at;
    if (!reader.ok()) {
        return std::nullopt;
    }
    return report;
}

std::optional<database_answer> parse_database_answer(int http_status, std::string_view body,
                                                     std::string_view request_id,
                                                     const answer_parts& required, time_point sent_at,
                                                     time_point received_at, backend_failure& failure) {
    // Until the answer is known to belong to the request, the request may have run.
    failure.progress = request_progress::sent;
    const std::optional<nlohmann::json> parsed = parse_json(body, max_answer_bytes, failure.reason);
    if (!parsed) {
        return std::nullopt;
    }
    object_reader reader{*parsed, "", failure.reason};
    const std::string echoed_id = reader.text("request_id");
    if (!reader.ok()) {
        return std::nullopt;
    }
    if (echoed_id != request_id) {
        failure.reason =
            error{error_code::mismatched_answer, "request_id", echoed_id, std::string{request_id}};
        return std::nullopt;
    }
    const nlohmann::json& error_field = reader.any("error");
    if (http_status != http_ok || error_field.is_object()) {
        failure.reason = error_from_json(error_field);
        // Only a well-formed refusal proves that the request did not run.
        const bool is_refusal = error_field.is_object() && !leaves_outcome_open(failure.reason.code);
        if (!failure.reason.failed()) {
            failure.reason.code = error_code::bad_answer;
        }
        failure.progress = is_refusal ? request_progress::answered : request_progress::sent;
        return std::nullopt;
    }
    database_answer answer;
    const nlohmann::json& status = reader.any("status");
    if (status.is_object()) {
        answer.report = parse_instance_report(status, sent_at, received_at, failure.reason);
        if (!answer.report) {
            return std::nullopt;
        }
    } else if (parsed->contains("accepted_term")) {
        answer.report = parse_instance_report(*parsed, sent_at, received_at, failure.reason);
        if (!answer.report) {
            return std::nullopt;
        }
    }
    if (parsed->contains("results")) {
        answer.results = reader.array("results");
    }
    if (parsed->contains("log_term")) {
        answer.data_position.term = static_cast<term_number>(reader.integer("log_term", 0, max_integer));
        answer.data_position.position =
            static_cast<std::uint64_t>(reader.integer("position", 0, max_integer));
    }
    if (!reader.ok()) {
        return std::nullopt;
    }
    failure.reason = missing_part(*parsed, answer, required);
    return failure.reason.failed() ? std::nullopt : std::optional{std::move(answer)};
}

} // namespace gentianhill
