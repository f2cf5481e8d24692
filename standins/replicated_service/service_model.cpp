#include "standins/replicated_service/service_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace gentianhill::standins {

namespace {

using namespace std::chrono_literals;

constexpr duration replication_interval = 5ms;

bool is_own_command(command_kind kind) {
    return kind != command_kind::read && kind != command_kind::write && kind != command_kind::execute &&
           kind != command_kind::commit;
}

} // namespace

model_command::model_command(const instance_command& command)
    : kind(command.kind),
      id(command.id),
      name(command.name),
      argument(command.argument.empty() ? command.text : command.argument),
      writes(command.writes),
      since(command.min_position),
      term(command.term) {}

service_model::service_model(const service_model_settings& settings) : settings_(settings) {}

void service_model::add(const std::string& id) {
    instance added;
    added.primary = instances_.empty();
    instances_.emplace(id, std::move(added));
}

std::vector<std::string> service_model::ids() const {
    std::vector<std::string> result;
    for (const std::map<std::string, instance>::value_type& entry : instances_) {
        result.push_back(entry.first);
    }
    return result;
}

std::string service_model::leader() const {
    std::string found;
    term_number term = 0;
    for (const std::map<std::string, instance>::value_type& entry : instances_) {
        if (entry.second.primary && entry.second.term > term) {
            found = entry.first;
            term = entry.second.term;
        }
    }
    return found;
}

void service_model::start() {
    replicate();
}

void service_model::set_up(const std::string& id, bool up) {
    instance& target = instances_.at(id);
    if (target.up != up) {
        target.up = up;
        ++target.incarnation;
        target.connections = 0;
        target.waiting.clear();
        target.fenced_term = up ? 0 : target.fenced_term;
        // A crashed primary comes back as a replica when another instance was promoted meanwhile.
        if (up && target.primary && target.term < newest_term_) {
            target.primary = false;
        }
    }
}

void service_model::set_capacity(std::size_t slots, duration work) {
    settings_.slots = slots;
    settings_.work = work;
}

duration service_model::take_slot(const std::string& id) {
    if (settings_.slots == 0) {
        return settings_.work;
    }
    std::vector<time_point>& free_at = instances_.at(id).slots_free_at;
    free_at.resize(settings_.slots);
    const std::vector<time_point>::iterator first = std::min_element(free_at.begin(), free_at.end());
    *first = std::max(*first, now()) + settings_.work;
    return *first - now();
}

void service_model::rebirth(const std::string& id) {
    instance& target = instances_.at(id);
    const std::uint64_t incarnation = target.incarnation + 1;
    target = {};
    target.incarnation = incarnation;
    target.term = 0;
    for (std::map<std::string, instance>::value_type& entry : instances_) {
        entry.second.received.erase(id);
    }
}

void service_model::set_cut(const std::string& a, const std::string& b, bool cut) {
    const std::pair<std::string, std::string> key{std::min(a, b), std::max(a, b)};
    if (cut) {
        cuts_.insert(key);
    } else {
        cuts_.erase(key);
    }
}

bool service_model::is_cut(const std::string& a, const std::string& b) const {
    return cuts_.find({std::min(a, b), std::max(a, b)}) != cuts_.end();
}

void service_model::replicate() {
    for (std::map<std::string, instance>::value_type& entry : instances_) {
        if (entry.second.up && entry.second.primary) {
            replicate_from(entry.first, entry.second);
        }
    }
    call_after(replication_interval, [this] { replicate(); });
}

void service_model::replicate_from(const std::string& id, instance& leader) {
    for (std::map<std::string, instance>::value_type& entry : instances_) {
        if (entry.first == id || !entry.second.up || is_cut(id, entry.first)) {
            continue;
        }
        instance& other = entry.second;
        if (other.primary && other.term > leader.term) {
            // This primary is superseded and notices after some time.
            if (!leader.sees_newer_since) {
                leader.sees_newer_since = now();
            } else if (now() - *leader.sees_newer_since >= settings_.follow) {
                leader.primary = false;
                leader.waiting.clear();
                return;
            }
            continue;
        }
        const std::map<std::string, std::size_t>::iterator known = leader.received.find(entry.first);
        const bool up_to_date = known != leader.received.end() && known->second == leader.log.size() &&
                                other.term == leader.term && other.log.size() == leader.log.size();
        if (up_to_date) {
            continue;
        }
        call_after(settings_.replication,
                   [this, id, to = entry.first, log = leader.log, term = leader.term,
                    incarnation = other.incarnation] { receive(id, to, log, term, incarnation); });
    }
}

