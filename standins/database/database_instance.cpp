#include "standins/database/database_instance.h"

#include "gentianhill/core/object_reader.h"
#include "standins/common/answers.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr int status_ok = 200;
constexpr std::size_t max_request_bytes = 1U << 20U;
// One answer; more entries follow in the next one.
constexpr std::size_t max_replicated_bytes = 256U << 10U;
// Leaves room for the refusal to be sent before the connection closes.
constexpr std::chrono::milliseconds refused_connection_linger{20};
constexpr std::string_view replicate_path = "/v1/replicate";
constexpr std::string_view control_path = "/control";

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
      statement_answers_(loop, faults_),
      statements_(loop, settings, rules_, store_),
      gate_(loop, settings.connections, settings.connect_cost),
      replicator_(loop, settings.instance),
      held_status_(loop),
      held_replication_(loop) {
    calls_ = {{"/v1/status", &database_instance::on_status},
              {"/v1/execute", &database_instance::on_execute},
              {"/v1/begin", &database_instance::on_begin},
              {"/v1/commit", &database_instance::on_commit},
              {"/v1/rollback", &database_instance::on_roll_back},
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
        statements_.connection_closed(connection);
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
    connect_statements();
    faults_.lag = settings.lag;
    faults_.service_time = settings.service_time;
    faults_.connections = settings.connections;
}

void database_instance::connect_statements() {
    statements_.answer = [this](const database_call& received, nlohmann::json body) {
        statement_answers_.deliver(received.respond, answer_to(received, std::move(body)),
                                   answer_kind::success);
    };
    statements_.refuse = [this](const database_call& received, const error& reason) {
        statement_answers_.deliver(received.respond, refusal_of(received, reason), answer_kind::refusal);
    };
    statements_.on_log_changed = [this] { log_changed(); };
}

database_instance::~database_instance() = default;

bool database_instance::start(error& reason) {
    if (!server_.listen(reason)) {
        return false;
    }
    if (settings_.state_id.empty()) {
        std::random_device source;
        settings_.state_id = fmt::format("{:08x}{:08x}", source(), source());
    }
    if (settings_.start == start_mode::first_primary) {
        rules_.bootstrap(instance_role::primary, settings_.instance);
        store_.append_term_start(rules_.accepted_term());
    } else if (settings_.start == start_mode::first_member) {
        rules_.bootstrap(instance_role::replica, settings_.follow);
        followed_address_ = settings_.peers.at(settings_.follow);
        replicator_.start(rules_.accepted_term(), followed_address_);
    }
    return true;
}

endpoint database_instance::address() const {
    return endpoint{settings_.listen.address, server_.port()};
}

void database_instance::receive(http2::connection_id connection, const http2::request& request,
                                const http2::server::responder& respond) {
    if (request.path.starts_with(control_path)) {
        on_control(request, respond);
        return;
    }
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
        refuse_connection(connection, request, respond);
    });
}

