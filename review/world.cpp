// A small deployment on loopback addresses: the program of the deploy file as separate processes, and
// stand-ins of the platform, the instances, the network to them and the clients. Plays one scenario, writes
// record.txt, and exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run.
#include "gentianhill/core/boot_clock.h"
#include "gentianhill/core/event_loop.h"
#include "platform/line_codec.h"
#include "platform/line_socket.h"
#include "standins/line_platform/line_instances.h"
#include "standins/replicated_service/service_model.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
const std::string service = "wheeldb";
/// Limits of the small sites: heartbeats, and the time of silence after which an entry is removed.
constexpr duration heartbeat = 1200ms;
constexpr duration entry_limit = 3 * heartbeat;

/// Loopback address of a part of the deployment. Each run has a network of its own, so that several can run
/// at once.
std::string address_of(int part, int number) {
    constexpr int networks = 250;
    static const int network = 1 + static_cast<int>(getpid()) % networks;
    return fmt::format("127.{}.{}.{}", network, part, number);
}
constexpr int daemons_part = 7;
constexpr int store_part = 8;
constexpr int paths_part = 9;

sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A port that is free at the address and that this process has not been given before.
std::uint16_t free_port(const std::string& ip) {
    static std::set<std::uint16_t> given;
    constexpr int tries = 20;
    for (int index = 0; index < tries; ++index) {
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socket_address(ip, 0);
        socklen_t size = sizeof address;
        const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                           getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        close(probe);
        if (bound && given.insert(ntohs(address.sin_port)).second) {
            return ntohs(address.sin_port);
        }
    }
    return 0;
}

/// What was sent, answered and run, with the time since the start.
class record_file {
public:
    explicit record_file(const std::string& path) : out_(path), start_(boot_now()) {}
    void write(const std::string& text) {
        out_ << fmt::format("{:8.3f} {}\n", static_cast<double>((boot_now() - start_).count()) / 1e6, text);
        out_.flush();
    }

private:
    std::ofstream out_;
    time_point start_;
};

