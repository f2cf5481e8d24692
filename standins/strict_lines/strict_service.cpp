#include "standins/strict_lines/strict_service.h"

#include <event2/listener.h>
#include <fmt/format.h>

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace gentianhill::standins {

namespace {

using namespace std::chrono_literals;

/// Time until a replica has received a commit, at most.
constexpr duration receive_time = 3ms;
/// Time in which a read, write or commit runs, at most.
constexpr duration work_time = 3ms;
constexpr duration slow_work_time = 300ms;
/// Time in which the last bytes of a closed connection are sent.
constexpr duration close_time = 1s;
constexpr int accept_backlog = 128;
constexpr std::string_view odd_characters = "\n\r\t \x01\x7f";

/// Removes the first field and its blank.
std::string take_word(std::string& text) {
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

} // namespace

struct strict_service::instance {
    std::string id;
    strict_service* owner = nullptr;
    evconnlistener* listener = nullptr;
    std::size_t received = 0;
    std::size_t applied = 0;
    /// Term of the newest PAUSE; 0 while none is in effect.
    std::uint64_t held = 0;

    ~instance() {
        if (listener != nullptr) {
            evconnlistener_free(listener);
        }
    }
};

struct strict_service::connection {
    std::uint64_t number = 0;
    instance* at = nullptr;
    std::unique_ptr<line_channel> channel;
    std::deque<std::string> waiting;
    bool running = false;
    bool opened = false;
    char state = 'I';
    bool reads_only = false;
    std::uint64_t term = 0;
    std::string begin_id;
    std::vector<std::string> writes;
    session_values values;
    prepared_shapes prepared;
};

strict_service::strict_service(event_loop& loop, exchange_ledger& ledger, std::string name,
                               std::uint64_t seed)
    : loop_(loop), ledger_(ledger), name_(std::move(name)), random_(seed) {}

strict_service::~strict_service() = default;

std::uint16_t strict_service::add(const std::string& id) {
    std::unique_ptr<instance> added = std::make_unique<instance>();
    added->id = id;
    added->owner = this;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    added->listener = evconnlistener_new_bind(
        loop_.native(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* argument) {
            instance* at = static_cast<instance*>(argument);
            at->owner->accept(*at, descriptor);
        },
        added.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, accept_backlog,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (added->listener == nullptr) {
        return 0;
    }
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(added->listener), reinterpret_cast<sockaddr*>(&address), &size);
    if (leader_.empty()) {
        leader_ = id;
    }
    instances_.emplace(id, std::move(added));
    return ntohs(address.sin_port);
}

bool strict_service::promote(const std::string& id) {
    const std::map<std::string, std::unique_ptr<instance>>::const_iterator found = instances_.find(id);
    if (found == instances_.end()) {
        return false;
    }
    if (id == leader_) {
        return true;
    }
    ++term_;
    leader_ = id;
    log_length_ = found->second->received;
    found->second->applied = log_length_;
    for (const std::map<std::string, std::unique_ptr<instance>>::value_type& entry : instances_) {
        entry.second->held = 0;
        entry.second->received = std::min(entry.second->received, log_length_);
        entry.second->applied = std::min(entry.second->applied, log_length_);
    }
    return true;
}

void strict_service::accept(instance& at, int descriptor) {
    ++accepted_connections_;
    const std::uint64_t number = ++last_connection_;
    const std::shared_ptr<connection> added = std::make_shared<connection>();
    added->number = number;
    added->at = &at;
    added->channel = std::make_unique<line_channel>(loop_.native(), descriptor);
    added->channel->on_line = [this, weak = std::weak_ptr<connection>(added)](std::string line) {
        if (const std::shared_ptr<connection> from = weak.lock()) {
            on_line(from, std::move(line));
        }
    };
    added->channel->on_end = [this, number] { forget(number); };
    connections_.emplace(number, added);
}

void strict_service::forget(std::uint64_t number) {
    // The channel must not be destroyed from within its own callback.
    loop_.run_after(duration(0), [this, number] { connections_.erase(number); });
}

void strict_service::close(connection& closed) {
    closed.channel->close();
    loop_.run_after(close_time, [this, number = closed.number] { connections_.erase(number); });
}

void strict_service::on_line(const std::shared_ptr<connection>& from, std::string line) {
    from->waiting.push_back(std::move(line));
    if (!from->running) {
        run_next(from);
    }
}

void strict_service::run_next(const std::shared_ptr<connection>& from) {
    from->running = !from->waiting.empty();
    if (!from->running) {
        return;
    }
    const std::string line = std::move(from->waiting.front());
    from->waiting.pop_front();
    run(from, line);
}

void strict_service::run(const std::shared_ptr<connection>& from, const std::string& line) {
    std::string rest = line;
    const std::string word = take_word(rest);
    if (word == "STARTUP" && !from->opened) {
        const std::string group = take_word(rest);
        static_cast<void>(take_word(rest));
        if (group != name_ || rest != from->at->id) {
            from->channel->send("ERROR MISROUTED " + from->at->id + "\r\n");
            close(*from);
            return;
        }
        from->opened = true;
        from->channel->send(fmt::format("READY I {}.{}\r\n", term_, from->at->applied));
        run_next(from);
        return;
    }
    if (word == "QUERY" && from->opened) {
        const std::string id = take_word(rest);
        run_query(from, id, std::move(rest));
        return;
    }
    if (word != "TERMINATE") {
        // The rest of a statement that was split arrives as a line of its own.
        ledger_.on_run({"", line, "", {}, "", 0, "", {}});
    }
    close(*from);
}

void strict_service::run_query(const std::shared_ptr<connection>& from, const std::string& id,
                               std::string text) {
    instance& at = *from->at;
    if (text.rfind("SINCE ", 0) == 0) {
        static_cast<void>(take_word(text));
        const std::string position = take_word(text);
        const std::size_t dot = position.find('.');
        const std::uint64_t since_term = std::stoull(position.substr(0, dot));
        const std::size_t since = std::stoull(position.substr(dot + 1));
        if (since_term > term_ || since > at.applied) {
            from->state = from->state == 'I' ? 'I' : 'E';
            send_answer(from, {"ERROR LAGGING " + at.id + "\r\n", false});
            return;
        }
    }
    const std::string word = text.substr(0, text.find(' '));
    const bool is_access = word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT";
    if (!is_access) {
        send_answer(from, run_own(*from, id, text));
        return;
    }
    const duration work = up_to(draw(faults.slow) ? slow_work_time : work_time);
    loop_.run_after(work, [this, weak = std::weak_ptr<connection>(from), id, text] {
        const std::shared_ptr<connection> held = weak.lock();
        if (held == nullptr || !held->channel->is_open()) {
            return;
        }
        if (draw(faults.busy)) {
            send_answer(held, {"ERROR BUSY " + held->at->id + "\r\n", false});
            return;
        }
        const bool outside = held->state == 'I';
        const answer done = run_access(*held, id, text);
        const bool commits = text == "COMMIT" || (outside && !held->writes.empty());
        if (done.is_signed && commits && !held->writes.empty()) {
            const std::vector<std::string> writes = std::exchange(held->writes, {});
            commit(held, id, writes, done);
            return;
        }
        send_answer(held, done);
    });
}

strict_service::answer strict_service::run_access(connection& from, const std::string& id,
                                                  const std::string& text) {
    instance& at = *from.at;
    if (from.state == 'E') {
        return {"ERROR MALFORMED the transaction has failed\r\n", false};
    }
    statement_run done;
    done.id = id;
    done.text = text;
    done.begin_id = from.begin_id;
    done.values = from.values;
    done.log_length = at.applied;
    std::string rest = text;
    const std::string word = take_word(rest);
    bool writes = word == "WRITE";
    if (word == "EXECUTE") {
        const prepared_shapes::const_iterator found = from.prepared.find(take_word(rest));
        if (found == from.prepared.end()) {
            from.state = from.state == 'I' ? 'I' : 'E';
            return {"ERROR NOSTMT " + at.id + "\r\n", false};
        }
        done.shape = found->second;
        writes = done.shape.rfind("WRITE ", 0) == 0;
    }
    if ((writes || (from.state == 'T' && !from.reads_only && !(word == "COMMIT" && from.writes.empty()))) &&
        (at.id != leader_ || (from.state == 'T' && from.term != term_))) {
        from.state = from.state == 'I' ? 'I' : 'E';
        return {"ERROR READONLY " + at.id + "\r\n", false};
    }
    done.signature = make_signature(at);
    answer result;
    result.is_signed = true;
    if (word == "COMMIT") {
        if (from.state != 'T') {
            return {"ERROR MALFORMED no transaction is open\r\n", false};
        }
        ledger_.on_run(done);
        from.state = 'I';
        from.begin_id.clear();
    } else if (writes) {
        ledger_.on_run(done);
        from.writes.push_back(id);
    } else {
        const std::size_t rows = 1 + random_() % 2;
        for (std::size_t i = 0; i < rows; ++i) {
            done.rows.push_back(make_row());
            result.lines += "DATAROW " + done.rows.back() + "\r\n";
        }
        ledger_.on_run(done);
    }
    result.lines += "COMPLETE " + done.signature + "\r\n";
    return result;
}

strict_service::answer strict_service::begin(connection& from, const std::string& id, bool reads_only) {
    if (from.state != 'I') {
        return {"ERROR MALFORMED a transaction is open\r\n", false};
    }
    if (!reads_only && from.at->id != leader_) {
        return {"ERROR READONLY " + from.at->id + "\r\n", false};
    }
    from.state = 'T';
    from.reads_only = reads_only;
    from.begin_id = id;
    from.term = term_;
    from.writes.clear();
    return {"COMPLETE -\r\n", false};
}

strict_service::answer strict_service::run_own(connection& from, const std::string& id,
                                               const std::string& text) {
    instance& at = *from.at;
    std::string rest = text;
    const std::string word = take_word(rest);
    answer done{"COMPLETE -\r\n", false};
    if (word == "BEGIN") {
        return begin(from, id, rest == "READ");
    }
    if (word == "ROLLBACK") {
        from.state = 'I';
        from.begin_id.clear();
        from.writes.clear();
        return done;
    }
    if (word == "SET") {
        const std::string name = take_word(rest);
        from.values[name] = rest;
        return done;
    }
    if (word == "PREPARE") {
        const std::string name = take_word(rest);
        from.prepared[name] = rest;
        return done;
    }
    if (word == "RESET") {
        from.values.clear();
        from.prepared.clear();
        return done;
    }
    const bool is_leader = at.id == leader_;
    if (word == "PAUSE" && !is_leader) {
        const std::uint64_t held = std::stoull(rest);
        at.held = held > term_ ? std::max(at.held, held) : at.held;
    } else if (word == "RESUME") {
        at.held = 0;
    } else if (word != "STATUS" && word != "STEPDOWN" && word != "PAUSE") {
        ledger_.on_run({id, text, "", {}, "", 0, "", {}});
        return {"ERROR MALFORMED unknown command\r\n", false};
    }
    return {"DATAROW " + status_row(at) + "\r\nCOMPLETE -\r\n", false};
}

void strict_service::commit(const std::shared_ptr<connection>& from, const std::string& id,
                            const std::vector<std::string>& writes, const answer& done) {
    ++log_length_;
    from->at->received = log_length_;
    from->at->applied = log_length_;
    ledger_.on_committed(id, writes, log_length_);
    replicate(log_length_);
    loop_.run_after(receive_time, [this, weak = std::weak_ptr<connection>(from), done] {
        const std::shared_ptr<connection> held = weak.lock();
        if (held != nullptr && held->channel->is_open()) {
            send_answer(held, done);
        }
    });
}

void strict_service::replicate(std::size_t length) {
    for (const std::map<std::string, std::unique_ptr<instance>>::value_type& entry : instances_) {
        if (entry.first == leader_) {
            continue;
        }
        instance* replica = entry.second.get();
        loop_.run_after(up_to(receive_time), [this, replica, length, term = term_] {
            if (replica->held > term_ || term != term_) {
                return;
            }
            replica->received = std::max(replica->received, length);
            loop_.run_after(up_to(faults.apply_lag), [replica, length] {
                replica->applied = std::max(replica->applied, std::min(length, replica->received));
            });
        });
    }
}

void strict_service::send_answer(const std::shared_ptr<connection>& to, const answer& sent) {
    const std::string whole =
        fmt::format("{}READY {} {}.{}\r\n", sent.lines, to->state, term_, to->at->applied);
    if (draw(faults.cut)) {
        to->channel->send(std::string_view(whole).substr(0, random_() % whole.size()));
        close(*to);
        return;
    }
    to->channel->send(whole);
    if (draw(sent.is_signed ? faults.repeat_signed : faults.repeat_unsigned)) {
        ++repeated_answers_;
        loop_.run_after(up_to(faults.repeat_delay), [weak = std::weak_ptr<connection>(to), whole] {
            if (const std::shared_ptr<connection> held = weak.lock()) {
                held->channel->send(whole);
            }
        });
    }
    run_next(to);
}

std::string strict_service::status_row(const instance& at) const {
    const std::size_t open = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&at](const std::map<std::uint64_t, std::shared_ptr<connection>>::value_type& entry) {
                          return entry.second->at == &at;
                      }));
    return fmt::format("{} {} {}.{} {} 0 0 {}", at.id == leader_ ? "primary" : "replica", term_, term_,
                       at.received, at.held, open);
}

std::string strict_service::make_signature(const instance& at) {
    return fmt::format("{}.{:x}.{:x}", at.id, ++last_signature_, random_());
}

std::string strict_service::make_row() {
    std::string row = fmt::format("row {} {:x}", ++last_row_, random_());
    row.append(faults.row_bytes, 'r');
    if (draw(faults.odd_rows)) {
        row += odd_characters[random_() % odd_characters.size()];
        row += fmt::format("{:x}", random_());
        row += odd_characters[random_() % odd_characters.size()];
    }
    return row;
}

bool strict_service::draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

duration strict_service::up_to(duration longest) {
    return duration(std::uniform_int_distribution<duration::rep>(0, longest.count())(random_));
}

} // namespace gentianhill::standins
