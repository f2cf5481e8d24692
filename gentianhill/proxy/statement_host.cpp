#include "gentianhill/proxy/statement_host.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

/// Session of another daemon's client for the time of a statement or transaction.
struct statement_host::hosted_session {
    session_environment environment;
    std::unique_ptr<client_session> session;
    /// Answers the running statement; empty while none is running.
    hand_on_handler respond;
    std::string id;
    std::string group;
    /// Incarnation of the process that opened it.
    std::string sender;
    std::size_t bytes = 0;
    bool in_transaction = false;
};

namespace {

bool is_same_route(const route& a, const route& b) {
    return a.group == b.group && a.consistency == b.consistency && a.timeout == b.timeout &&
           a.target_latency == b.target_latency && a.priority == b.priority &&
           a.max_staleness == b.max_staleness;
}

/// Team of a client of another daemon; null for a client without one.
std::shared_ptr<const team> make_caller(const std::string& name) {
    if (name.empty()) {
        return nullptr;
    }
    team caller;
    caller.name = name;
    return std::make_shared<const team>(std::move(caller));
}

} // namespace

statement_host::statement_host(const statement_host_settings& settings,
                               const session_environment& environment, logger& log, proxy_counters& counters,
                               metrics& registry, const std::string& name, const std::string& incarnation)
    : settings_(settings),
      environment_(environment),
      log_(log),
      counters_(counters),
      name_(name),
      incarnation_(incarnation),
      run_for_others_(registry.add_counter("gentianhill_statements_run_for_others_total",
                                           "Statements run as the owner of their group.")),
      open_(registry.add_gauge("gentianhill_hosted_sessions",
                               "Statements and transactions of other daemons that are open here.")) {
    for (std::size_t index = 0; index < refused_.size(); ++index) {
        refused_.at(index) = &registry.add_counter(
            "gentianhill_hosted_statements_refused_total", "Statements of other daemons that were not run.",
            {{"cause", std::string(to_string(static_cast<hand_on_refusal>(index)))}});
    }
}

statement_host::~statement_host() = default;

void statement_host::on_message(std::string_view message, const hand_on_handler& respond) {
    error reason;
    const time_point now = environment_.now();
    std::optional<hand_on_request> request = hand_on_request::decode(message, now, reason);
    if (!request) {
        refused_.at(static_cast<std::size_t>(hand_on_refusal::malformed))->add();
        log_.write(log_level::warning, "ownership", "message_not_valid",
                   {{"bytes", message.size()}, {"reason", reason.describe()}});
        respond(std::nullopt, reason);
        return;
    }
    if (on_heard) {
        on_heard(request->daemon);
    }
    const std::map<std::string, time_point>::iterator heard = heard_at_.find(request->incarnation);
    if (heard != heard_at_.end()) {
        heard->second = now;
    }
    switch (request->kind) {
    case hand_on_kind::run:
        run(std::move(*request), message.size(), respond);
        return;
    case hand_on_kind::resume:
        resume(*request, message.size(), respond);
        return;
    case hand_on_kind::end:
        end(*request);
        break;
    case hand_on_kind::probe:
        break;
    }
    respond(make_answer(refuses_new_ ? hand_on_refusal::draining : hand_on_refusal::none).encode(), {});
}

void statement_host::refuse(const hand_on_request& request, hand_on_refusal refusal,
                            const hand_on_handler& respond) {
    refused_.at(static_cast<std::size_t>(refusal))->add();
    log_.write(log_level::info, "ownership", "hosted_statement_refused",
               {{"id", request.client_statement.id},
                {"daemon", request.daemon},
                {"refusal", to_string(refusal)},
                {"open", sessions_.size()}});
    respond(make_answer(refusal).encode(), {});
}

hand_on_answer statement_host::make_answer(hand_on_refusal refusal) const {
    hand_on_answer answer;
    answer.daemon = name_;
    answer.incarnation = incarnation_;
    answer.refusal = refusal;
    return answer;
}

