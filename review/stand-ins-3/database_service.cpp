#include "database_service.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int listen_queue = 128;
constexpr milliseconds replication_interval{5};

/// Takes the next field of a line.
std::string take_field(std::string& rest) {
    const std::size_t blank = rest.find(' ');
    std::string field = rest.substr(0, blank);
    rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
    return field;
}

struct position {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
};

position parse_position(const std::string& text) {
    const std::size_t dot = text.find('.');
    return {std::strtoull(text.c_str(), nullptr, 10), std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

} // namespace

database_service::database_service(event_poll& loop, recorder& record, std::string name,
                                   const service_times& times)
    : loop_(loop), record_(record), name_(std::move(name)), times_(times) {
    replicate();
}

database_service::~database_service() = default;

std::uint16_t database_service::add(const std::string& id) {
    std::unique_ptr<instance> added = std::make_unique<instance>();
    added->id = id;
    added->primary = instances_.empty();
    open_listener(*added);
    const std::uint16_t port = added->port;
    instances_.emplace(id, std::move(added));
    return port;
}

void database_service::open_listener(instance& target) {
    target.listener = listen_on_loopback(target.port, listen_queue);
    instance* const served = &target;
    accept_all(loop_, target.listener, [this, served](int descriptor) {
        const std::shared_ptr<connection> opened = std::make_shared<connection>();
        opened->number = ++last_connection_;
        opened->socket = std::make_shared<channel>(loop_, descriptor);
        opened->peer_port = peer_port_of(descriptor);
        const std::weak_ptr<connection> from = opened;
        opened->socket->on_input = [this, served, from] {
            if (const std::shared_ptr<connection> open = from.lock()) {
                on_input(*served, open);
            }
        };
        opened->socket->on_end = [this, served, from] {
            const std::shared_ptr<connection> open = from.lock();
            if (open != nullptr && open->state != 'I') {
                record_.line("instance " + served->id + " connection " + std::to_string(open->number) +
                             " closed: its transaction is rolled back");
            }
            if (open != nullptr) {
                served->connections.erase(open->number);
                // Kept until its own callback has returned.
                loop_.call_after(milliseconds(0), [open] { static_cast<void>(open); });
            }
        };
        served->connections.emplace(opened->number, opened);
    });
}

bool database_service::is_cut(const instance& target, const connection& from) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const std::pair<std::string, pid_t>& cut) {
        return cut.first == target.id && holds_port(cut.second, from.peer_port);
    });
}

void database_service::set_cut(const std::string& id, pid_t process, bool is_cut) {
    if (is_cut) {
        cuts_.emplace(id, process);
        return;
    }
    cuts_.erase({id, process});
    instance& target = *instances_.at(id);
    const std::map<std::uint64_t, std::shared_ptr<connection>> open = target.connections;
    for (const auto& [number, each] : open) {
        send(target, *each, "");
        on_input(target, each);
    }
}

void database_service::send(const instance& target, connection& to, const std::string& bytes) {
    to.held += bytes;
    if (!to.held.empty() && !is_cut(target, to)) {
        to.socket->send(std::exchange(to.held, {}));
    }
}

void database_service::set_up(const std::string& id, bool up) {
    instance& target = *instances_.at(id);
    if (target.up == up) {
        return;
    }
    record_.line("instance " + id + (up ? " starts again with its log" : " crashes"));
    target.up = up;
    ++target.run;
    target.waiting.clear();
    target.fenced_term = 0;
    if (up) {
        target.primary = target.primary && target.term == newest_term_;
        open_listener(target);
        return;
    }
    loop_.unwatch(target.listener);
    ::close(target.listener);
    for (const auto& [number, open] : target.connections) {
        open->socket->close(true);
    }
    target.connections.clear();
}

void database_service::set_deaf(const std::string& id, bool deaf) {
    instances_.at(id)->deaf = deaf;
}

bool database_service::holds(const std::string& id, const std::string& commit) const {
    const std::vector<log_entry>& log = instances_.at(id)->log;
    return std::any_of(log.begin(), log.end(),
                       [&commit](const log_entry& entry) { return entry.commit == commit; });
}

std::string database_service::position_of(const instance& target) {
    const std::uint64_t term = target.log.empty() ? 1 : target.log.back().term;
    return std::to_string(term) + "." + std::to_string(target.log.size());
}

std::string database_service::status_row(const instance& target) const {
    std::ostringstream row;
    row << "DATAROW " << (target.primary ? "primary " : "replica ") << target.term << ' '
        << position_of(target) << ' ' << target.fenced_term << " 0 1 " << target.connections.size();
    return row.str();
}

void database_service::on_input(instance& target, const std::shared_ptr<connection>& from) {
    std::string& input = from->socket->input;
    if (!input.empty() && is_cut(target, *from)) {
        return;
    }
    for (std::size_t end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
        from->queued.push_back(input.substr(0, end));
        input.erase(0, end + 2);
    }
    next(target, from);
}

