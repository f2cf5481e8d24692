#include "gentianhill/caller/caller_endpoint.h"

#include "gentianhill/core/object_reader.h"

#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_request_bytes = 1U << 20U;
constexpr int http_payload_too_large = 413;
constexpr int http_not_found = 404;

} // namespace

caller_endpoint::caller_endpoint(event_loop& loop, const http2::server_settings& settings,
                                 const caller_limits& limits, caller_handlers handlers)
    : server_(loop, settings), limits_(limits), handlers_(std::move(handlers)) {
    server_.on_request = [this](http2::connection_id connection, const http2::request& request,
                                const http2::server::responder& respond) {
        handle(connection, request, respond);
    };
    server_.on_close = [this](http2::connection_id connection) { handlers_.on_close(connection); };
}

void caller_endpoint::handle(http2::connection_id connection, const http2::request& request,
                             const http2::server::responder& respond) {
    const caller_responder send_answer = [respond](const caller_answer& reply) {
        respond(
            http2::response{reply.http_status(),
                            reply.to_json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
    };
    error reason;
    const std::optional<nlohmann::json> body = parse_json(request.body, max_request_bytes, reason);
    if (!body || !dispatch(connection, request.path, *body, send_answer, reason)) {
        const caller_answer refused = caller_answer::refused(reason);
        int status = refused.http_status();
        if (reason.code == error_code::too_large) {
            status = http_payload_too_large;
        } else if (reason.code == error_code::unknown_path) {
            status = http_not_found;
        }
        respond(http2::response{
            status, refused.to_json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
    }
}

bool caller_endpoint::dispatch(http2::connection_id connection, const std::string& path,
                               const nlohmann::json& body, const caller_responder& send_answer,
                               error& reason) {
    if (path == "/v1/statement" || path == "/v1/transaction/statement") {
        const std::optional<statement_request> request = parse_statement_request(body, limits_, reason);
        if (!request) {
            return false;
        }
        const bool in_transaction = path == "/v1/transaction/statement";
        if (in_transaction != request->transaction.has_value()) {
            reason = error{error_code::bad_value, "transaction", request->transaction.value_or(""),
                           "a transaction with /v1/transaction/statement and none with /v1/statement"};
            return false;
        }
        handlers_.on_statement(connection, *request, send_answer);
        return true;
    }
    if (path == "/v1/transaction/begin") {
        return dispatch_transaction(connection, transaction_operation::begin, body, send_answer, reason);
    }
    if (path == "/v1/transaction/commit") {
        return dispatch_transaction(connection, transaction_operation::commit, body, send_answer, reason);
    }
    if (path == "/v1/transaction/rollback") {
        return dispatch_transaction(connection, transaction_operation::rollback, body, send_answer, reason);
    }
    if (path == "/v1/outcome") {
        const std::optional<outcome_request> request = parse_outcome_request(body, limits_, reason);
        if (!request) {
            return false;
        }
        handlers_.on_outcome(*request, send_answer);
        return true;
    }
    reason = error{error_code::unknown_path, "path", path,
                   "/v1/statement, /v1/transaction/begin|statement|commit|rollback or /v1/outcome"};
    return false;
}

bool caller_endpoint::dispatch_transaction(http2::connection_id connection, transaction_operation operation,
                                           const nlohmann::json& body, const caller_responder& send_answer,
                                           error& reason) {
    const std::optional<transaction_request> request =
        parse_transaction_request(body, operation, limits_, reason);
    if (!request) {
        return false;
    }
    handlers_.on_transaction(connection, operation, *request, send_answer);
    return true;
}

} // namespace gentianhill