void service_model::receive(const std::string& from, const std::string& to,
                            const std::vector<model_entry>& log, term_number term,
                            std::uint64_t incarnation) {
    instance& replica = instances_.at(to);
    instance& leader = instances_.at(from);
    const bool refuses = !replica.up || replica.incarnation != incarnation || replica.primary ||
                         replica.term > term || replica.fenced_term > term || is_cut(from, to);
    if (refuses || !leader.up || !leader.primary || leader.term != term) {
        return;
    }
    if (replica.term < term) {
        // A replica that has not followed a promotion in time hears of it here.
        replica.term = term;
        replica.fenced_term = 0;
        replica.log = log;
        replica.applied = std::min(replica.applied, log.size());
    } else if (log.size() > replica.log.size()) {
        replica.log = log;
    }
    const std::size_t length = replica.log.size();
    call_after(settings_.apply, [this, to, length, incarnation] {
        instance& applying = instances_.at(to);
        if (applying.incarnation == incarnation) {
            applying.applied = std::max(applying.applied, std::min(length, applying.log.size()));
        }
    });
    call_after(settings_.replication, [this, from, to, length, term] {
        instance& primary = instances_.at(from);
        if (primary.up && primary.primary && primary.term == term && !is_cut(from, to)) {
            std::size_t& received = primary.received[to];
            received = std::max(received, length);
            acknowledge(primary);
        }
    });
}

void service_model::acknowledge(instance& leader) {
    while (!leader.waiting.empty()) {
        const waiting_commit& front = leader.waiting.front();
        const std::size_t holders = static_cast<std::size_t>(
            std::count_if(leader.received.begin(), leader.received.end(),
                          [&front](const std::map<std::string, std::size_t>::value_type& entry) {
                              return entry.second >= front.length;
                          }));
        if (holders < settings_.sync_replicas) {
            return;
        }
        acknowledged_.emplace(front.id, now());
        const waiting_commit done = std::move(leader.waiting.front());
        leader.waiting.pop_front();
        leader.applied = std::max(leader.applied, done.length);
        instance_answer answer = make_answer(leader, *done.connection, statement_outcome::done);
        answer.result.signature = "signed-" + done.id;
        done.done(std::move(answer));
    }
}

bool service_model::promote(const std::string& id) {
    const std::map<std::string, instance>::iterator found = instances_.find(id);
    if (found == instances_.end() || !found->second.up) {
        return false;
    }
    if (found->second.primary && found->second.term == newest_term_) {
        return true;
    }
    call_after(settings_.promotion, [this, id] { take_effect(id); });
    return true;
}

void service_model::take_effect(const std::string& id) {
    instance& target = instances_.at(id);
    if (!target.up || (target.primary && target.term == newest_term_)) {
        return;
    }
    for (const model_acknowledgement& commit : in_order_) {
        if (!find_entry(target, commit.id)) {
            violations_.push_back(fmt::format("promotion of {} loses confirmed commit {}", id, commit.id));
        }
    }
    ++promotions_;
    target.primary = true;
    target.term = ++newest_term_;
    target.fenced_term = 0;
    target.received.clear();
    target.sees_newer_since.reset();
    target.applied = target.log.size();
    // The platform lifts the fences of all replicas at once, and each follows a moment after that. Meanwhile
    // one that reaches the old primary receives from it.
    for (std::map<std::string, instance>::value_type& entry : instances_) {
        if (entry.first != id && entry.second.up && !entry.second.primary) {
            entry.second.fenced_term = 0;
            call_after(settings_.notice,
                       [this, from = id, to = entry.first, term = target.term,
                        incarnation = entry.second.incarnation] { follow(from, to, term, incarnation); });
        }
    }
}

