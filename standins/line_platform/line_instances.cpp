#include "standins/line_platform/line_instances.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr int accept_queue = 128;

/// Command of a query that a proxy may send to an instance, with its own words beside those of clients.
model_command parse_command(std::string_view rest) {
    model_command command;
    command.id = platform::take_field(rest);
    std::string_view text = rest;
    if (text.rfind("SINCE ", 0) == 0) {
        static_cast<void>(platform::take_field(text));
        command.since = platform::parse_position(platform::take_field(text));
    }
    const std::string_view whole = text;
    const std::string_view word = platform::take_field(text);
    using kinds = std::map<std::string_view, command_kind>;
    static const kinds own_words{{"ROLLBACK", command_kind::rollback}, {"RESET", command_kind::reset},
                                 {"STATUS", command_kind::status},     {"PAUSE", command_kind::fence},
                                 {"RESUME", command_kind::unfence},    {"STEPDOWN", command_kind::step_down},
                                 {"COMMIT", command_kind::commit},     {"READ", command_kind::read},
                                 {"WRITE", command_kind::write},       {"SET", command_kind::set_value},
                                 {"PREPARE", command_kind::prepare},   {"EXECUTE", command_kind::execute}};
    if (word == "BEGIN") {
        command.kind = text == "READ" ? command_kind::begin_read : command_kind::begin;
        return command;
    }
    const kinds::const_iterator found = own_words.find(word);
    command.kind = found == own_words.end() ? command_kind::status : found->second;
    if (command.kind == command_kind::set_value || command.kind == command_kind::execute ||
        command.kind == command_kind::prepare) {
        command.name = platform::take_field(text);
    }
    if (command.kind == command_kind::prepare) {
        command.writes = platform::take_field(text) == "WRITE";
    }
    if (command.kind == command_kind::fence || command.kind == command_kind::step_down) {
        command.term = std::stoull(std::string(text));
    }
    const bool is_access = command.kind == command_kind::read || command.kind == command_kind::write;
    command.argument = is_access ? whole : text;
    return command;
}

std::string encode(const instance_answer& answer) {
    statement_result result = answer.result;
    if (answer.status) {
        const instance_status& status = *answer.status;
        result.rows = {fmt::format("{} {} {}.{} {} {} {} {}", status.is_primary ? "primary" : "replica",
                                   status.term, status.log_end.term, status.log_end.position,
                                   status.fenced_term, status.lag_ms, status.active_statements,
                                   status.connections)};
    }
    std::string out;
    platform::append_result(out, result);
    if (result.position) {
        // The client form of the answer carries no position.
        out.resize(out.size() - 3);
        out += fmt::format("{}.{}\r\n", result.position->term, result.position->position);
    }
    return out;
}

} // namespace

struct line_instances::connection {
    std::string id;
    std::string caller;
    std::unique_ptr<platform::line_socket> socket;
    std::shared_ptr<model_connection> opened;
};

struct line_instances::listener {
    line_instances* owner = nullptr;
    std::string id;
    std::string caller;
    int descriptor = -1;
    event* acceptable = nullptr;

    ~listener() {
        if (acceptable != nullptr) {
            event_free(acceptable);
        }
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }
};

line_instances::line_instances(platform::output_flusher& flusher, service_model& model, std::string group)
    : flusher_(flusher), model_(model), group_(std::move(group)) {}

line_instances::~line_instances() = default;

std::uint16_t line_instances::listen(const std::string& id, const std::string& caller) {
    std::unique_ptr<listener> added = std::make_unique<listener>();
    added->owner = this;
    added->id = id;
    added->caller = caller;
    added->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(added->descriptor, reinterpret_cast<sockaddr*>(&address), size) < 0 ||
        ::listen(added->descriptor, accept_queue) < 0) {
        return 0;
    }
    getsockname(added->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    added->acceptable = event_new(
        flusher_.loop().native(), added->descriptor, EV_READ | EV_PERSIST,
        [](int, short, void* argument) {
            listener* from = static_cast<listener*>(argument);
            from->owner->accept(*from);
        },
        added.get());
    event_add(added->acceptable, nullptr);
    listeners_.push_back(std::move(added));
    return ntohs(address.sin_port);
}