void database_service::next(instance& target, const std::shared_ptr<connection>& from) {
    while (!from->busy && !from->queued.empty() && from->socket->is_open()) {
        const std::string line = from->queued.front();
        from->queued.pop_front();
        execute(target, from, line);
    }
}

void database_service::answer(instance& target, const std::shared_ptr<connection>& from,
                              const std::string& lines) {
    send(target, *from, lines + "\r\nREADY " + from->state + " " + position_of(target) + "\r\n");
}

void database_service::answer_signed(instance& target, const std::shared_ptr<connection>& from,
                                     const std::string& row) {
    std::string lines = row.empty() ? "" : "DATAROW " + row + "\r\n";
    lines += "COMPLETE 7." + std::to_string(++last_signature_) + "." + target.id;
    answer(target, from, lines);
}

void database_service::execute(instance& target, const std::shared_ptr<connection>& from,
                               const std::string& line) {
    std::string rest = line;
    const std::string kind = take_field(rest);
    if (kind == "STARTUP") {
        const std::string service = take_field(rest);
        take_field(rest);
        if (service != name_ || (!rest.empty() && rest != target.id)) {
            from->socket->send("ERROR MISROUTED " + target.id + "\r\n");
            from->socket->close(false);
            return;
        }
        if (target.connections.size() > times_.max_connections) {
            from->socket->send("ERROR CONNLIMIT " + target.id + "\r\n");
            from->socket->close(false);
            return;
        }
        from->started = true;
        send(target, *from, "READY I " + position_of(target) + "\r\n");
        return;
    }
    if (kind != "QUERY" || !from->started) {
        from->socket->close(false);
        return;
    }
    const std::string id = take_field(rest);
    std::string text = rest;
    const std::string word = take_field(rest);
    if (word == "STATUS") {
        answer(target, from, status_row(target) + "\r\nCOMPLETE -");
    } else if (word == "PAUSE") {
        const std::uint64_t term = std::strtoull(rest.c_str(), nullptr, 10);
        if (!target.primary && term > target.term) {
            target.fenced_term = std::max(target.fenced_term, term);
        }
        record_.line("instance " + target.id + " takes " + text);
        answer(target, from, status_row(target) + "\r\nCOMPLETE -");
    } else if (word == "RESUME") {
        target.fenced_term = 0;
        record_.line("instance " + target.id + " takes " + text);
        answer(target, from, status_row(target) + "\r\nCOMPLETE -");
    } else if (word == "STEPDOWN") {
        if (target.primary && target.term < std::strtoull(rest.c_str(), nullptr, 10)) {
            target.primary = false;
            target.waiting.clear();
        }
        record_.line("instance " + target.id + " takes " + text);
        answer(target, from, status_row(target) + "\r\nCOMPLETE -");
    } else if (word == "RESET") {
        from->prepared.clear();
        answer(target, from, "COMPLETE -");
    } else if (word == "SET" || word == "DEALLOC") {
        answer(target, from, "COMPLETE -");
    } else if (word == "PREPARE") {
        const std::string name = take_field(rest);
        from->prepared[name] = rest;
        answer(target, from, "COMPLETE -");
    } else if (word == "ROLLBACK") {
        if (from->state != 'I') {
            record_.line("instance " + target.id + " connection " + std::to_string(from->number) +
                         " runs ROLLBACK");
        }
        from->state = 'I';
        from->transaction.clear();
        answer(target, from, "COMPLETE -");
    } else {
        from->busy = true;
        const std::uint64_t run = target.run;
        loop_.call_after(times_.work, [this, served = &target, from, id, text, run] {
            if (served->run == run && from->socket->is_open()) {
                run_client(*served, from, id, text);
            }
        });
    }
}

