#include "gentianhill/ownership/statement_forwarder.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

bool is_not_processed(error_code code) {
    switch (code) {
    case error_code::queue_full:
    // The receiver could not read the message, or is of a version that knows none of these.
    case error_code::bad_value:
    case error_code::unknown_path:
        return true;
    default:
        return certainly_not_processed(code);
    }
}

/// Size of the statement and of the session that it needs, in bytes.
std::size_t content_bytes(const hand_on_request& request) {
    const statement& sent = request.client_statement;
    std::size_t bytes = sent.text.size() + sent.name.size() + sent.argument.size();
    bytes += request.prepared ? request.prepared->shape.size() : 0;
    if (request.values) {
        for (const session_state::value_map::value_type& value : *request.values) {
            bytes += value.first.size() + value.second.size();
        }
    }
    return bytes;
}

} // namespace

statement_forwarder::statement_forwarder(const statement_forwarder_settings& settings,
                                         owner_selection& owners, relay_port& port, logger& log,
                                         metrics& registry, std::string incarnation)
    : settings_(settings),
      owners_(owners),
      port_(port),
      log_(log),
      incarnation_(std::move(incarnation)),
      handed_on_(registry.add_counter("gentianhill_statements_handed_on_total",
                                      "Statements sent to the owner of their group.")),
      not_run_(
          registry.add_counter("gentianhill_hand_on_not_run_total", "Statements that an owner has not run.")),
      lost_(registry.add_counter("gentianhill_hand_on_lost_total",
                                 "Statements whose owner was lost before its answer.")),
      run_here_(registry.add_counter("gentianhill_statements_in_reserve_total",
                                     "Statements run by this daemon because no owner could.")),
      handles_(registry.add_gauge("gentianhill_remote_transactions",
                                  "Transactions of clients of this daemon that are open at an owner.")) {}

bool statement_forwarder::run(hand_on_request request, bool may_repeat, handler done) {
    request.kind = hand_on_kind::run;
    pending statement;
    statement.request = std::move(request);
    statement.may_repeat = may_repeat;
    statement.done = std::move(done);
    return send_to_owner(std::move(statement));
}

bool statement_forwarder::send_to_owner(pending statement) {
    if (!port_.hand_on || statement.owners_asked >= settings_.max_owners) {
        return false;
    }
    const std::string owner = owners_.owner_of(statement.request.selected_route->group);
    if (owner == owners_.own_name() || !address_of(owner)) {
        return false;
    }
    if (content_bytes(statement.request) > settings_.max_message_bytes) {
        return false;
    }
    send(owner, std::move(statement));
    return true;
}

void statement_forwarder::resume(const remote_transaction& transaction, hand_on_request request,
                                 handler done) {
    request.kind = hand_on_kind::resume;
    request.handle = transaction.handle;
    request.owner_incarnation = transaction.incarnation;
    pending statement;
    statement.request = std::move(request);
    statement.done = std::move(done);
    send(transaction.owner, std::move(statement));
}

void statement_forwarder::end(const remote_transaction& transaction) {
    note_ended(transaction);
    const std::optional<endpoint> address = address_of(transaction.owner);
    if (!address) {
        return;
    }
    hand_on_request request;
    request.kind = hand_on_kind::end;
    request.daemon = owners_.own_name();
    request.incarnation = incarnation_;
    request.handle = transaction.handle;
    request.owner_incarnation = transaction.incarnation;
    // Without an answer the owner ends the transaction by its idle limit.
    port_.hand_on(*address, request.encode(now()), settings_.probe_timeout,
                  [](const std::optional<std::string>&, const error&) {});
}

void statement_forwarder::send(const std::string& owner, pending statement) {
    const time_point current = now();
    statement.sent_at = current;
    ++statement.owners_asked;
    statement.request.daemon = owners_.own_name();
    statement.request.incarnation = incarnation_;
    const std::optional<endpoint> address = address_of(owner);
    const std::uint64_t number = ++last_number_;
    const std::string message = statement.request.encode(current);
    const duration timeout = std::max(
        statement.request.received_at + statement.request.selected_route->timeout - current, duration(0));
    peer& target = peers_[owner];
    if (target.open.empty()) {
        target.last_heard = current;
    }
    target.open.emplace(number, std::move(statement));
    handed_on_.add();
    // Only daemons that were listed are chosen.
    assert(address);
    port_.hand_on(*address, message, timeout + settings_.answer_margin,
                  [this, owner, number, alive = std::weak_ptr<bool>(alive_)](
                      const std::optional<std::string>& bytes, const error& reason) {
                      if (!alive.expired()) {
                          on_reply(owner, number, bytes, reason);
                      }
                  });
}