std::map<std::uint64_t, std::unique_ptr<statement_host::hosted_session>>::iterator
statement_host::find(const hand_on_request& request) {
    // A handle means something only between the process that gave it and the one that received it: an earlier
    // process of either daemon may have used the same one.
    const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found =
        sessions_.find(request.handle);
    const bool is_meant = found != sessions_.end() && request.owner_incarnation == incarnation_ &&
                          found->second->sender == request.incarnation;
    return is_meant ? found : sessions_.end();
}

bool statement_host::is_current(const hand_on_request& request) {
    const route& sent = *request.selected_route;
    const std::uint64_t version = environment_.configuration_version();
    const std::map<std::string, acted_route>::iterator acted = acted_routes_.find(sent.database);
    if (acted != acted_routes_.end() && acted->second.version <= version) {
        acted_routes_.erase(acted);
    } else if (acted != acted_routes_.end() && request.configuration_version < acted->second.version &&
               !is_same_route(sent, *acted->second.selected_route)) {
        return false;
    }
    const std::shared_ptr<const route> own = environment_.find_route(sent.database);
    const bool is_same = own != nullptr && is_same_route(sent, *own);
    if (request.configuration_version < version) {
        return is_same;
    }
    if (request.configuration_version > version && !is_same) {
        acted_route& newest = acted_routes_[sent.database];
        if (newest.version <= request.configuration_version) {
            newest = {request.configuration_version, request.selected_route};
        }
    }
    return true;
}

hand_on_refusal statement_host::check(const hand_on_request& request, std::size_t bytes) {
    if (refuses_new_) {
        return hand_on_refusal::draining;
    }
    if (sessions_.size() >= settings_.max_sessions || bytes_ + bytes > settings_.max_bytes) {
        return hand_on_refusal::overloaded;
    }
    if (environment_.find_group(request.selected_route->group) == nullptr) {
        return hand_on_refusal::unknown_group;
    }
    return is_current(request) ? hand_on_refusal::none : hand_on_refusal::old_configuration;
}

void statement_host::run(hand_on_request request, std::size_t bytes, const hand_on_handler& respond) {
    const hand_on_refusal refusal = check(request, bytes);
    if (refusal != hand_on_refusal::none) {
        refuse(request, refusal, respond);
        return;
    }
    if (on_statement) {
        on_statement(request.selected_route->group);
    }
    run_for_others_.add();
    const std::uint64_t handle = ++last_handle_;
    std::unique_ptr<hosted_session> hosted = std::make_unique<hosted_session>();
    hosted->environment = environment_;
    hosted->environment.forwarder = nullptr;
    hosted->environment.counts_statements = false;
    // The daemon of the client has checked its key, and its team's quota has admitted the statement.
    hosted->environment.quota = {};
    hosted->environment.check_caller =
        [caller = make_caller(request.team)](const route&, const std::optional<key_digest>&, time_point) {
            return caller_check{caller_verdict::allowed, caller};
        };
    hosted->environment.find_route = [selected = request.selected_route](const std::string&) {
        return selected;
    };
    hosted->respond = respond;
    hosted->id = request.client_statement.id;
    hosted->group = request.selected_route->group;
    hosted->sender = request.incarnation;
    hosted->bytes = bytes;
    hosted->in_transaction = request.in_transaction;
    hosted->session = std::make_unique<client_session>(request.selected_route->database, std::nullopt,
                                                       hosted->environment, log_, counters_);
    hosted->session->on_answer = [this, handle](const statement_result& result) {
        on_result(handle, result);
    };
    session_snapshot snapshot;
    snapshot.position = request.session_position;
    snapshot.fresh_after = request.fresh_after;
    snapshot.in_transaction = request.in_transaction;
    snapshot.reads_only = request.reads_only;
    snapshot.begin_id = request.begin_id;
    snapshot.begun_at = request.begun_at;
    snapshot.selected_route = request.selected_route;
    client_session& session = *hosted->session;
    session.adopt(snapshot);
    session.adopt_values(request.values ? &*request.values : nullptr, request.client_statement.name,
                         request.prepared ? &*request.prepared : nullptr);
    bytes_ += bytes;
    if (request.in_transaction) {
        heard_at_[request.incarnation] = environment_.now();
    }
    sessions_.emplace(handle, std::move(hosted));
    open_.set(static_cast<double>(sessions_.size()));
    session.submit(std::move(request.client_statement), request.received_at);
}