void database_instance::refuse_connection(http2::connection_id connection, const http2::request& request,
                                          const http2::server::responder& respond) {
    const error over_limit{error_code::connection_limit, "connections", fmt::format("{}", gate_.count()),
                           fmt::format("at most {} connections", gate_.limit())};
    error reason;
    std::optional<request_envelope> envelope = read_envelope(request.body, reason);
    respond(envelope ? refusal_of(database_call{connection, std::move(*envelope), respond}, over_limit)
                     : error_answer(over_limit));
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(refused_connection_linger, [this, alive, connection] {
        if (!alive.expired()) {
            server_.close(connection);
        }
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
    const bool is_dropped =
        faults_.is_dropped(envelope->source) || (faults_.drop_replication && request.path == replicate_path);
    if (is_dropped) {
        ++dropped_requests_;
        return;
    }
    const database_call received{connection, std::move(*envelope), respond};
    (this->*found->second)(received);
}

http2::response database_instance::answer_to(const database_call& received, nlohmann::json body) const {
    body["request_id"] = received.envelope.request_id;
    body["status"] = status_fields();
    return json_answer(status_ok, body);
}

http2::response database_instance::refusal_of(const database_call& received, const error& reason) const {
    const nlohmann::json body{{"request_id", received.envelope.request_id},
                              {"error", gentianhill::to_json(reason)},
                              {"status", status_fields()}};
    return json_answer(status_of(reason.code), body);
}

void database_instance::answer(const database_call& received, nlohmann::json body) {
    received.respond(answer_to(received, std::move(body)));
}

void database_instance::refuse(const database_call& received, const error& reason) {
    received.respond(refusal_of(received, reason));
}

nlohmann::json database_instance::status_fields() const {
    const log_position last = store_.log().last();
    return nlohmann::json{{"instance", settings_.instance},
                          {"group", settings_.group},
                          {"state_id", settings_.state_id},
                          {"initialised", rules_.is_initialised()},
                          {"accepted_term", rules_.accepted_term()},
                          {"log_term", last.term},
                          {"term_start", store_.log().term_start()},
                          {"position", last.position},
                          {"role", std::string{to_string(rules_.role())}},
                          {"primary", rules_.primary()},
                          {"leaving", faults_.leaving},
                          {"connections", gate_.count()},
                          {"connection_limit", gate_.limit()},
                          {"slots", statements_.slots().slots()},
                          {"busy_slots", statements_.slots().busy()}};
}

void database_instance::log_changed() {
    held_status_.wake();
    held_replication_.wake();
}

// Status

bool database_instance::is_past(const status_request& request) const {
    return rules_.accepted_term() > request.after_term || store_.log().last() > request.after;
}

void database_instance::on_status(const database_call& received) {
    error reason;
    const std::optional<status_request> request = read_status(received.envelope, reason);
    if (!request) {
        refuse(received, reason);
        return;
    }
    // Membership and leaving are no part of the position but callers wait for them as well.
    const bool initialised = rules_.is_initialised();
    const bool leaving = faults_.leaving;
    held_status_.hold(
        received.connection, request->wait,
        [this, request = *request, initialised, leaving] {
            return is_past(request) || rules_.is_initialised() != initialised || faults_.leaving != leaving;
        },
        [this, received] { answer_status(received); });
}

void database_instance::answer_status(const database_call& received) {
    nlohmann::json body = status_fields();
    body["request_id"] = received.envelope.request_id;
    received.respond(json_answer(status_ok, body));
}

// Statements

void database_instance::count_new_work() {
    if (faults_.leaving) {
        ++new_work_after_leaving_;
        latest_new_work_ = std::max(latest_new_work_, event_loop::now() - leaving_since_);
    }
}

void database_instance::on_execute(const database_call& received) {
    const nlohmann::json::const_iterator transaction = received.envelope.body.find("transaction");
    const bool continues = transaction != received.envelope.body.end() && *transaction == true;
    if (!continues) {
        count_new_work();
    }
    statements_.execute(received);
}

void database_instance::on_begin(const database_call& received) {
    count_new_work();
    statements_.begin(received);
}

void database_instance::on_commit(const database_call& received) {
    statements_.commit(received);
}

void database_instance::on_roll_back(const database_call& received) {
    statements_.roll_back(received);
}

// Terms

void database_instance::on_fence(const database_call& received) {
    error reason;
    const std::optional<term_number> term = read_term(received.envelope, reason);
    const std::optional<term_change> change =
        term ? rules_.fence(*term, received.envelope.source, reason) : std::nullopt;
    if (!change) {
        refuse(received, reason);
        return;
    }
    if (*change == term_change::raised) {
        statements_.abort_open();
        replicator_.stop();
        log_changed();
    }
    const log_position last = store_.log().last();
    answer(received, nlohmann::json{{"accepted_term", rules_.accepted_term()},
                                    {"log_term", last.term},
                                    {"position", last.position}});
}

void database_instance::on_promote(const database_call& received) {
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

void database_instance::on_follow(const database_call& received) {
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
    // An admission decided for an earlier state could miss what this one has acknowledged since.
    if (request->admit && !request->state_id.empty() && request->state_id != settings_.state_id) {
        refuse(received, error{error_code::bad_value, "state_id", request->state_id, settings_.state_id});
        return;
    }
    const bool was_being_admitted = rules_.is_being_admitted();
    const std::optional<term_change> change =
        rules_.follow(request->term, request->primary, request->admit, reason);
    if (!change) {
        refuse(received, reason);
        return;
    }
    if (*change == term_change::raised) {
        statements_.abort_open();
    }
    const endpoint address = request->primary_address ? *request->primary_address : known->second;
    // An admission asks the primary again how far its log reaches; a primary may come back at another
    // address.
    const bool restarts = *change == term_change::raised || address != followed_address_ ||
                          rules_.is_being_admitted() != was_being_admitted;
    if (restarts) {
        followed_address_ = address;
        replicator_.start(rules_.accepted_term(), address);
        log_changed();
    }
    answer(received, nlohmann::json::object());
}

// Replication

void database_instance::on_replicate(const database_call& received) {
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

void database_instance::answer_replicate(const database_call& received, const replicate_request& request) {
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
    std::size_t bytes = 0;
    for (std::uint64_t i = at.position + 1; i <= last && bytes < max_replicated_bytes; ++i) {
        entries.push_back(standins::to_json(log.at(i)));
        bytes += size_of(log.at(i).statements);
    }
    const nlohmann::json body{{"request_id", received.envelope.request_id},
                              {"term", request.term},
                              {"match", is_match},
                              {"at", to_json(at)},
                              {"last", to_json(log.last())},
                              {"entries", std::move(entries)}};
    received.respond(json_answer(status_ok, body));
}

// Control

void database_instance::on_control(const http2::request& request, const http2::server::responder& respond) {
    error reason;
    if (request.path == "/control/counters") {
        respond(json_answer(status_ok, counters()));
        return;
    }
    const bool was_leaving = faults_.leaving;
    if (request.path != control_path) {
        reason = error{error_code::unknown_path, "path", request.path, "/control or /control/counters"};
    }
    if (reason.failed() || !faults_.update(request.body, reason)) {
        respond(error_answer(reason));
        return;
    }
    apply_faults(was_leaving);
    respond(json_answer(status_ok, nlohmann::json::object()));
}

void database_instance::apply_faults(bool was_leaving) {
    replicator_.set_lag(faults_.lag);
    replicator_.set_blocked(faults_.drop_replication);
    if (faults_.drop_replication) {
        held_replication_.clear();
    }
    statements_.set_service_time(faults_.service_time);
    statements_.set_refuse_commit(faults_.refuse_commit);
    gate_.set_limit(faults_.connections);
    statement_answers_.faults_changed();
    if (faults_.leaving && !was_leaving) {
        leaving_since_ = event_loop::now();
    }
    held_status_.wake();
}

nlohmann::json database_instance::counters() const {
    const statement_counters& counts = statements_.counters();
    return nlohmann::json{{"connections", gate_.count()},
                          {"connections_max_seen", gate_.max_seen()},
                          {"over_limit_refusals", gate_.refusals()},
                          {"executed", counts.executed},
                          {"started_transactions", counts.started_transactions},
                          {"committed_transactions", counts.committed_transactions},
                          {"rolled_back_transactions", counts.rolled_back_transactions},
                          {"aborted_transactions", counts.aborted_transactions},
                          {"withheld_commits", counts.withheld_commits},
                          {"dropped_requests", dropped_requests_},
                          {"waiting_for_slot", statements_.slots().waiting()},
                          {"new_work_after_leaving", new_work_after_leaving_},
                          {"leaving_new_work_ms_max", to_milliseconds(latest_new_work_)},
                          {"waiting_status_calls", held_status_.size()}};
}

} // namespace gentianhill::standins
