#include "standins/database/database_instance.h"

#include "gentianhill/core/object_reader.h"
#include "standins/common/answers.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr int status_ok = 200;
constexpr std::size_t max_request_bytes = 1U << 20U;
constexpr std::size_t max_replicated_entries = 500;
// Leaves room for the refusal to be sent before the connection closes.
constexpr std::chrono::milliseconds refused_connection_linger{20};
constexpr std::string_view replicate_path = "/v1/replicate";

http2::server_settings server_settings_of(const database_settings& settings) {
    http2::server_settings result;
    result.listen = settings.listen;
    result.max_body_bytes = max_request_bytes;
    return result;
}

nlohmann::json to_json(const log_position& at) {
    return nlohmann::json{{"term", at.term}, {"position", at.position}};
}

} // namespace

database_instance::database_instance(event_loop& loop, const database_settings& settings)
    : loop_(loop),
      settings_(settings),
      server_(loop, server_settings_of(settings)),
      rules_(settings.instance),
      slots_(loop, settings.slots, settings.service_time),
      gate_(loop, settings.connections, settings.connect_cost),
      replicator_(loop, settings.instance),
      held_status_(loop),
      held_replication_(loop) {
    calls_ = {{"/v1/status", &database_instance::on_status},
              {"/v1/execute", &database_instance::on_execute},
              {"/v1/fence", &database_instance::on_fence},
              {"/v1/promote", &database_instance::on_promote},
              {"/v1/follow", &database_instance::on_follow},
              {std::string{replicate_path}, &database_instance::on_replicate}};
    server_.on_request = [this](http2::connection_id connection, const http2::request& request,
                                const http2::server::responder& respond) {
        receive(connection, request, respond);
    };
    server_.on_close = [this](http2::connection_id connection) {
        gate_.leave(connection);
        held_status_.drop(connection);
        held_replication_.drop(connection);
    };
    replicator_.log = [this]() -> const replicated_log& { return store_.log(); };
    replicator_.truncate = [this](std::uint64_t position) { store_.truncate_after(position); };
    replicator_.apply = [this](log_entry entry) {
        store_.apply(std::move(entry));
        log_changed();
    };
    replicator_.on_caught_up = [this] {
        if (rules_.is_being_admitted()) {
            rules_.caught_up();
            log_changed();
        }
    };
    replicator_.set_lag(settings.lag);
}

database_instance::~database_instance() = default;

bool database_instance::start(error& reason) {
    if (!server_.listen(reason)) {
        return false;
    }
    if (settings_.start == start_mode::first_primary) {
        rules_.bootstrap(instance_role::primary, settings_.instance);
        store_.append_term_start(rules_.accepted_term());
    } else if (settings_.start == start_mode::first_member) {
        rules_.bootstrap(instance_role::replica, settings_.follow);
        replicator_.start(rules_.accepted_term(), settings_.peers.at(settings_.follow));
    }
    return true;
}

endpoint database_instance::address() const {
    return endpoint{settings_.listen.address, server_.port()};
}

void database_instance::receive(http2::connection_id connection, const http2::request& request,
                                const http2::server::responder& respond) {
    // Replication has connections of its own that do not count, as in common databases.
    if (request.path == replicate_path) {
        handle(connection, request, respond);
        return;
    }
    gate_.enter(connection, [this, connection, request, respond](gate_verdict verdict) {
        if (verdict == gate_verdict::admitted) {
            handle(connection, request, respond);
            return;
        }
        respond(
            error_answer(error{error_code::connection_limit, "connections", fmt::format("{}", gate_.count()),
                               fmt::format("at most {} connections", gate_.limit())}));
        loop_.run_after(refused_connection_linger, [this, connection] { server_.close(connection); });
    });
}