/// The platform's store and its promotion call. Each daemon calls it at an address of its own, and finds the
/// instances there under addresses of its own, so that single paths can be cut.
class store {
public:
    explicit store(event_loop& loop) : loop_(loop), server_(evhttp_new(loop.native())) {
        evhttp_set_allowed_methods(server_,
                                   EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
        evhttp_set_gencb(
            server_,
            [](evhttp_request* request, void* argument) { static_cast<store*>(argument)->handle(request); },
            this);
    }
    ~store() { evhttp_free(server_); }
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    std::function<int(const std::string& id, const std::string& holder, std::uint64_t token)> on_promote;

    bool listen(int daemon, std::uint16_t port) {
        return evhttp_bind_socket_with_handle(server_, address_of(store_part, daemon).c_str(), port) !=
               nullptr;
    }
    /// `spec` is the text of a JSON value, or bytes that cannot be read.
    void write(const std::string& kind, const std::string& name, const std::string& spec) {
        object& target = objects_[{kind, name}];
        target.created = target.created == 0 ? revision_ + 1 : target.created;
        target.revision = ++revision_;
        target.spec = spec;
        history_.push_back(
            {kind, revision_, fmt::format(R"({{"Deleted":false,"Object":{}}})", text_of(name, target))});
        wake();
    }
    void remove(const std::string& kind, const std::string& name) {
        const auto found = objects_.find({kind, name});
        if (found == objects_.end()) {
            return;
        }
        found->second.revision = ++revision_;
        history_.push_back({kind, revision_,
                            fmt::format(R"({{"Deleted":true,"Object":{}}})", text_of(name, found->second))});
        objects_.erase(found);
        wake();
    }
    /// Cuts a daemon off: its calls get no answer.
    void set_cut(int daemon, bool is_cut) {
        if (is_cut) {
            cut_.insert(daemon);
        } else {
            cut_.erase(daemon);
        }
    }
    [[nodiscard]] bool has(const std::string& kind, const std::string& name) const {
        return objects_.find({kind, name}) != objects_.end();
    }

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct change {
        std::string kind;
        std::uint64_t revision = 0;
        std::string event;
    };
    struct waiting {
        std::uint64_t number = 0;
        evhttp_request* request = nullptr;
        std::string kind;
        std::uint64_t from = 0;
    };

    static std::string text_of(const std::string& name, const object& value) {
        return fmt::format(
                   R"({{"meta":{{"Name":"{}","Revision":{},"CreatedRev":{},"Finalizers":[],"Deleting":false}},"spec":)",
                   name, value.revision, value.created) +
               value.spec + R"(,"status":null})";
    }
    static std::string body_of(evhttp_request* request) {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }
    /// Number of the daemon that has sent the request.
    static int caller_of(evhttp_request* request) {
        bufferevent* peer = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        sockaddr_in local{};
        socklen_t size = sizeof local;
        getsockname(bufferevent_getfd(peer), reinterpret_cast<sockaddr*>(&local), &size);
        return static_cast<int>(ntohl(local.sin_addr.s_addr) & 0xffU);
    }
    static void reply(evhttp_request* request, int status, std::string body) {
        const std::string seen = address_of(paths_part, caller_of(request)) + ":";
        const std::string stored = address_of(paths_part, 0) + ":";
        for (std::size_t at = body.find(stored); at != std::string::npos; at = body.find(stored, at)) {
            body.replace(at, stored.size(), seen);
        }
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
        evbuffer* buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_send_reply(request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    [[nodiscard]] bool is_cut(evhttp_request* request) const { return cut_.count(caller_of(request)) > 0; }

    void handle(evhttp_request* request) {
        if (is_cut(request)) {
            // The caller gives up in the end, and its closing ends the request.
            return;
        }
        const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
        const std::string path = evhttp_uri_get_path(uri);
        if (path == "/promote") {
            promote(request);
            return;
        }
        constexpr std::string_view prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            reply(request, 404, "{}");
            return;
        }
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        evkeyvalq query{};
        const char* text = evhttp_uri_get_query(uri);
        evhttp_parse_query_str(text == nullptr ? "" : text, &query);
        const auto value = [&query](const char* key) {
            const char* found = evhttp_find_header(&query, key);
            return std::string(found == nullptr ? "" : found);
        };
        const evhttp_cmd_type method = evhttp_request_get_command(request);
        if (method == EVHTTP_REQ_DELETE) {
            erase(request, kind, name, value("Revision"));
        } else if (method != EVHTTP_REQ_GET) {
            change_object(request, kind, name);
        } else if (!name.empty()) {
            const auto found = objects_.find({kind, name});
            reply(request, found == objects_.end() ? 404 : 200,
                  found == objects_.end() ? "{}" : text_of(name, found->second));
        } else if (value("Watch").empty()) {
            list(request, kind, value("after"));
        } else {
            watch(request, kind, std::stoull(value("Watch")), std::stoll("0" + value("WaitMs")));
        }
        evhttp_clear_headers(&query);
    }
    void promote(evhttp_request* request) {
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        const char* token = evhttp_find_header(headers, "X-Gentianhill-Fencing-Token");
        const char* holder = evhttp_find_header(headers, "X-Gentianhill-Lease-Holder");
        const nlohmann::json body = nlohmann::json::parse(body_of(request), nullptr, false);
        if (!body.is_object() || token == nullptr || holder == nullptr) {
            reply(request, 400, "{}");
            return;
        }
        reply(request, on_promote(body.value("Id", ""), holder, std::stoull(token)), "{}");
    }
    void list(evhttp_request* request, const std::string& kind, const std::string& after) {
        std::string items;
        for (const auto& entry : objects_) {
            if (entry.first.first == kind && entry.first.second > after) {
                items += (items.empty() ? "" : ",") + text_of(entry.first.second, entry.second);
            }
        }
        reply(request, 200,
              R"({"items":[)" + items + fmt::format(R"(],"HasMore":false,"StoreRevision":{}}})", revision_));
    }
    void change_object(evhttp_request* request, const std::string& kind, const std::string& path_name) {
        const nlohmann::json body = nlohmann::json::parse(body_of(request), nullptr, false);
        if (!body.is_object()) {
            reply(request, 400, "{}");
            return;
        }
        const nlohmann::json meta = body.value("meta", nlohmann::json::object());
        const std::string name = path_name.empty() ? meta.value("Name", "") : path_name;
        const std::uint64_t revision = meta.value("Revision", std::uint64_t{0});
        const auto present = objects_.find({kind, name});
        const bool creates = path_name.empty();
        if (!creates && present == objects_.end()) {
            reply(request, 404, "{}");
            return;
        }
        if (present != objects_.end() &&
            (creates || (revision != 0 && revision != present->second.revision))) {
            reply(request, 409, text_of(name, present->second));
            return;
        }
        const std::string spec = body.value("spec", nlohmann::json{}).dump();
        if (creates || spec != present->second.spec) {
            write(kind, name, spec);
        }
        reply(request, 200, text_of(name, objects_[{kind, name}]));
    }
    void erase(evhttp_request* request, const std::string& kind, const std::string& name,
               const std::string& revision) {
        const auto present = objects_.find({kind, name});
        if (present == objects_.end()) {
            reply(request, 404, "{}");
        } else if (!revision.empty() && std::stoull(revision) != present->second.revision) {
            reply(request, 409, text_of(name, present->second));
        } else {
            remove(kind, name);
            reply(request, 200, "{}");
        }
    }
    bool answer_watch(evhttp_request* request, const std::string& kind, std::uint64_t from, bool even_none) {
        std::string events;
        for (const change& each : history_) {
            if (each.kind == kind && each.revision > from) {
                events += (events.empty() ? "" : ",") + each.event;
            }
        }
        if (events.empty() && !even_none) {
            return false;
        }
        reply(request, 200, R"({"events":[)" + events + fmt::format(R"(],"StoreRevision":{}}})", revision_));
        return true;
    }
    void watch(evhttp_request* request, const std::string& kind, std::uint64_t from, std::int64_t wait_ms) {
        if (answer_watch(request, kind, from, wait_ms == 0)) {
            return;
        }
        const std::uint64_t number = ++last_watch_;
        watches_.push_back({number, request, kind, from});
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection* closed, void* argument) {
                std::erase_if(static_cast<store*>(argument)->watches_, [closed](const waiting& open) {
                    return evhttp_request_get_connection(open.request) == closed;
                });
            },
            this);
        loop_.run_after(std::chrono::milliseconds(wait_ms), [this, number] {
            const auto open = std::find_if(watches_.begin(), watches_.end(),
                                           [number](const waiting& each) { return each.number == number; });
            if (open != watches_.end()) {
                const waiting ended = *open;
                watches_.erase(open);
                if (!is_cut(ended.request)) {
                    static_cast<void>(answer_watch(ended.request, ended.kind, ended.from, true));
                }
            }
        });
    }
    void wake() {
        std::vector<waiting> open;
        open.swap(watches_);
        for (const waiting& each : open) {
            if (is_cut(each.request) || !answer_watch(each.request, each.kind, each.from, false)) {
                watches_.push_back(each);
            }
        }
    }

