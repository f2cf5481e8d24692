#include "standins/common/answers.h"

#include "gentianhill/core/object_reader.h"

namespace gentianhill::standins {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;

} // namespace

int status_of(error_code code) {
    switch (code) {
    case error_code::unknown_path:
    case error_code::not_found:
        return status_not_found;
    case error_code::too_large:
        return status_too_large;
    case error_code::stale_term:
    case error_code::not_primary:
    case error_code::replica_behind:
    case error_code::transaction_unknown:
    case error_code::transaction_closed:
    case error_code::log_mismatch:
    case error_code::version_conflict:
        return status_conflict;
    case error_code::statement_failed:
    case error_code::duplicate_key:
        return status_unprocessable;
    case error_code::connection_limit:
    case error_code::no_free_slot:
    case error_code::leaving:
        return status_unavailable;
    default:
        return status_bad_request;
    }
}

http2::response json_answer(int status, const nlohmann::json& body) {
    return http2::response{status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http2::response error_answer(const error& reason) {
    return json_answer(status_of(reason.code), nlohmann::json{{"error", to_json(reason)}});
}

} // namespace gentianhill::standins