void service_model::follow(const std::string& from, const std::string& to, term_number term,
                           std::uint64_t incarnation) {
    const instance& leader = instances_.at(from);
    instance& replica = instances_.at(to);
    if (leader.up && leader.primary && leader.term == term && replica.up &&
        replica.incarnation == incarnation && !replica.primary && replica.term < term && !is_cut(from, to)) {
        replica.term = term;
        replica.log = leader.log;
        replica.applied = std::min(replica.applied, leader.log.size());
    }
}

std::optional<std::size_t> service_model::find_entry(const instance& holder, const std::string& id) {
    const std::vector<model_entry>::const_iterator found = std::find_if(
        holder.log.begin(), holder.log.end(), [&id](const model_entry& entry) { return entry.id == id; });
    return found == holder.log.end()
               ? std::nullopt
               : std::optional<std::size_t>(static_cast<std::size_t>(found - holder.log.begin()));
}

void service_model::confirm(const std::string& id) {
    if (committed_.count(id) == 0) {
        return;
    }
    // The log of the newest term stands, also while nobody leads.
    const std::map<std::string, instance>::const_iterator standing =
        std::max_element(instances_.begin(), instances_.end(),
                         [](const std::map<std::string, instance>::value_type& a,
                            const std::map<std::string, instance>::value_type& b) {
                             return std::tuple(a.second.term, a.second.primary, a.second.log.size()) <
                                    std::tuple(b.second.term, b.second.primary, b.second.log.size());
                         });
    const std::optional<std::size_t> index = find_entry(standing->second, id);
    if (!index) {
        violations_.push_back(
            fmt::format("commit {} is confirmed, but {} leads without it", id, standing->first));
        return;
    }
    in_order_.push_back({id, now(), *index});
}

std::shared_ptr<model_connection> service_model::open(const std::string& id) {
    instance& target = instances_.at(id);
    if (!target.up || target.connections >= settings_.max_connections) {
        return nullptr;
    }
    ++target.connections;
    std::shared_ptr<model_connection> connection = std::make_shared<model_connection>();
    connection->instance = id;
    connection->incarnation = target.incarnation;
    return connection;
}

void service_model::close(const std::shared_ptr<model_connection>& connection) {
    instance& target = instances_.at(connection->instance);
    if (connection->incarnation == target.incarnation && target.connections > 0) {
        --target.connections;
    }
    connection->incarnation = 0;
}

void service_model::handle(const std::shared_ptr<model_connection>& connection, const model_command& command,
                           answer_handler done) {
    const duration delay = is_own_command(command.kind) ? duration(0) : take_slot(connection->instance);
    call_after(delay,
               [this, connection, command, done = std::move(done)] { run(connection, command, done); });
}

log_position service_model::position_at(const instance& holder, std::size_t length) {
    return {length > 0 ? holder.log[length - 1].term : 0, length};
}

instance_answer service_model::make_answer(const instance& target, const model_connection& connection,
                                           statement_outcome outcome) const {
    instance_answer answer;
    answer.result.outcome = outcome;
    answer.result.state = connection.state;
    answer.result.position = position_at(target, target.primary ? target.log.size() : target.applied);
    return answer;
}

void service_model::run(const std::shared_ptr<model_connection>& connection, const model_command& command,
                        const answer_handler& done) {
    instance& target = instances_.at(connection->instance);
    if (!target.up || target.incarnation != connection->incarnation) {
        return;
    }
    if (is_own_command(command.kind)) {
        done(run_own(target, *connection, command));
        return;
    }
    run_client(target, connection, command, done);
}