void database_instance::handle(http2::connection_id connection, const http2::request& request,
                               const http2::server::responder& respond) {
    const std::map<std::string, call_handler, std::less<>>::const_iterator found = calls_.find(request.path);
    if (found == calls_.end() || request.method != "POST") {
        respond(error_answer(error{error_code::unknown_path, "path", request.method + " " + request.path,
                                   "POST to one of the calls under /v1/"}));
        return;
    }
    error reason;
    std::optional<request_envelope> envelope = read_envelope(request.body, reason);
    if (!envelope) {
        respond(error_answer(reason));
        return;
    }
    const call received{connection, std::move(*envelope), respond};
    (this->*found->second)(received);
}

void database_instance::answer(const call& received, nlohmann::json body) {
    body["request_id"] = received.envelope.request_id;
    body["status"] = status_fields();
    received.respond(json_answer(status_ok, body));
}

void database_instance::refuse(const call& received, const error& reason) {
    const nlohmann::json body{{"request_id", received.envelope.request_id},
                              {"error", gentianhill::to_json(reason)},
                              {"status", status_fields()}};
    received.respond(json_answer(status_of(reason.code), body));
}

nlohmann::json database_instance::status_fields() const {
    const log_position last = store_.log().last();
    return nlohmann::json{{"instance", settings_.instance},
                          {"group", settings_.group},
                          {"initialised", rules_.is_initialised()},
                          {"accepted_term", rules_.accepted_term()},
                          {"log_term", last.term},
                          {"term_start", store_.log().term_start()},
                          {"position", last.position},
                          {"role", std::string{to_string(rules_.role())}},
                          {"primary", rules_.primary()},
                          {"leaving", leaving_},
                          {"connections", gate_.count()},
                          {"connection_limit", gate_.limit()},
                          {"slots", slots_.slots()},
                          {"busy_slots", slots_.busy()}};
}

void database_instance::log_changed() {
    held_status_.wake();
    held_replication_.wake();
}

// Status

bool database_instance::is_past(const status_request& request) const {
    return rules_.accepted_term() > request.after_term || store_.log().last() > request.after;
}

void database_instance::on_status(const call& received) {
    error reason;
    const std::optional<status_request> request = read_status(received.envelope, reason);
    if (!request) {
        refuse(received, reason);
        return;
    }
    // Membership and leaving are no part of the position but callers wait for them as well.
    const bool initialised = rules_.is_initialised();
    const bool leaving = leaving_;
    held_status_.hold(
        received.connection, request->wait,
        [this, request = *request, initialised, leaving] {
            return is_past(request) || rules_.is_initialised() != initialised || leaving_ != leaving;
        },
        [this, received] { answer_status(received); });
}

void database_instance::answer_status(const call& received) {
    nlohmann::json body = status_fields();
    body["request_id"] = received.envelope.request_id;
    received.respond(json_answer(status_ok, body));
}

// Statements

bool database_instance::may_execute(const execute_request& request, error& reason) const {
    return request.read_only ? rules_.may_read(request.term, reason) : rules_.may_write(request.term, reason);
}

void database_instance::on_execute(const call& received) {
    error reason;
    std::optional<execute_request> request = read_execute(received.envelope, reason);
    if (!request || !may_execute(*request, reason)) {
        refuse(received, reason);
        return;
    }
    const std::size_t count = request->statements.size();
    slots_.run(count, [this, received, request = std::move(*request)] { run_batch(received, request); });
}

void database_instance::run_batch(const call& received, const execute_request& request) {
    error reason;
    // The term may have changed while the batch waited for its slot.
    if (!may_execute(request, reason)) {
        refuse(received, reason);
        return;
    }
    const std::optional<sql_store::results> results =
        request.read_only ? store_.read(request.statements, reason)
                          : store_.write(request.term, request.statements, reason);
    if (!results) {
        refuse(received, reason);
        return;
    }
    answer_results(received, *results);
    if (!request.read_only) {
        log_changed();
    }
}