    event_loop& loop_;
    evhttp* server_;
    std::map<std::pair<std::string, std::string>, object> objects_;
    std::vector<change> history_;
    std::vector<waiting> watches_;
    std::set<int> cut_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_watch_ = 0;
};

/// The path from one daemon to one instance. While it is cut, nothing passes in either direction.
class path {
public:
    path(event_loop& loop, const std::string& ip, std::uint16_t port, std::uint16_t instance_port)
        : loop_(loop), instance_port_(instance_port) {
        const sockaddr_in address = socket_address(ip, port);
        listener_ = evconnlistener_new_bind(
            loop.native(),
            [](evconnlistener*, evutil_socket_t accepted, sockaddr*, int, void* argument) {
                static_cast<path*>(argument)->accept(accepted);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
    }
    ~path() {
        if (listener_ != nullptr) {
            evconnlistener_free(listener_);
        }
        while (!pairs_.empty()) {
            end(*pairs_.front());
        }
    }
    path(const path&) = delete;
    path& operator=(const path&) = delete;

    [[nodiscard]] bool is_open() const { return listener_ != nullptr; }
    void cut() {
        is_cut_ = true;
        for (const std::unique_ptr<pair>& each : pairs_) {
            bufferevent_disable(each->near, EV_READ | EV_WRITE);
            bufferevent_disable(each->far, EV_READ | EV_WRITE);
        }
    }
    /// Connections that were open during the cut are reset when it ends.
    void heal() {
        is_cut_ = false;
        while (!pairs_.empty()) {
            end(*pairs_.front());
        }
    }

private:
    struct pair {
        path* owner = nullptr;
        bufferevent* near = nullptr;
        bufferevent* far = nullptr;
    };

    void accept(evutil_socket_t accepted) {
        std::unique_ptr<pair> added = std::make_unique<pair>();
        added->owner = this;
        added->near = bufferevent_socket_new(loop_.native(), accepted, BEV_OPT_CLOSE_ON_FREE);
        added->far = bufferevent_socket_new(loop_.native(), -1, BEV_OPT_CLOSE_ON_FREE);
        for (bufferevent* side : {added->near, added->far}) {
            bufferevent_setcb(side, &path::on_read, nullptr, &path::on_event, added.get());
        }
        const sockaddr_in address = socket_address("127.0.0.1", instance_port_);
        if (!is_cut_) {
            bufferevent_socket_connect(added->far, reinterpret_cast<const sockaddr*>(&address),
                                       sizeof address);
            bufferevent_enable(added->near, EV_READ | EV_WRITE);
            bufferevent_enable(added->far, EV_READ | EV_WRITE);
        }
        pairs_.push_back(std::move(added));
    }
    static void on_read(bufferevent* from, void* argument) {
        pair* both = static_cast<pair*>(argument);
        bufferevent_read_buffer(from, bufferevent_get_output(from == both->near ? both->far : both->near));
    }
    static void on_event(bufferevent*, short what, void* argument) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            pair* both = static_cast<pair*>(argument);
            both->owner->end(*both);
        }
    }
    void end(pair& ended) {
        bufferevent_free(ended.near);
        bufferevent_free(ended.far);
        std::erase_if(pairs_, [&ended](const std::unique_ptr<pair>& each) { return each.get() == &ended; });
    }

    event_loop& loop_;
    std::uint16_t instance_port_;
    evconnlistener* listener_ = nullptr;
    std::vector<std::unique_ptr<pair>> pairs_;
    bool is_cut_ = false;
};

/// One client session; it sends one statement at a time and connects again after a close.
class client {
public:
    using handler = std::function<void(bool done, const std::string& answer)>;

    client(platform::output_flusher& flusher, endpoint address, std::string database)
        : flusher_(flusher), address_(std::move(address)), database_(std::move(database)) {
        connect();
    }

    [[nodiscard]] bool is_idle() const { return ready_ && !pending_; }
    void send(const std::string& id, const std::string& text, handler done) {
        pending_ = std::move(done);
        error_.clear();
        socket_->output() += fmt::format("QUERY {} {}\r\n", id, text);
        socket_->schedule_flush();
    }

private:
    void connect() {
        ready_ = false;
        started_ = false;
        socket_ = std::make_unique<platform::line_socket>(flusher_, address_);
        socket_->on_line = [this](std::string_view line) { on_line(line); };
        socket_->on_close = [this](platform::socket_close_reason) { on_close(); };
        socket_->output() += fmt::format("STARTUP {} rider\r\n", database_);
        socket_->schedule_flush();
    }
    void on_close() {
        ready_ = false;
        finish(false, "the connection ended");
        flusher_.loop().run_after(50ms, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) {
                connect();
            }
        });
    }
    void on_line(std::string_view line) {
        const platform::message received = platform::split_message(line);
        if (received.kind == platform::message_kind::error) {
            error_ = std::string(received.rest);
            return;
        }
        if (received.kind != platform::message_kind::ready) {
            return;
        }
        ready_ = true;
        if (started_) {
            finish(error_.empty(), error_.empty() ? "success" : error_);
        }
        started_ = true;
    }
    void finish(bool done, const std::string& answer) {
        const handler called = std::move(pending_);
        pending_ = nullptr;
        if (called) {
            called(done, answer);
        }
    }

    platform::output_flusher& flusher_;
    endpoint address_;
    std::string database_;
    std::unique_ptr<platform::line_socket> socket_;
    handler pending_;
    std::string error_;
    bool ready_ = false;
    bool started_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct daemon_process {
    int number = 0;
    std::string zone;
    std::uint16_t client_port = 0;
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;
};