instance_answer service_model::run_own(instance& target, model_connection& connection,
                                       const model_command& command) {
    const log_position position = position_at(target, target.primary ? target.log.size() : target.applied);
    switch (command.kind) {
    case command_kind::begin:
    case command_kind::begin_read:
        if (command.since && position < *command.since) {
            return make_answer(target, connection, statement_outcome::lagging);
        }
        if (command.kind == command_kind::begin && !target.primary) {
            return make_answer(target, connection, statement_outcome::read_only);
        }
        connection.state = transaction_state::open;
        connection.reads_only = command.kind == command_kind::begin_read;
        connection.wrote = false;
        connection.transaction = ++last_transaction_;
        break;
    case command_kind::rollback:
        connection.state = transaction_state::idle;
        break;
    case command_kind::set_value:
        connection.values[command.name] = command.argument;
        break;
    case command_kind::prepare:
        connection.prepared[command.name] = {command.argument, command.writes};
        break;
    case command_kind::reset:
        connection.values.clear();
        connection.prepared.clear();
        break;
    case command_kind::fence:
        if (command.term > target.term && !target.primary) {
            target.fenced_term = std::max(target.fenced_term, command.term);
        }
        break;
    case command_kind::unfence:
        target.fenced_term = 0;
        break;
    case command_kind::step_down:
        if (target.primary && target.term < command.term) {
            target.primary = false;
            target.waiting.clear();
        }
        break;
    default:
        break;
    }
    instance_answer answer = make_answer(target, connection, statement_outcome::done);
    const bool states = command.kind == command_kind::status || command.kind == command_kind::fence ||
                        command.kind == command_kind::unfence || command.kind == command_kind::step_down;
    if (states) {
        instance_status status;
        status.is_primary = target.primary;
        status.term = target.term;
        status.log_end = position_at(target, target.log.size());
        status.fenced_term = target.fenced_term;
        status.connections = static_cast<std::int64_t>(target.connections);
        answer.status = status;
    }
    return answer;
}

void service_model::run_client(instance& target, const std::shared_ptr<model_connection>& connection,
                               const model_command& command, const answer_handler& done) {
    bool writes = command.kind == command_kind::write;
    if (command.kind == command_kind::execute) {
        const std::map<std::string, std::pair<std::string, bool>>::iterator prepared =
            connection->prepared.find(command.name);
        if (prepared == connection->prepared.end()) {
            done(make_answer(target, *connection, statement_outcome::no_statement));
            return;
        }
        writes = prepared->second.second;
    }
    const log_position position = position_at(target, target.primary ? target.log.size() : target.applied);
    if (command.since && position < *command.since) {
        done(make_answer(target, *connection, statement_outcome::lagging));
        return;
    }
    const bool in_transaction = connection->state == transaction_state::open;
    const bool needs_lead = writes || (in_transaction && !connection->reads_only &&
                                       (command.kind != command_kind::commit || connection->wrote));
    if (needs_lead && !target.primary) {
        connection->state = in_transaction ? transaction_state::failed : transaction_state::idle;
        done(make_answer(target, *connection, statement_outcome::read_only));
        return;
    }
    if (target.fails) {
        done(make_answer(target, *connection, statement_outcome::failed));
        return;
    }
    if (on_run) {
        on_run(command, *connection);
    }
    if (command.kind == command_kind::commit) {
        connection->state = transaction_state::idle;
        if (connection->wrote) {
            commit(target, connection, command.id, done);
            return;
        }
    } else if (writes) {
        if (!in_transaction) {
            commit(target, connection, command.id, done);
            return;
        }
        connection->wrote = true;
    } else if (on_read) {
        const std::size_t seen = target.primary ? target.log.size() : target.applied;
        on_read(command, *connection,
                {target.log.begin(), target.log.begin() + static_cast<std::ptrdiff_t>(seen)});
    }
    instance_answer answer = make_answer(target, *connection, statement_outcome::done);
    answer.result.signature = "signed-" + command.id;
    answer.result.rows = {"row-" + command.id};
    done(std::move(answer));
}

void service_model::commit(instance& target, const std::shared_ptr<model_connection>& connection,
                           const std::string& id, const answer_handler& done) {
    target.log.push_back({id, target.term});
    if (!committed_.insert(id).second) {
        violations_.push_back(fmt::format("statement {} has committed twice", id));
    }
    target.waiting.push_back({target.log.size(), id, connection, done});
    replicate_from(connection->instance, target);
}

} // namespace gentianhill::standins