void database_instance::answer_results(const call& received, const sql_store::results& results) {
    nlohmann::json list = nlohmann::json::array();
    for (const statement_result& result : results) {
        list.push_back(
            nlohmann::json{{"columns", result.columns}, {"rows", result.rows}, {"changes", result.changes}});
    }
    const log_position last = store_.log().last();
    answer(received, nlohmann::json{
                         {"results", std::move(list)}, {"log_term", last.term}, {"position", last.position}});
}

// Terms

void database_instance::on_fence(const call& received) {
    error reason;
    const std::optional<term_number> term = read_term(received.envelope, reason);
    const std::optional<term_change> change =
        term ? rules_.fence(*term, received.envelope.source, reason) : std::nullopt;
    if (!change) {
        refuse(received, reason);
        return;
    }
    if (*change == term_change::raised) {
        replicator_.stop();
        log_changed();
    }
    const log_position last = store_.log().last();
    answer(received, nlohmann::json{{"accepted_term", rules_.accepted_term()},
                                    {"log_term", last.term},
                                    {"position", last.position}});
}

void database_instance::on_promote(const call& received) {
    error reason;
    const std::optional<promote_request> request = read_promote(received.envelope, reason);
    const std::optional<term_change> change = request ? rules_.promote(request->term, reason) : std::nullopt;
    if (!change) {
        refuse(received, reason);
        return;
    }
    if (*change == term_change::raised) {
        store_.append_term_start(rules_.accepted_term());
        log_changed();
    }
    answer(received, nlohmann::json::object());
}

void database_instance::on_follow(const call& received) {
    error reason;
    const std::optional<follow_request> request = read_follow(received.envelope, reason);
    if (!request) {
        refuse(received, reason);
        return;
    }
    const std::map<std::string, endpoint>::const_iterator known = settings_.peers.find(request->primary);
    if (!request->primary_address && known == settings_.peers.end()) {
        refuse(received,
               error{error_code::missing_field, "primary_address", "", "the address of the primary"});
        return;
    }
    const bool was_being_admitted = rules_.is_being_admitted();
    const std::optional<term_change> change =
        rules_.follow(request->term, request->primary, request->admit, reason);
    if (!change) {
        refuse(received, reason);
        return;
    }
    const endpoint address = request->primary_address ? *request->primary_address : known->second;
    // An admission asks the primary again how far its log reaches.
    if (*change == term_change::raised || rules_.is_being_admitted() != was_being_admitted) {
        replicator_.start(rules_.accepted_term(), address);
        log_changed();
    }
    answer(received, nlohmann::json::object());
}

// Replication

void database_instance::on_replicate(const call& received) {
    error reason;
    const std::optional<replicate_request> request = read_replicate(received.envelope, reason);
    if (!request || !rules_.may_replicate(request->term, reason)) {
        refuse(received, reason);
        return;
    }
    held_replication_.hold(
        received.connection, request->wait,
        [this, request = *request] {
            return rules_.accepted_term() != request.term || !store_.log().contains(request.after) ||
                   store_.log().last().position > request.after.position;
        },
        [this, received, request = *request] { answer_replicate(received, request); });
}

void database_instance::answer_replicate(const call& received, const replicate_request& request) {
    error reason;
    if (!rules_.may_replicate(request.term, reason)) {
        refuse(received, reason);
        return;
    }
    const replicated_log& log = store_.log();
    const bool is_match = log.contains(request.after);
    const log_position at = is_match ? request.after : log.nearest(request.after);
    nlohmann::json entries = nlohmann::json::array();
    const std::uint64_t last = is_match ? log.last().position : at.position;
    for (std::uint64_t i = at.position + 1; i <= last && entries.size() < max_replicated_entries; ++i) {
        entries.push_back(standins::to_json(log.at(i)));
    }
    const nlohmann::json body{{"request_id", received.envelope.request_id},
                              {"term", request.term},
                              {"match", is_match},
                              {"at", to_json(at)},
                              {"last", to_json(log.last())},
                              {"entries", std::move(entries)}};
    received.respond(json_answer(status_ok, body));
}

} // namespace gentianhill::standins
