#include "gentianhill/backend/backend_connection.h"

#include <utility>

namespace gentianhill {

namespace {

http2::client_settings client_settings_for(const endpoint& server) {
    http2::client_settings settings;
    settings.server = server;
    return settings;
}

request_progress progress_of(error_code code) {
    return certainly_not_processed(code) ? request_progress::not_sent : request_progress::sent;
}

/// Removes an answer that the report in it shows to come from another instance.
void check_instance(const std::string& expected, std::optional<database_answer>& answer,
                    backend_failure& failure) {
    if (!answer || !answer->report || answer->report->instance == expected) {
        return;
    }
    // The other instance may have processed the request.
    failure = backend_failure{
        error{error_code::mismatched_answer, "status.instance", answer->report->instance, expected},
        request_progress::sent};
    answer.reset();
}

} // namespace

backend_connection::backend_connection(event_loop& loop, const endpoint& server, backend_identity identity)
    : loop_(loop), identity_(std::move(identity)), client_(loop, client_settings_for(server)) {
    client_.on_close = [this] {
        broken_ = true;
        if (on_close) {
            const std::function<void()> notify = std::exchange(on_close, nullptr);
            notify();
        }
    };
}

void backend_connection::connect() {
    client_.connect();
}

void backend_connection::call(std::string_view path, nlohmann::json body, duration timeout,
                              answer_handler on_answer) {
    const std::string request_id = identity_.next_request_id();
    body["request_id"] = request_id;
    body["source"] = identity_.source;
    const answer_parts required = answer_parts_of(path, body);
    http2::request message{"POST", std::string{path},
                           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
    const time_point sent_at = event_loop::now();
    client_.send(std::move(message), timeout,
                 [this, request_id, required, sent_at, on_answer = std::move(on_answer)](
                     std::optional<http2::response> reply, const error& transport_error) {
                     backend_failure failure;
                     if (!reply) {
                         broken_ = true;
                         failure = backend_failure{transport_error, progress_of(transport_error.code)};
                         on_answer(std::nullopt, failure);
                         return;
                     }
                     std::optional<database_answer> answer =
                         parse_database_answer(reply->status, reply->body, request_id, required, sent_at,
                                               event_loop::now(), failure);
                     check_instance(identity_.instance, answer, failure);
                     if (!answer && failure.progress != request_progress::answered) {
                         broken_ = true;
                     }
                     on_answer(std::move(answer), failure);
                 });
}

bool backend_connection::is_usable() const {
    return !broken_ && !client_.is_closed();
}

void backend_connection::close() {
    client_.close();
}

std::uint64_t backend_connection::bytes() const {
    return client_.bytes_received() + client_.bytes_sent();
}

} // namespace gentianhill