void statement_forwarder::on_reply(const std::string& owner, std::uint64_t number,
                                   const std::optional<std::string>& bytes, const error& reason) {
    peer& source = peers_[owner];
    const std::map<std::uint64_t, pending>::iterator found = source.open.find(number);
    if (bytes) {
        source.last_heard = now();
    }
    if (found == source.open.end()) {
        // Taken for lost before. A transaction that was opened meanwhile has no user.
        error ignored;
        const std::optional<hand_on_answer> late =
            bytes ? hand_on_answer::decode(*bytes, ignored) : std::nullopt;
        if (late && late->handle != 0) {
            end({owner, late->incarnation, late->handle});
        }
        return;
    }
    pending statement = std::move(found->second);
    source.open.erase(found);
    if (!bytes) {
        log_.write(
            log_level::info, "ownership", "hand_on_failed",
            {{"id", statement.request.client_statement.id}, {"owner", owner}, {"reason", reason.describe()}});
        if (is_not_processed(reason.code)) {
            if (reason.code != error_code::queue_full && reason.code != error_code::bad_value) {
                set_unavailable(owner, reason.describe());
            }
            on_not_run(owner, std::move(statement), hand_on_refusal::none);
        } else {
            if (reason.code == error_code::connection_lost) {
                set_unavailable(owner, reason.describe());
            }
            on_lost(owner, std::move(statement));
        }
        return;
    }
    error invalid;
    std::optional<hand_on_answer> answer = hand_on_answer::decode(*bytes, invalid);
    // A transaction lives in one process; another one can only refuse its statements.
    const bool is_of_other_process = answer && answer->refusal == hand_on_refusal::none &&
                                     statement.request.kind == hand_on_kind::resume &&
                                     answer->incarnation != statement.request.owner_incarnation;
    if (!answer || answer->daemon != owner || is_of_other_process) {
        log_.write(log_level::warning, "ownership", "answer_not_valid",
                   {{"id", statement.request.client_statement.id},
                    {"owner", owner},
                    {"reason", answer ? answer->daemon : invalid.describe()},
                    {"incarnation", answer ? answer->incarnation : ""},
                    {"expected_incarnation", statement.request.owner_incarnation}});
        on_lost(owner, std::move(statement));
        return;
    }
    on_answer(owner, std::move(statement), std::move(*answer));
}

void statement_forwarder::on_answer(const std::string& owner, pending statement, hand_on_answer answer) {
    if (answer.refusal != hand_on_refusal::none) {
        log_.write(log_level::info, "ownership", "owner_refused",
                   {{"id", statement.request.client_statement.id},
                    {"owner", owner},
                    {"refusal", to_string(answer.refusal)}});
        if (answer.refusal == hand_on_refusal::draining || answer.refusal == hand_on_refusal::unknown_group) {
            set_unavailable(owner, to_string(answer.refusal));
        }
        on_not_run(owner, std::move(statement), answer.refusal);
        return;
    }
    hand_on_outcome outcome;
    outcome.fate = hand_on_fate::answered;
    outcome.result = std::move(answer.result);
    if (answer.handle != 0) {
        outcome.transaction = remote_transaction{owner, answer.incarnation, answer.handle};
        note_opened(*outcome.transaction);
    } else if (statement.request.kind == hand_on_kind::resume) {
        note_ended(transaction_of(owner, statement.request));
    }
    statement.done(std::move(outcome));
}

void statement_forwarder::on_not_run(const std::string& owner, pending statement, hand_on_refusal refusal) {
    not_run_.add();
    const bool is_final = statement.request.kind == hand_on_kind::resume ||
                          refusal == hand_on_refusal::overloaded ||
                          refusal == hand_on_refusal::old_configuration;
    if (!is_final && owners_.owner_of(statement.request.selected_route->group) != owner) {
        // The handler stays here in case there is no further owner.
        const handler done = statement.done;
        if (send_to_owner(std::move(statement))) {
            return;
        }
        run_here_.add();
        done({hand_on_fate::not_run, refusal, {}, std::nullopt});
        return;
    }
    if (statement.request.kind == hand_on_kind::resume) {
        note_ended(transaction_of(owner, statement.request));
    } else {
        run_here_.add(refusal == hand_on_refusal::overloaded ? 0 : 1);
    }
    statement.done({hand_on_fate::not_run, refusal, {}, std::nullopt});
}

void statement_forwarder::on_lost(const std::string& owner, pending statement) {
    lost_.add();
    if (statement.may_repeat) {
        on_not_run(owner, std::move(statement), hand_on_refusal::none);
        return;
    }
    if (statement.request.kind == hand_on_kind::resume) {
        end(transaction_of(owner, statement.request));
    }
    statement.done({hand_on_fate::lost, hand_on_refusal::none, {}, std::nullopt});
}

