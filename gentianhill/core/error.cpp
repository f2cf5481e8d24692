#include "gentianhill/core/error.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace gentianhill {

namespace {

using name_entry = std::pair<error_code, std::string_view>;

constexpr std::array error_names{
    name_entry{error_code::none, "none"},
    name_entry{error_code::bad_json, "bad_json"},
    name_entry{error_code::missing_field, "missing_field"},
    name_entry{error_code::unknown_field, "unknown_field"},
    name_entry{error_code::bad_type, "bad_type"},
    name_entry{error_code::out_of_range, "out_of_range"},
    name_entry{error_code::bad_value, "bad_value"},
    name_entry{error_code::too_large, "too_large"},
    name_entry{error_code::bad_signature, "bad_signature"},
    name_entry{error_code::unknown_group, "unknown_group"},
    name_entry{error_code::unknown_team, "unknown_team"},
    name_entry{error_code::unknown_instance, "unknown_instance"},
    name_entry{error_code::unknown_path, "unknown_path"},
    name_entry{error_code::unknown_daemon, "unknown_daemon"},
    name_entry{error_code::connect_failed, "connect_failed"},
    name_entry{error_code::request_refused, "request_refused"},
    name_entry{error_code::connection_lost, "connection_lost"},
    name_entry{error_code::timed_out, "timed_out"},
    name_entry{error_code::bad_answer, "bad_answer"},
    name_entry{error_code::mismatched_answer, "mismatched_answer"},
    name_entry{error_code::stale_term, "stale_term"},
    name_entry{error_code::not_primary, "not_primary"},
    name_entry{error_code::replica_behind, "replica_behind"},
    name_entry{error_code::connection_limit, "connection_limit"},
    name_entry{error_code::no_free_slot, "no_free_slot"},
    name_entry{error_code::statement_failed, "statement_failed"},
    name_entry{error_code::duplicate_key, "duplicate_key"},
    name_entry{error_code::transaction_unknown, "transaction_unknown"},
    name_entry{error_code::transaction_closed, "transaction_closed"},
    name_entry{error_code::leaving, "leaving"},
    name_entry{error_code::log_mismatch, "log_mismatch"},
    name_entry{error_code::token_ahead_of_history, "token_ahead_of_history"},
    name_entry{error_code::token_foreign_group, "token_foreign_group"},
    name_entry{error_code::deadline_exceeded, "deadline_exceeded"},
    name_entry{error_code::queue_full, "queue_full"},
    name_entry{error_code::no_primary, "no_primary"},
    name_entry{error_code::no_majority, "no_majority"},
    name_entry{error_code::replicas_not_acknowledging, "replicas_not_acknowledging"},
    name_entry{error_code::no_eligible_instance, "no_eligible_instance"},
    name_entry{error_code::outcome_unknown, "outcome_unknown"},
    name_entry{error_code::key_reused, "key_reused"},
    name_entry{error_code::key_expired, "key_expired"},
    name_entry{error_code::key_cancelled, "key_cancelled"},
    name_entry{error_code::retry_budget_spent, "retry_budget_spent"},
    name_entry{error_code::draining, "draining"},
    name_entry{error_code::version_conflict, "version_conflict"},
    name_entry{error_code::not_found, "not_found"},
    name_entry{error_code::platform_unavailable, "platform_unavailable"},
    name_entry{error_code::number_taken, "number_taken"},
    name_entry{error_code::superseded, "superseded"},
    name_entry{error_code::no_claim, "no_claim"},
    name_entry{error_code::bind_failed, "bind_failed"},
    name_entry{error_code::unexpected, "unexpected"},
};

} // namespace

std::string_view to_string(error_code code) {
    for (const name_entry& entry : error_names) {
        if (entry.first == code) {
            return entry.second;
        }
    }
    return "unexpected";
}

error_code error_code_from(std::string_view name) {
    for (const name_entry& entry : error_names) {
        if (entry.second == name) {
            return entry.first;
        }
    }
    return error_code::unexpected;
}

bool certainly_not_processed(error_code code) {
    return code == error_code::connect_failed || code == error_code::request_refused;
}

std::string error::describe() const {
    std::string text{to_string(code)};
    if (!field.empty()) {
        text += fmt::format(" field={}", field);
    }
    if (!value.empty()) {
        text += fmt::format(" value={}", value);
    }
    if (!allowed.empty()) {
        text += fmt::format(" allowed={}", allowed);
    }
    return text;
}

} // namespace gentianhill