void statement_host::resume(const hand_on_request& request, std::size_t bytes,
                            const hand_on_handler& respond) {
    const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found = find(request);
    if (found == sessions_.end() || found->second->respond) {
        refuse(request, hand_on_refusal::unknown_transaction, respond);
        return;
    }
    hosted_session& hosted = *found->second;
    run_for_others_.add();
    hosted.respond = respond;
    hosted.id = request.client_statement.id;
    bytes_ += bytes;
    hosted.bytes += bytes;
    client_session& session = *hosted.session;
    session.adopt_values(request.values ? &*request.values : nullptr, request.client_statement.name,
                         request.prepared ? &*request.prepared : nullptr);
    session.submit(request.client_statement, request.received_at);
}

void statement_host::on_result(std::uint64_t handle, const statement_result& result) {
    const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found = sessions_.find(handle);
    if (found == sessions_.end()) {
        return;
    }
    hosted_session& hosted = *found->second;
    hand_on_answer answer = make_answer(hand_on_refusal::none);
    answer.result = result;
    answer.handle = result.state == transaction_state::open ? handle : 0;
    const hand_on_handler respond = std::move(hosted.respond);
    hosted.respond = nullptr;
    if (answer.handle == 0) {
        remove(handle);
    }
    respond(answer.encode(), {});
}

void statement_host::end(const hand_on_request& request) {
    if (find(request) != sessions_.end()) {
        remove(request.handle);
    }
}

void statement_host::remove(std::uint64_t handle) {
    const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found = sessions_.find(handle);
    bytes_ -= found->second->bytes;
    found->second->session->end_transaction();
    ended_.push_back(std::move(found->second));
    sessions_.erase(found);
    open_.set(static_cast<double>(sessions_.size()));
}

void statement_host::tick() {
    ended_.clear();
    const time_point now = environment_.now();
    // A session that answers may be removed, with others that its client has opened.
    for (const std::uint64_t handle : open_handles()) {
        const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found =
            sessions_.find(handle);
        if (found == sessions_.end()) {
            continue;
        }
        hosted_session& hosted = *found->second;
        const std::map<std::string, time_point>::const_iterator heard = heard_at_.find(hosted.sender);
        if (hosted.in_transaction && !hosted.respond && heard != heard_at_.end() &&
            now - heard->second > settings_.silence_limit) {
            log_.write(log_level::info, "ownership", "daemon_silent",
                       {{"id", hosted.id}, {"group", hosted.group}});
            remove(handle);
            continue;
        }
        hosted.session->tick();
    }
    std::erase_if(heard_at_, [this](const std::map<std::string, time_point>::value_type& entry) {
        return std::none_of(
            sessions_.begin(), sessions_.end(),
            [&entry](const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::value_type& hosted) {
                return hosted.second->sender == entry.first && hosted.second->in_transaction;
            });
    });
}

std::vector<std::uint64_t> statement_host::open_handles() const {
    std::vector<std::uint64_t> handles;
    for (const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::value_type& entry : sessions_) {
        handles.push_back(entry.first);
    }
    return handles;
}

void statement_host::end_transactions() {
    for (const std::uint64_t handle : open_handles()) {
        if (!sessions_.at(handle)->respond) {
            remove(handle);
        }
    }
}

void statement_host::give_up(std::string_view detail) {
    for (const std::uint64_t handle : open_handles()) {
        const std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator found =
            sessions_.find(handle);
        if (found != sessions_.end()) {
            found->second->session->give_up(detail);
        }
    }
}

} // namespace gentianhill