remote_transaction statement_forwarder::transaction_of(const std::string& owner,
                                                       const hand_on_request& request) {
    return {owner, request.owner_incarnation, request.handle};
}

void statement_forwarder::note_opened(const remote_transaction& transaction) {
    if (peers_[transaction.owner].handles.emplace(transaction.incarnation, transaction.handle).second) {
        handles_.add(1);
    }
}

void statement_forwarder::note_ended(const remote_transaction& transaction) {
    const std::size_t ended =
        peers_[transaction.owner].handles.erase({transaction.incarnation, transaction.handle});
    handles_.add(-static_cast<double>(ended));
}

void statement_forwarder::forget_earlier(const std::string& owner, const std::string& incarnation) {
    const std::size_t forgotten = std::erase_if(
        peers_[owner].handles, [&incarnation](const std::pair<std::string, std::uint64_t>& key) {
            return key.first != incarnation;
        });
    if (forgotten > 0) {
        log_.write(log_level::info, "ownership", "owner_restarted",
                   {{"owner", owner}, {"incarnation", incarnation}, {"transactions_ended", forgotten}});
        handles_.add(-static_cast<double>(forgotten));
    }
}

std::optional<endpoint> statement_forwarder::address_of(const std::string& name) {
    std::optional<endpoint>& known = peers_[name].address;
    const std::optional<endpoint> listed = owners_.address_of(name);
    known = listed ? listed : known;
    return known;
}

void statement_forwarder::set_unavailable(const std::string& owner, std::string_view reason) {
    if (owners_.unavailable().count(owner) > 0) {
        return;
    }
    log_.write(log_level::warning, "ownership", "owner_unavailable", {{"owner", owner}, {"reason", reason}});
    owners_.set_available(owner, false);
}

void statement_forwarder::probe(const std::string& owner) {
    const std::optional<endpoint> address = address_of(owner);
    if (!address || !port_.hand_on) {
        return;
    }
    peer& probed = peers_[owner];
    probed.is_probed = true;
    probed.probed_at = now();
    hand_on_request request;
    request.daemon = owners_.own_name();
    request.incarnation = incarnation_;
    port_.hand_on(*address, request.encode(now()), settings_.probe_timeout,
                  [this, owner, alive = std::weak_ptr<bool>(alive_)](const std::optional<std::string>& bytes,
                                                                     const error& reason) {
                      if (!alive.expired()) {
                          on_probed(owner, bytes, reason);
                      }
                  });
}

void statement_forwarder::on_probed(const std::string& owner, const std::optional<std::string>& bytes,
                                    const error& reason) {
    peer& probed = peers_[owner];
    probed.is_probed = false;
    error invalid;
    const std::optional<hand_on_answer> answer =
        bytes ? hand_on_answer::decode(*bytes, invalid) : std::nullopt;
    if (!answer) {
        set_unavailable(owner, bytes ? invalid.describe() : reason.describe());
        fail_open_statements(owner);
        return;
    }
    probed.last_heard = now();
    forget_earlier(owner, answer->incarnation);
    if (answer->refusal == hand_on_refusal::none && owners_.unavailable().count(owner) > 0) {
        log_.write(log_level::info, "ownership", "owner_available", {{"owner", owner}});
        owners_.set_available(owner, true);
    }
}

void statement_forwarder::fail_open_statements(const std::string& owner) {
    std::map<std::uint64_t, pending> open;
    open.swap(peers_[owner].open);
    for (std::map<std::uint64_t, pending>::value_type& entry : open) {
        log_.write(log_level::info, "ownership", "hand_on_failed",
                   {{"id", entry.second.request.client_statement.id},
                    {"owner", owner},
                    {"reason", "the owner is silent"}});
        on_lost(owner, std::move(entry.second));
    }
}

void statement_forwarder::tick() {
    const time_point current = now();
    // Names are collected first, since a probe may fail and change the maps.
    std::vector<std::string> to_probe;
    for (const std::map<std::string, peer>::value_type& entry : peers_) {
        const peer& known = entry.second;
        const bool is_silent = !known.open.empty() && current - known.last_heard > settings_.silence &&
                               current - known.open.begin()->second.sent_at > settings_.silence;
        const bool keeps_alive =
            !known.handles.empty() && current - known.probed_at > settings_.keep_alive_interval;
        if (!known.is_probed && (is_silent || keeps_alive)) {
            to_probe.push_back(entry.first);
        }
    }
    for (const std::string& owner : owners_.unavailable()) {
        const peer& known = peers_[owner];
        if (!known.is_probed && current - known.probed_at > settings_.recovery_interval) {
            to_probe.push_back(owner);
        }
    }
    for (const std::string& owner : to_probe) {
        probe(owner);
    }
}

} // namespace gentianhill