void database_service::run_client(instance& target, const std::shared_ptr<connection>& from,
                                  const std::string& id, const std::string& text) {
    from->busy = false;
    std::string rest = text;
    std::string word = take_field(rest);
    std::string shown = text;
    if (word == "SINCE") {
        const position wanted = parse_position(take_field(rest));
        shown = rest;
        word = take_field(rest);
        const std::uint64_t term = target.log.empty() ? 1 : target.log.back().term;
        if (target.log.size() < wanted.number || term < wanted.term) {
            answer(target, from, "ERROR LAGGING " + target.id);
            next(target, from);
            return;
        }
    }
    if (from->state == 'E') {
        answer(target, from, "ERROR MALFORMED the transaction has failed");
        next(target, from);
        return;
    }
    if (word == "BEGIN") {
        if (rest != "READ" && !target.primary) {
            answer(target, from, "ERROR READONLY " + target.id);
        } else {
            from->state = 'T';
            from->reads_only = rest == "READ";
            from->wrote = false;
            from->transaction.clear();
            record_.line("instance " + target.id + " connection " + std::to_string(from->number) +
                         " begins (" + id + ")");
            answer(target, from, "COMPLETE -");
        }
        next(target, from);
        return;
    }
    bool writes = word == "WRITE";
    if (word == "EXECUTE") {
        const auto prepared = from->prepared.find(take_field(rest));
        if (prepared == from->prepared.end()) {
            answer(target, from, "ERROR NOSTMT " + target.id);
            next(target, from);
            return;
        }
        writes = prepared->second.rfind("WRITE", 0) == 0;
    }
    const bool in_transaction = from->state == 'T';
    const bool needs_lead =
        writes || (in_transaction && !from->reads_only && (word != "COMMIT" || from->wrote));
    if (needs_lead && !target.primary) {
        from->state = in_transaction ? 'E' : 'I';
        answer(target, from, "ERROR READONLY " + target.id);
        next(target, from);
        return;
    }
    record_.line("instance " + target.id + " connection " + std::to_string(from->number) + " runs " + id +
                 " " + shown);
    if (on_run) {
        on_run(target.id, from->number, from->transaction, id, shown);
    }
    if (word == "COMMIT") {
        from->state = 'I';
        from->transaction.clear();
        if (from->wrote) {
            commit(target, from, id);
            return;
        }
        answer_signed(target, from, "");
    } else if (writes && !in_transaction) {
        commit(target, from, id);
        return;
    } else {
        from->wrote = from->wrote || writes;
        if (in_transaction) {
            from->transaction.push_back(id);
        }
        answer_signed(target, from, writes ? "" : "row-of-" + id);
    }
    next(target, from);
}

void database_service::commit(instance& target, const std::shared_ptr<connection>& from,
                              const std::string& id) {
    target.log.push_back({target.term, id});
    from->busy = true;
    target.waiting.push_back({target.log.size(), from->number, id});
    replicate_from(target);
}

void database_service::replicate() {
    for (const auto& [id, each] : instances_) {
        if (each->up && each->primary) {
            replicate_from(*each);
        }
    }
    loop_.call_after(replication_interval, [this] { replicate(); });
}

void database_service::replicate_from(instance& leader) {
    for (const auto& [id, each] : instances_) {
        instance& other = *each;
        if (&other == &leader || !other.up) {
            continue;
        }
        if (other.primary && other.term > leader.term) {
            if (!leader.follows_soon) {
                leader.follows_soon = true;
                loop_.call_after(times_.follow, [served = &leader] {
                    served->primary = false;
                    served->follows_soon = false;
                    served->waiting.clear();
                });
            }
            continue;
        }
        if (other.primary || other.deaf || other.fenced_term > leader.term || other.term > leader.term) {
            continue;
        }
        loop_.call_after(times_.replication, [this, from = &leader, to = &other, log = leader.log,
                                              term = leader.term, run = other.run] {
            const bool takes = to->up && to->run == run && !to->deaf && !to->primary && to->term <= term &&
                               to->fenced_term <= term && from->up && from->primary && from->term == term;
            if (!takes) {
                return;
            }
            if (to->term < term) {
                // Follows the new primary; what it had received beyond that one's log is rolled back.
                to->term = term;
                to->fenced_term = 0;
                to->log = log;
            } else if (log.size() > to->log.size()) {
                to->log = log;
            }
            from->received[to->id] = std::max(from->received[to->id], to->log.size());
            acknowledge(*from);
        });
    }
}

void database_service::acknowledge(instance& leader) {
    while (!leader.waiting.empty()) {
        const waiting_commit front = leader.waiting.front();
        const bool is_received =
            std::any_of(leader.received.begin(), leader.received.end(),
                        [&front](const auto& entry) { return entry.second >= front.length; });
        if (!is_received) {
            return;
        }
        leader.waiting.pop_front();
        record_.line("instance " + leader.id + " acknowledges the commit " + front.id);
        const auto found = leader.connections.find(front.connection);
        if (found != leader.connections.end()) {
            const std::shared_ptr<connection> from = found->second;
            from->busy = false;
            answer_signed(leader, from, "");
            next(leader, from);
        }
    }
}

bool database_service::promote(const std::string& id) {
    const auto found = instances_.find(id);
    if (found == instances_.end() || !found->second->up) {
        return false;
    }
    const bool is_present_primary = found->second->primary && found->second->term == newest_term_;
    if (!is_present_primary) {
        loop_.call_after(times_.promotion, [this, id] { take_effect(id); });
    }
    return true;
}

void database_service::take_effect(const std::string& id) {
    instance& target = *instances_.at(id);
    if (!target.up || (target.primary && target.term == newest_term_)) {
        return;
    }
    target.primary = true;
    target.term = ++newest_term_;
    target.fenced_term = 0;
    target.received.clear();
    record_.line("instance " + id + " leads term " + std::to_string(target.term) + " with " +
                 std::to_string(target.log.size()) + " commits");
    for (const auto& [other_id, other] : instances_) {
        if (!other->primary) {
            other->fenced_term = 0;
        }
    }
    if (on_promoted) {
        on_promoted(id, target.term);
    }
}

} // namespace review