struct instance_entry {
    std::string zone;
    std::uint16_t port = 0;
    std::int64_t born = 0;
    std::int64_t sequence = 1;
    bool draining = false;
    bool reaches_store = true;
    time_point last_beat;
    std::string written;
};

/// The deployment and its checks.
class world {
public:
    world(const std::string& folder, std::string program)
        : program_(std::move(program)),
          log_(folder + "/record.txt"),
          instances_(flusher_, model_, service),
          store_(loop_) {
        std::string name = std::filesystem::temp_directory_path() / "review_XXXXXX";
        if (mkdtemp(name.data()) != nullptr) {
            folder_ = name;
        }
        model_.call_after = [this](duration delay, std::function<void()> action) {
            loop_.run_after(delay, std::move(action));
        };
        model_.now = &boot_now;
        model_.on_run = [this](const standins::model_command& command,
                               const standins::model_connection& connection) {
            log_.write(fmt::format("{} runs {}", connection.instance, command.id));
        };
        model_.on_read =
            [this](const standins::model_command& command, const standins::model_connection& connection,
                   const std::vector<standins::model_entry>& seen) { check_read(command, connection, seen); };
        store_.on_promote = [this](const std::string& id, const std::string& holder, std::uint64_t token) {
            log_.write(
                fmt::format("platform: {} calls for the promotion of {} with token {}", holder, id, token));
            return model_.promote(id) ? 200 : 409;
        };
    }
    ~world() {
        clients_.clear();
        for (const daemon_process& each : daemons_) {
            end_daemon(each.number, SIGKILL);
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] standins::service_model& model() { return model_; }
    [[nodiscard]] standins::line_instances& instances() { return instances_; }
    [[nodiscard]] store& platform_store() { return store_; }
    [[nodiscard]] record_file& log() { return log_; }

    void run_for(duration length) {
        static_cast<void>(loop_.run_until([] { return false; }, length));
    }
    bool run_until(const std::function<bool()>& done, duration limit) { return loop_.run_until(done, limit); }

    /// Starts an instance; it registers at once if it reaches the store. The first one leads.
    bool add_instance(const std::string& id, const std::string& zone, bool reaches_store = true) {
        model_.add(id);
        instance_entry& added = entries_[id];
        added.zone = zone;
        added.port = instances_.listen(id);
        added.born = event_loop::wall_clock_ms();
        added.last_beat = boot_now();
        for (const daemon_process& each : daemons_) {
            add_path(each.number, id);
        }
        added.reaches_store = reaches_store;
        log_.write(fmt::format("instance {} starts", id));
        if (reaches_store) {
            write_entry(id);
        }
        return added.port != 0;
    }
    void set_draining(const std::string& id) {
        entries_.at(id).draining = true;
        log_.write(fmt::format("instance {} reports draining", id));
        if (entries_.at(id).reaches_store) {
            write_entry(id);
        }
    }
    void crash(const std::string& id) {
        log_.write(fmt::format("instance {} crashes", id));
        model_.set_up(id, false);
        instances_.reset(id);
    }
    /// Exits after it has drained; its log is gone with it.
    void leave(const std::string& id) {
        crash(id);
        log_.write(fmt::format("instance {} has left", id));
        entries_.at(id).reaches_store = false;
        store_.remove("servers", id);
    }
    void come_back(const std::string& id) {
        log_.write(fmt::format("instance {} comes back with its log", id));
        model_.set_up(id, true);
        entries_.at(id).born = event_loop::wall_clock_ms();
    }
    /// Starts again under its id and knows nothing of before.
    void start_anew(const std::string& id) {
        log_.write(fmt::format("instance {} starts again under its id, with nothing", id));
        model_.rebirth(id);
        entries_.at(id).born = event_loop::wall_clock_ms();
        entries_.at(id).sequence = 1;
    }
    void set_reaches_store(const std::string& id, bool reaches) {
        log_.write(fmt::format("the path from {} to the store is {}", id, reaches ? "whole" : "cut"));
        entries_.at(id).reaches_store = reaches;
    }
    void set_cut(int daemon, const std::string& id, bool is_cut) {
        log_.write(
            fmt::format("the path from daemon {} to {} is {}", daemon, id, is_cut ? "cut" : "whole again"));
        path& target = *paths_.at({daemon, id});
        if (is_cut) {
            target.cut();
        } else {
            target.heal();
        }
    }

    /// Prepares a daemon; start_daemon() runs it.
    void add_daemon(int number, const std::string& zone) {
        daemon_process added;
        added.number = number;
        added.zone = zone;
        const std::string ip = address_of(daemons_part, number);
        added.client_port = free_port(ip);
        const std::uint16_t ready_port = free_port(ip);
        const std::uint16_t peer_port = free_port(ip);
        const std::uint16_t store_port = free_port(address_of(store_part, number));
        runs_ = store_.listen(number, store_port) && runs_;
        added.settings_path = fmt::format("{}/{}.settings", folder_, number);
        added.log_path = fmt::format("{}/{}.log", folder_, number);
        std::ofstream(added.settings_path) << fmt::format(
            "name = edge-{0}-1\nzone = {0}\nclient-listen = {1}:{2}\nadmin-listen = {1}:{3}\n"
            "peer-listen = {1}:{4}\nseed-port = {4}\nseeds = {1}:{3}\nstore = {5}:{6}\n"
            "promotion-service = {5}:{6}\ngrace-s = 6\nturn-spacing-ms = \n"
            "silence-limit-ms = 4000\n",
            zone, ip, added.client_port, ready_port, peer_port, address_of(store_part, number), store_port);
        daemons_.push_back(added);
    }
    void start_daemon(int number) {
        daemon_process& target = find_daemon(number);
        log_.write(fmt::format("daemon {} starts", number));
        target.pid = fork();
        if (target.pid != 0) {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(target.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("GENTIANHILL_CONFIG", target.settings_path.c_str(), 1);
        execl(program_.c_str(), program_.c_str(), nullptr);
        _exit(127);
    }
    void end_daemon(int number, int signal_number) {
        daemon_process& target = find_daemon(number);
        if (target.pid <= 0) {
            return;
        }
        log_.write(fmt::format("daemon {} gets signal {}", number, signal_number));
        kill(target.pid, signal_number);
        int status = 0;
        waitpid(target.pid, &status, 0);
        target.pid = 0;
    }
    /// Kills a daemon that exceeds `limit_mb` and starts it again after a short delay, as the platform does.
    void watch_memory(std::size_t limit_mb) {
        for (const daemon_process& each : daemons_) {
            const std::size_t used = each.pid > 0 ? resident_mb(each.pid) : 0;
            if (used > limit_mb) {
                log_.write(fmt::format("platform: daemon {} holds {} MB, more than its MemoryMb of {}",
                                       each.number, used, limit_mb));
                end_daemon(each.number, SIGKILL);
                ++memory_ends_[each.number];
                loop_.run_after(300ms, [this, number = each.number] { start_daemon(number); });
            }
        }
        loop_.run_after(20ms, [this, limit_mb] { watch_memory(limit_mb); });
    }
    /// How often each daemon was killed for its memory.
    [[nodiscard]] const std::map<int, std::size_t>& memory_ends() const { return memory_ends_; }
    [[nodiscard]] endpoint client_address(int daemon) {
        return {address_of(daemons_part, daemon), find_daemon(daemon).client_port};
    }
    /// Copies the lines of the daemons' logs that hold one of the words.
    void copy_logs(const std::vector<std::string>& words) {
        for (const daemon_process& each : daemons_) {
            std::ifstream in(each.log_path);
            for (std::string line; std::getline(in, line);) {
                if (std::any_of(words.begin(), words.end(), [&line](const std::string& word) {
                        return line.find(word) != std::string::npos;
                    })) {
                    log_.write(fmt::format("log of daemon {}: {}", each.number, line));
                }
            }
        }
    }
    void write_configuration() {
        store_.write(
            "config", "main",
            R"({"Version":7,"Routes":[{"Name":"r-1","Database":"saves","Type":"primary","TimeoutMs":1000,"TargetLatencyMs":200,"Priority":1,"Backend":"wheeldb"}],"Backends":[{"Name":"wheeldb","MaxConns":34,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})");
    }
    /// Registers, removes and renews the entries, as the instances and the platform do.
    void keep_entries() {
        for (std::map<std::string, instance_entry>::value_type& each : entries_) {
            instance_entry& entry = each.second;
            const bool speaks = entry.reaches_store && model_.is_up(each.first);
            if (speaks) {
                write_entry(each.first);
            } else if (boot_now() - entry.last_beat > entry_limit && store_.has("servers", each.first)) {
                log_.write(fmt::format("the entry of {} expires", each.first));
                store_.remove("servers", each.first);
                entry.written.clear();
            }
        }
        loop_.run_after(10ms, [this] { keep_entries(); });
    }

    /// A client that sends a statement every `interval` as long as it is idle.
    void add_traffic(int daemon, bool writes, duration interval) {
        const daemon_process& target = find_daemon(daemon);
        clients_.push_back(std::make_unique<client>(
            flusher_, endpoint{address_of(daemons_part, daemon), target.client_port}, "saves"));
        drive(clients_.size() - 1, daemon, writes, interval);
    }
    [[nodiscard]] std::size_t sent() const { return sent_; }
    [[nodiscard]] std::size_t served() const { return served_; }
    [[nodiscard]] bool has_served(int daemon) const { return served_by_.count(daemon) > 0; }

    /// Reads that ran on a log that lacked a commit acknowledged before them, which no promotion rolled back.
    [[nodiscard]] std::vector<std::string> stale() const {
        const std::vector<std::string> rolled_back = lost();
        std::vector<std::string> all;
        for (const std::pair<std::string, std::string>& each : stale_) {
            const bool counts =
                std::none_of(rolled_back.begin(), rolled_back.end(),
                             [&each](const std::string& text) { return text.ends_with(" " + each.first); });
            if (counts) {
                all.push_back(each.second);
            }
        }
        return all;
    }
    /// Acknowledged commits that were not in the log of the instance that was promoted.
    [[nodiscard]] std::vector<std::string> lost() const {
        std::vector<std::string> all;
        for (const std::string& each : model_.violations()) {
            if (each.find("loses confirmed commit") != std::string::npos) {
                all.push_back("LOST: " + each);
            }
        }
        return all;
    }
    [[nodiscard]] bool runs() const { return runs_ && !folder_.empty(); }

private:
    daemon_process& find_daemon(int number) {
        return *std::find_if(daemons_.begin(), daemons_.end(),
                             [number](const daemon_process& each) { return each.number == number; });
    }
    static std::size_t resident_mb(pid_t pid) {
        std::ifstream in(fmt::format("/proc/{}/statm", pid));
        std::size_t total = 0;
        std::size_t resident = 0;
        in >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1'000'000;
    }
    void add_path(int daemon, const std::string& id) {
        const std::uint16_t port = entries_.at(id).port;
        std::unique_ptr<path>& added = paths_[{daemon, id}];
        added = std::make_unique<path>(loop_, address_of(paths_part, daemon), port, port);
        runs_ = runs_ && added->is_open();
    }
    void write_entry(const std::string& id) {
        instance_entry& entry = entries_.at(id);
        const time_point now = boot_now();
        const std::string content = fmt::format(
            R"("Backend":"{}","Address":"{}:{}","Zone":"{}","Version":"v1","Capacity":5,)"
            R"("State":"{}","WarmupLeftMs":0,"DbRole":"{}","born":{})",
            service, address_of(paths_part, 0), entry.port, entry.zone, entry.draining ? "draining" : "ready",
            model_.is_primary(id) ? "primary" : "replica", entry.born);
        if (content == entry.written && now - entry.last_beat < heartbeat) {
            return;
        }
        entry.last_beat = now;
        if (content != entry.written) {
            entry.written = content;
            store_.write("servers", id, fmt::format(R"({{{},"Sequence":{}}})", content, entry.sequence++));
        }
    }
    void drive(std::size_t index, int daemon, bool writes, duration interval) {
        if (index < clients_.size() && clients_[index]->is_idle()) {
            send(*clients_[index], daemon, writes);
        }
        loop_.run_after(interval,
                        [this, index, daemon, writes, interval] { drive(index, daemon, writes, interval); });
    }
    void send(client& from, int daemon, bool writes) {
        const std::string id = fmt::format("{}{:05}", writes ? 'w' : 'r', ++sent_);
        // A read must see what was acknowledged before its first byte.
        if (!writes && !model_.acknowledgements().empty()) {
            required_[id] = model_.acknowledgements().back();
            for (const standins::model_acknowledgement& each : model_.acknowledgements()) {
                if (each.index > required_[id].index) {
                    required_[id] = each;
                }
            }
        }
        const std::string text = writes ? fmt::format("WRITE 1a4 d{}", sent_) : "READ 1a4";
        log_.write(fmt::format("client of daemon {} sends {} {}", daemon, id, text));
        from.send(id, text, [this, id, daemon, writes](bool done, const std::string& answer) {
            log_.write(fmt::format("client of daemon {} is answered {}: {}", daemon, id, answer));
            if (done) {
                ++served_;
                served_by_.insert(daemon);
                if (writes) {
                    model_.confirm(id);
                }
            }
        });
    }
    void check_read(const standins::model_command& command, const standins::model_connection& connection,
                    const std::vector<standins::model_entry>& seen) {
        const std::map<std::string, standins::model_acknowledgement>::const_iterator required =
            required_.find(command.id);
        if (required == required_.end()) {
            return;
        }
        const standins::model_acknowledgement& commit = required->second;
        // A promotion may have rolled the commit back, which is judged by itself.
        if (model_.promotions() > 0 || (commit.index < seen.size() && seen[commit.index].id == commit.id)) {
            return;
        }
        stale_.emplace_back(
            commit.id,
            fmt::format(
                "STALE: {} ran at {} on a log of {} entries, which lacks {}, acknowledged before it was sent",
                command.id, connection.instance, seen.size(), commit.id));
        log_.write(stale_.back().second);
    }

    std::string program_;
    record_file log_;
    std::string folder_;
    event_loop loop_;
    platform::output_flusher flusher_{loop_};
    standins::service_model model_{{.promotion = 600ms, .max_connections = 34}};
    standins::line_instances instances_;
    store store_;
    std::map<std::string, instance_entry> entries_;
    std::map<std::pair<int, std::string>, std::unique_ptr<path>> paths_;
    std::vector<daemon_process> daemons_;
    std::vector<std::unique_ptr<client>> clients_;
    std::map<std::string, standins::model_acknowledgement> required_;
    /// The commit that a read lacked, and what is said of it.
    std::vector<std::pair<std::string, std::string>> stale_;
    std::set<int> served_by_;
    std::map<int, std::size_t> memory_ends_;
    std::size_t sent_ = 0;
    std::size_t served_ = 0;
    bool runs_ = true;
};

/// A rude peer in a process of its own: it sends statements without waiting for the answers, at most
/// `bytes_per_s`, or with `waits` one after the other; it reads all answers.
pid_t start_peer(const endpoint& address, bool waits, std::size_t bytes_per_s) {
    const pid_t pid = fork();
    if (pid != 0) {
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr std::size_t batch = 1000;
    const sockaddr_in target = socket_address(address.address, address.port);
    std::array<char, 65536> buffer{};
    std::uint64_t number = 0;
    while (true) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
            send(descriptor, "STARTUP saves peer\r\n", 20, MSG_NOSIGNAL) != 20 ||
            recv(descriptor, buffer.data(), buffer.size(), 0) <= 0) {
            close(descriptor);
            usleep(50'000);
            continue;
        }
        const time_point begun = boot_now();
        std::size_t sent = 0;
        while (true) {
            std::string text;
            for (std::size_t index = 0; index < (waits ? 1 : batch); ++index) {
                text += fmt::format("QUERY {:08x} READ b\r\n", ++number);
            }
            const int flags = MSG_NOSIGNAL;
            if (send(descriptor, text.data(), text.size(), flags) != static_cast<ssize_t>(text.size())) {
                break;
            }
            sent += text.size();
            const ssize_t received = recv(descriptor, buffer.data(), buffer.size(), waits ? 0 : MSG_DONTWAIT);
            if (received == 0 || (received < 0 && errno != EAGAIN)) {
                break;
            }
            const duration due(static_cast<std::int64_t>(static_cast<double>(sent) * 1e6 /
                                                         static_cast<double>(bytes_per_s)));
            const duration ahead = begun + due - boot_now();
            if (ahead > duration(0)) {
                usleep(static_cast<useconds_t>(ahead.count()));
            }
        }
        close(descriptor);
    }
}

/// Starts three instances and three daemons with clients, and waits until all serve.
bool start(world& system) {
    const std::array<std::string, 3> zones{"a", "b", "c"};
    for (int number = 1; number <= 3; ++number) {
        system.add_daemon(number, zones.at(static_cast<std::size_t>(number) - 1));
    }
    for (int number = 1; number <= 3; ++number) {
        if (!system.add_instance(fmt::format("i-{}", number),
                                 zones.at(static_cast<std::size_t>(number) - 1))) {
            return false;
        }
    }
    system.model().start();
    system.keep_entries();
    system.write_configuration();
    for (int number = 1; number <= 3; ++number) {
        system.start_daemon(number);
        system.add_traffic(number, true, 30ms);
        system.add_traffic(number, false, 15ms);
    }
    const bool all_serve = system.run_until(
        [&system] { return system.has_served(1) && system.has_served(2) && system.has_served(3); }, 20s);
    // The daemons settle their view of the members.
    system.run_for(4s);
    return all_serve && system.runs();
}

/// The zone of the primary is cut off from the others, with daemon 1 and the new instance that starts there
/// to replace the primary.
void play_zone_cut(world& system, bool trouble) {
    constexpr std::array<const char*, 2> outside{"i-2", "i-3"};
    const auto set_cut = [&system, &outside](bool is_cut) {
        system.log().write(is_cut ? "zone a is cut off from the others" : "the cut has healed");
        system.platform_store().set_cut(1, is_cut);
        for (const char* id : outside) {
            system.set_cut(1, id, is_cut);
            system.model().set_cut("i-1", id, is_cut);
        }
        system.set_cut(2, "i-1", is_cut);
        system.set_cut(3, "i-1", is_cut);
        system.set_reaches_store("i-1", !is_cut);
    };
    if (trouble) {
        set_cut(true);
    }
    system.run_for(250ms);
    static_cast<void>(system.add_instance("i-4", "a", !trouble));
    if (trouble) {
        for (const char* id : outside) {
            system.model().set_cut("i-4", id, true);
        }
        system.set_cut(2, "i-4", true);
        system.set_cut(3, "i-4", true);
    }
    system.run_for(200ms);
    system.set_draining("i-1");
    system.run_for(5050ms);
    if (trouble) {
        set_cut(false);
        for (const char* id : outside) {
            system.model().set_cut("i-4", id, false);
        }
        system.set_cut(2, "i-4", false);
        system.set_cut(3, "i-4", false);
        system.set_reaches_store("i-4", true);
    }
    system.run_for(3s);
}

/// A primary is cut off from one of three daemons, and the replicas are replaced one after the other: the new
/// one for i-3 starts just after the cut-off daemon has fenced the replicas that it knows.
void play_latest_read(world& system, bool trouble) {
    if (trouble) {
        system.set_cut(1, "i-1", true);
    }
    system.run_for(1500ms);
    static_cast<void>(system.add_instance("i-4", "b"));
    const auto is_fenced = [&system] {
        return system.model().fenced_term("i-2") > 0 && system.model().fenced_term("i-3") > 0;
    };
    static_cast<void>(system.run_until(is_fenced, trouble ? 3s : 500ms));
    system.set_draining("i-2");
    system.run_for(100ms);
    static_cast<void>(system.add_instance("i-5", "c"));
    system.run_for(1500ms);
    if (trouble) {
        system.set_cut(1, "i-1", false);
    }
    system.run_for(3s);
}

/// One replica receives nothing; the primary crashes; the other replica, cut off from the store, crashes with
/// it and starts again under its id with nothing.
void play_start_anew(world& system, bool trouble) {
    if (!trouble) {
        system.run_for(8s);
        return;
    }
    system.log().write("i-2 receives nothing from now on");
    system.model().set_cut("i-1", "i-2", true);
    system.run_for(1500ms);
    system.set_reaches_store("i-3", false);
    system.run_for(500ms);
    system.crash("i-1");
    system.crash("i-3");
    system.run_for(300ms);
    system.start_anew("i-3");
    system.run_for(2700ms);
    system.set_reaches_store("i-3", true);
    system.run_for(500ms);
    system.model().set_cut("i-1", "i-2", false);
    system.come_back("i-1");
    system.run_for(4s);
}

/// Kills all daemons and starts them again; returns what is broken when less than a quarter is served later
/// than RecoveryS after that, though a quarter or more was before.
std::vector<std::string> kill_all(world& system) {
    const std::size_t sent_first = system.sent();
    const std::size_t served_first = system.served();
    for (int number = 1; number <= 3; ++number) {
        system.end_daemon(number, SIGKILL);
    }
    system.run_for(700ms);
    for (int number = 1; number <= 3; ++number) {
        system.start_daemon(number);
    }
    // RecoveryS.
    system.run_for(12s);
    const std::size_t sent_before = system.sent();
    const std::size_t served_before = system.served();
    system.run_for(8s);
    const std::size_t sent = system.sent() - sent_before;
    const std::size_t served = system.served() - served_before;
    const std::string seen = fmt::format("before the final fault {} of {} were served; from 12 s after the "
                                         "daemons are back, for 8 s: {} of {}",
                                         served_first, sent_first, served, sent);
    system.log().write(seen);
    const bool held = served_first * 4 < sent_first || served * 4 >= std::max<std::size_t>(sent, 1);
    return held ? std::vector<std::string>{} : std::vector<std::string>{"RECOVER: " + seen};
}

/// An entry of kind `servers` that another writer made; then all daemons are killed and start again.
std::vector<std::string> play_unreadable(world& system, bool trouble, const std::string& spec) {
    if (trouble) {
        system.log().write(fmt::format("another writer writes the entry zz-other: {} bytes", spec.size()));
        system.platform_store().write("servers", "zz-other", spec);
    }
    system.run_for(2s);
    return kill_all(system);
}

/// A replica and the primary are replaced, with both new instances there before; the replica leaves while the
/// daemons replace the primary. Then all daemons are killed and start again.
std::vector<std::string> play_release(world& system, bool trouble) {
    static_cast<void>(system.add_instance("i-4", "c"));
    system.run_for(200ms);
    if (trouble) {
        system.set_draining("i-3");
    }
    system.run_for(5s);
    static_cast<void>(system.add_instance("i-5", "a"));
    // DrainMs has passed for i-3; it may serve a little longer.
    system.run_for(2500ms);
    system.set_draining("i-1");
    const auto is_fenced = [&system] { return system.model().fenced_term("i-2") > 0; };
    const bool fenced = system.run_until(is_fenced, 3s);
    if (trouble && fenced) {
        system.run_for(100ms);
        system.leave("i-3");
    }
    system.loop().run_after(8s, [&system] { system.leave("i-1"); });
    system.run_for(4s);
    return kill_all(system);
}

/// One peer for each of two daemons floods it with statements for 6.5 s.
std::vector<std::string> play_flood(world& system, bool trouble) {
    constexpr std::size_t memory_mb = 390;
    constexpr std::size_t bytes_per_s = 40'000'000;
    constexpr std::size_t allowed_ends = 2;
    system.watch_memory(memory_mb);
    std::vector<pid_t> peers;
    for (int number = 1; number <= 2; ++number) {
        peers.push_back(start_peer(system.client_address(number), !trouble, bytes_per_s));
    }
    system.run_for(6500ms);
    for (const pid_t peer : peers) {
        kill(peer, SIGKILL);
        int status = 0;
        waitpid(peer, &status, 0);
    }
    system.log().write("the peers have ended");
    system.run_for(3s);
    std::vector<std::string> ended;
    for (const std::map<int, std::size_t>::value_type& each : system.memory_ends()) {
        if (each.second > allowed_ends) {
            ended.push_back(fmt::format("Fault: daemon {} ended {} times, as it exceeded its memory",
                                        each.first, each.second));
        }
    }
    constexpr std::size_t allowed_daemons = 1;
    return ended.size() > allowed_daemons ? ended : std::vector<std::string>{};
}

int report(world& system, const std::vector<std::string>& broken) {
    system.copy_logs({"promotion_", "primary_changed", "primary_judged", "replica_fenced", "instance_added",
                      "instance_restarted", "list_failed", "members_settled", "Sanitizer", "runtime error",
                      "Assertion"});
    for (const std::string& each : broken) {
        system.log().write("BROKEN " + each);
    }
    for (const std::string& each : system.model().violations()) {
        system.log().write("noted by the stand-in of the service: " + each);
    }
    system.log().write(broken.empty() ? "result: the rule held" : "result: the rule was broken");
    return broken.empty() ? exit_held : exit_broken;
}

int play(const std::string& scenario, const std::string& folder, const std::string& program) {
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    world system(folder, program);
    if (!start(system)) {
        system.log().write("result: the case could not run");
        return exit_not_run;
    }
    system.log().write(trouble ? "the trouble begins" : "no trouble in this run");
    if (scenario == "zone-cut") {
        play_zone_cut(system, trouble);
        return report(system, system.lost());
    }
    if (scenario == "latest-read") {
        play_latest_read(system, trouble);
        return report(system, system.stale());
    }
    if (scenario == "start-anew") {
        play_start_anew(system, trouble);
        return report(system, system.lost());
    }
    if (scenario == "release") {
        return report(system, play_release(system, trouble));
    }
    if (scenario == "flood") {
        return report(system, play_flood(system, trouble));
    }
    if (scenario == "unreadable") {
        return report(system, play_unreadable(system, trouble, "\"\xff\xfe\xc3\x28\""));
    }
    if (scenario == "nested") {
        return report(system, play_unreadable(system, trouble,
                                              R"({"Backend":"wheeldb","Zone":)" + std::string(70, '[') +
                                                  std::string(70, ']') + "}"));
    }
    system.log().write("result: no such scenario");
    return exit_not_run;
}

} // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    if (count != 4) {
        fmt::print(stderr, "usage: world SCENARIO FOLDER PROGRAM\n");
        return exit_not_run;
    }
    return play(arguments[1], arguments[2], arguments[3]);
}