void line_instances::accept(listener& from) {
    const int descriptor = accept4(from.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    if (!model_.is_up(from.id)) {
        ::close(descriptor);
        return;
    }
    const std::uint64_t number = ++last_number_;
    std::unique_ptr<connection> added = std::make_unique<connection>();
    added->id = from.id;
    added->caller = from.caller;
    added->socket = std::make_unique<platform::line_socket>(flusher_, descriptor);
    connection* accepted = added.get();
    added->socket->on_line = [this, accepted](std::string_view line) { on_line(*accepted, line); };
    added->socket->on_close = [this, number](platform::socket_close_reason) {
        connections_[number]->socket->on_line = nullptr;
        if (connections_[number]->opened != nullptr) {
            model_.close(connections_[number]->opened);
        }
        flusher_.loop().run_after(duration(0), [this, number] { connections_.erase(number); });
    };
    connections_.emplace(number, std::move(added));
}

void line_instances::on_line(connection& from, std::string_view line) {
    if (is_cut(from)) {
        return;
    }
    const platform::message received = platform::split_message(line);
    if (received.kind == platform::message_kind::query && from.opened != nullptr) {
        run(from, received.rest);
        return;
    }
    std::string_view rest = received.rest;
    const std::string_view group = platform::take_field(rest);
    static_cast<void>(platform::take_field(rest));
    if (received.kind != platform::message_kind::startup || group != group_ || rest != from.id) {
        platform::append_startup_error(from.socket->output(), statement_outcome::misrouted, from.id);
    } else if (from.opened = model_.open(from.id); from.opened == nullptr) {
        platform::append_startup_error(from.socket->output(), statement_outcome::connection_limit, from.id);
    } else if (!silent_[from.id]) {
        from.socket->output() += "READY I -\r\n";
    }
    from.socket->schedule_flush();
}

void line_instances::run(connection& from, std::string_view rest) {
    const model_command command = parse_command(rest);
    const std::weak_ptr<model_connection> opened = from.opened;
    model_.handle(from.opened, command, [this, opened, client = &from](const instance_answer& answer) {
        // The connection is gone when the model has closed it.
        const std::shared_ptr<model_connection> held = opened.lock();
        if (held == nullptr || held->incarnation == 0 || silent_[held->instance] || is_cut(*client)) {
            return;
        }
        if (!answer.result.signature.empty() && lost_answers > 0) {
            --lost_answers;
            return;
        }
        client->socket->output() += encode(answer);
        client->socket->schedule_flush();
    });
}

void line_instances::set_silent(const std::string& id, bool silent) {
    silent_[id] = silent;
    if (!silent) {
        // What was held back is not known any more, so the exchange starts again.
        reset(id);
    }
}

bool line_instances::is_cut(const connection& from) const {
    return cuts_.count({from.id, from.caller}) > 0;
}

void line_instances::set_cut(const std::string& id, const std::string& caller, bool is_cut) {
    if (is_cut) {
        cuts_.insert({id, caller});
        return;
    }
    cuts_.erase({id, caller});
    // What was dropped is lost, so the exchange starts again.
    reset_if(id, [&caller](const connection& open) { return open.caller == caller; });
}

void line_instances::reset(const std::string& id) {
    reset_if(id, [](const connection&) { return true; });
}

void line_instances::reset_if(const std::string& id, const std::function<bool(const connection&)>& ends) {
    for (const std::map<std::uint64_t, std::unique_ptr<connection>>::value_type& entry : connections_) {
        if (entry.second->id == id && ends(*entry.second)) {
            if (entry.second->opened != nullptr) {
                model_.close(entry.second->opened);
            }
            entry.second->socket->close_when_sent();
        }
    }
}

} // namespace gentianhill::standins
