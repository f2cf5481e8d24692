#include "review/deployment_2.h"

#include "gentianhill/core/boot_clock.h"
#include "platform/line_codec.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gentianhill::review {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_missing = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr unsigned first_inherited = 3;
constexpr int exit_not_started = 127;
constexpr std::size_t clients_per_machine = 3;
/// Commits that a read is compared with, the newest first.
constexpr std::size_t compared_commits = 100;
const std::string group = "orders";
/// Program of the deploy file's role.
const std::string program = "target/gentianhill-edge";

standins::service_model_settings model_settings() {
    standins::service_model_settings settings;
    settings.replication = 2ms;
    settings.apply = 8ms;
    settings.promotion = 1000ms;
    settings.work = 3ms;
    settings.max_connections = 28;
    return settings;
}

std::string body_of(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::string header_of(evhttp_request* request, const char* name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

void reply(evhttp_request* request, int status, const nlohmann::json& body) {
    evbuffer* buffer = evbuffer_new();
    const std::string text = body.dump();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

/// A port that is free on all addresses of the daemons.
std::uint16_t free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool is_bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                          getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    ::close(probe);
    return is_bound ? ntohs(address.sin_port) : 0;
}

} // namespace

page_store::page_store(event_loop& loop, std::uint64_t first_revision)
    : loop_(loop), server_(evhttp_new(loop.native())), revision_(first_revision) {
    evhttp_set_allowed_methods(server_,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* argument) { static_cast<page_store*>(argument)->handle(request); },
        this);
}

page_store::~page_store() {
    watches_.clear();
    evhttp_free(server_);
}

std::uint16_t page_store::listen() {
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(server_, "127.0.0.1", 0);
    if (bound == nullptr) {
        return 0;
    }
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void page_store::write(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    const auto present = objects_.find({kind, name});
    if (present != objects_.end() && present->second.at("spec") == spec) {
        return;
    }
    const nlohmann::json object = {{"meta", {{"Name", name}, {"Revision", ++revision_}}}, {"spec", spec}};
    objects_[{kind, name}] = object;
    history_.emplace_back(kind, nlohmann::json{{"Object", object}, {"Deleted", false}});
    wake();
}

void page_store::erase(const std::string& kind, const std::string& name) {
    const auto present = objects_.find({kind, name});
    if (present == objects_.end()) {
        return;
    }
    nlohmann::json removed = present->second;
    removed["meta"]["Revision"] = ++revision_;
    objects_.erase(present);
    history_.emplace_back(kind, nlohmann::json{{"Object", removed}, {"Deleted", true}});
    wake();
}

void page_store::handle(evhttp_request* request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const std::string path = evhttp_uri_get_path(uri);
    if (path == "/promote") {
        const nlohmann::json body = nlohmann::json::parse(body_of(request));
        const std::uint64_t token = std::stoull("0" + header_of(request, "X-Gentianhill-Fencing-Token"));
        reply(request, on_promote(body.at("Id"), header_of(request, "X-Gentianhill-Lease-Holder"), token),
              nlohmann::json::object());
        return;
    }
    constexpr std::string_view prefix = "/objects/";
    const std::string rest = path.substr(std::min(path.size(), prefix.size()));
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE) {
        remove(request, kind, name);
        return;
    }
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
        change(request, kind, name);
        return;
    }
    if (!name.empty()) {
        const auto found = objects_.find({kind, name});
        reply(request, found == objects_.end() ? status_missing : status_ok,
              found == objects_.end() ? nlohmann::json::object() : found->second);
        return;
    }
    evkeyvalq query{};
    const char* text = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(text == nullptr ? "" : text, &query);
    const char* from = evhttp_find_header(&query, "Watch");
    const char* wait = evhttp_find_header(&query, "WaitMs");
    if (from == nullptr) {
        list(request, kind);
    } else {
        watch(request, kind, std::stoull(from), wait == nullptr ? 0 : std::stoll(wait));
    }
    evhttp_clear_headers(&query);
}

void page_store::list(evhttp_request* request, const std::string& kind) const {
    nlohmann::json items = nlohmann::json::array();
    for (const auto& entry : objects_) {
        if (entry.first.first == kind) {
            items.push_back(entry.second);
        }
    }
    reply(request, status_ok, {{"items", items}, {"HasMore", false}, {"StoreRevision", revision_}});
}

void page_store::change(evhttp_request* request, const std::string& kind, const std::string& path_name) {
    const nlohmann::json body = nlohmann::json::parse(body_of(request));
    const nlohmann::json& meta = body.at("meta");
    const std::string name = path_name.empty() ? meta.at("Name").get<std::string>() : path_name;
    const auto present = objects_.find({kind, name});
    const bool creates = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    if (!creates && present == objects_.end()) {
        reply(request, status_missing, nlohmann::json::object());
        return;
    }
    const bool matches = creates ? present == objects_.end()
                                 : !meta.contains("Revision") ||
                                       meta.at("Revision") == present->second.at("meta").at("Revision");
    if (!matches) {
        reply(request, status_conflict, present->second);
        return;
    }
    write(kind, name, body.at("spec"));
    reply(request, creates ? status_created : status_ok, objects_.at({kind, name}));
}

void page_store::remove(evhttp_request* request, const std::string& kind, const std::string& name) {
    const auto present = objects_.find({kind, name});
    if (present == objects_.end()) {
        reply(request, status_missing, nlohmann::json::object());
        return;
    }
    evkeyvalq query{};
    const char* text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evhttp_parse_query_str(text == nullptr ? "" : text, &query);
    const char* revision = evhttp_find_header(&query, "Revision");
    const bool matches =
        revision == nullptr ||
        present->second.at("meta").at("Revision").get<std::uint64_t>() == std::stoull(revision);
    evhttp_clear_headers(&query);
    if (!matches) {
        reply(request, status_conflict, present->second);
        return;
    }
    erase(kind, name);
    reply(request, status_ok, nlohmann::json::object());
}

bool page_store::answer_events(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                               bool even_none) const {
    nlohmann::json events = nlohmann::json::array();
    for (const std::pair<std::string, nlohmann::json>& entry : history_) {
        if (entry.first == kind && entry.second.at("Object").at("meta").at("Revision") > revision) {
            events.push_back(entry.second);
        }
    }
    if (events.empty() && !even_none) {
        return false;
    }
    reply(request, status_ok, {{"events", events}, {"StoreRevision", revision_}});
    return true;
}

void page_store::watch(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                       std::int64_t wait_ms) {
    if (revision > revision_) {
        reply(request, status_gone, nlohmann::json::object());
        return;
    }
    if (answer_events(request, kind, revision, wait_ms == 0)) {
        return;
    }
    const std::uint64_t number = ++last_watch_;
    watches_.push_back({number, request, kind, revision});
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* closed, void* argument) {
            page_store* self = static_cast<page_store*>(argument);
            std::erase_if(self->watches_, [closed](const waiting_watch& open) {
                return evhttp_request_get_connection(open.request) == closed;
            });
        },
        this);
    loop_.run_after(std::chrono::milliseconds(wait_ms), [this, number] {
        const auto open = std::find_if(watches_.begin(), watches_.end(),
                                       [number](const waiting_watch& each) { return each.number == number; });
        if (open != watches_.end()) {
            const waiting_watch ended = *open;
            watches_.erase(open);
            static_cast<void>(answer_events(ended.request, ended.kind, ended.revision, true));
        }
    });
}

void page_store::wake() {
    std::vector<waiting_watch> open;
    open.swap(watches_);
    for (const waiting_watch& each : open) {
        if (!answer_events(each.request, each.kind, each.revision, false)) {
            watches_.push_back(each);
        }
    }
}

small_deployment::small_deployment(std::uint64_t first_revision)
    : flusher_(loop_),
      model_(model_settings()),
      instances_(flusher_, model_, group),
      store_(loop_, first_revision) {
    const char* record = std::getenv("RECORD");
    record_.open(record == nullptr ? "record.txt" : record);
}

small_deployment::~small_deployment() {
    kill_daemons();
    if (!folder_.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void small_deployment::note(std::string_view text) {
    record_ << fmt::format("{:7} ms  {}", to_milliseconds(boot_now() - start_), text) << std::endl;
}

bool small_deployment::start() {
    start_ = boot_now();
    std::array<char, 64> folder{"/tmp/gentianhill-review-XXXXXX"};
    if (mkdtemp(folder.data()) == nullptr || access(program.c_str(), X_OK) != 0) {
        return false;
    }
    folder_ = folder.data();
    model_.call_after = [this](duration delay, std::function<void()> action) {
        loop_.run_after(delay, std::move(action));
    };
    model_.now = &boot_now;
    model_.on_run = [this](const standins::model_command& command, const standins::model_connection& from) {
        note(fmt::format("{} runs at {}", command.id, from.instance));
        const auto drained = drained_at_.find(from.instance);
        if (drained != drained_at_.end() && boot_now() > drained->second) {
            ++late_runs_;
            note(fmt::format("{} has reached {} {} ms too late", command.id, from.instance,
                             to_milliseconds(boot_now() - drained->second)));
        }
    };
    model_.on_read = [this](const standins::model_command& command, const standins::model_connection& from,
                            const std::vector<standins::model_entry>& log) {
        check_read(command.id, log);
        if (stale_.count(command.id) > 0) {
            note(fmt::format("{} has run at {} on a log of {} entries, which {}", command.id, from.instance,
                             log.size(), stale_[command.id]));
        }
    };
    store_.on_promote = [this](const std::string& id, const std::string& holder, std::uint64_t token) {
        note(fmt::format("platform: {} promotes {} with token {}", holder, id, token));
        return model_.promote(id) ? status_ok : status_conflict;
    };
    store_port_ = store_.listen();
    client_port_ = free_port();
    admin_port_ = free_port();
    peer_port_ = free_port();
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        add_instance(id);
    }
    model_.start();
    write_configuration();
    const std::array<const char*, 3> zones{"a", "b", "c"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
        machines_.push_back(
            {fmt::format("edge-{}-1", zones.at(i)), zones.at(i), fmt::format("127.0.0.{}", 11 + i), 0});
    }
    start_daemons();
    const std::array<const char*, 3> databases{"latest", "bounded", "own"};
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        for (std::size_t c = 0; c < clients_per_machine; ++c) {
            clients_.push_back(std::make_unique<page_client>());
            clients_.back()->machine = i;
            clients_.back()->database = databases.at(c);
        }
    }
    step();
    return store_port_ != 0;
}

void small_deployment::play(duration length) {
    const time_point end = boot_now() + length;
    loop_.run_until([end] { return boot_now() >= end; }, length + 1s);
}

void small_deployment::write_configuration() {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [name, type] : {std::pair<std::string, const char*>{"latest", "primary"},
                                     {"bounded", "bounded_staleness"},
                                     {"own", "read_your_writes"}}) {
        routes.push_back({{"Name", name},
                          {"Database", name},
                          {"Type", type},
                          {"Backend", group},
                          {"Priority", 1},
                          {"TimeoutMs", 800},
                          {"TargetLatencyMs", 200},
                          {"MaxStalenessMs", 1500}});
    }
    store_.write("config", "main",
                 {{"Version", 1},
                  {"Routes", routes},
                  {"Limits", {{"TxIdleMs", 3000}}},
                  {"Backends", {{{"Name", group}, {"MaxConns", 28}, {"SyncReplicas", 1}}}}});
}

void small_deployment::list(const std::string& id) {
    listed_primary_[id] = model_.is_primary(id);
    store_.write("servers", id,
                 {{"Backend", group},
                  {"Address", fmt::format("127.0.0.1:{}", instance_ports_[id])},
                  {"Zone", "a"},
                  {"Version", "v1"},
                  {"Capacity", 4},
                  {"State", drained_at_.count(id) > 0 ? "draining" : "ready"},
                  {"WarmupLeftMs", 0},
                  {"Sequence", 1},
                  {"born", born_[id]},
                  {"DbRole", listed_primary_[id] ? "primary" : "replica"}});
}

std::string small_deployment::settings_of(const machine& described) const {
    std::string seeds;
    for (const machine& each : machines_) {
        seeds += fmt::format("{}{}:{}", seeds.empty() ? "" : ",", each.address, admin_port_);
    }
    // deploy/settings.template, filled in.
    return fmt::format("name = {0}\nzone = {1}\nclient-listen = {2}:{3}\nadmin-listen = {2}:{4}\n"
                       "peer-listen = {2}:{5}\nseed-port = {5}\nseeds = {6}\nstore = 127.0.0.1:{7}\n"
                       "promotion-service = 127.0.0.1:{7}\ngrace-s = 6\nsilence-limit-ms = 4000\n"
                       "memory-limit-mb = 260\ndescriptor-limit = 4300\n",
                       described.name, described.zone, described.address, client_port_, admin_port_,
                       peer_port_, seeds, store_port_);
}

void small_deployment::launch(machine& started) {
    const std::string settings = folder_ + "/" + started.name;
    std::ofstream(settings) << settings_of(started);
    const std::string log = settings + ".log";
    const pid_t process = fork();
    if (process != 0) {
        started.pid = process;
        note("starts " + started.name);
        return;
    }
    const char* kept = std::getenv("KEEP_LOGS");
    const int out =
        ::open(kept != nullptr ? (std::string(kept) + "/" + started.name + ".log").c_str() : log.c_str(),
               O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // No daemon outlives the case, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    close_range(first_inherited, ~0U, 0);
    setenv("GENTIANHILL_CONFIG", settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(exit_not_started);
}

void small_deployment::start_daemons() {
    for (machine& each : machines_) {
        launch(each);
    }
}

void small_deployment::kill_daemons() {
    for (machine& each : machines_) {
        if (each.pid > 0) {
            kill(each.pid, SIGKILL);
            waitpid(each.pid, nullptr, 0);
            each.pid = 0;
            note("kills " + each.name);
        }
    }
}

void small_deployment::add_instance(const std::string& id) {
    note(id + " starts");
    model_.add(id);
    born_[id] = 1'780'000'000'000;
    instance_ports_[id] = instances_.listen(id);
    list(id);
}

void small_deployment::drain_instance(const std::string& id, duration bound, duration end) {
    drained_at_[id] = boot_now() + bound;
    list(id);
    note("the store has acknowledged that " + id + " leaves");
    loop_.run_after(end, [this, id] {
        note(id + " ends");
        is_lost_[id] = true;
        model_.set_up(id, false);
        instances_.reset(id);
        store_.erase("servers", id);
    });
}

void small_deployment::restart_empty(const std::string& id, duration down) {
    note(id + " ends");
    model_.set_up(id, false);
    instances_.reset(id);
    loop_.run_after(down, [this, id] {
        note(id + " starts again under its id, with nothing of before");
        model_.rebirth(id);
        ++born_[id];
        list(id);
    });
}

void small_deployment::check_read(const std::string& id, const std::vector<standins::model_entry>& log) {
    const auto read = latest_reads_.find(id);
    if (read == latest_reads_.end()) {
        return;
    }
    std::size_t compared = 0;
    const std::vector<standins::model_acknowledgement>& all = model_.acknowledgements();
    for (auto commit = all.rbegin(); commit != all.rend() && compared < compared_commits; ++commit) {
        if (commit->at >= read->second) {
            continue;
        }
        ++compared;
        if (log.size() <= commit->index || log[commit->index].id != commit->id) {
            stale_[id] = "lacks " + commit->id;
        }
    }
}

void small_deployment::step() {
    for (const std::string& id : model_.ids()) {
        if (!is_lost_[id] && listed_primary_[id] != model_.is_primary(id)) {
            note(fmt::format("{} is now {}", id, model_.is_primary(id) ? "primary" : "replica"));
            list(id);
        }
    }
    ++turn_;
    for (const std::unique_ptr<page_client>& each : clients_) {
        speak(*each);
    }
    loop_.run_after(20ms, [this] { step(); });
}

void small_deployment::speak(page_client& client) {
    if (client.socket == nullptr) {
        open(client);
        return;
    }
    if (!client.ready || !client.waiting.empty()) {
        return;
    }
    client.waiting = fmt::format("s{}", ++last_id_);
    client.writes = last_id_ % writes_one_in_ == 0;
    client.sent_at = boot_now();
    client.outcome.clear();
    if (counts_ != nullptr) {
        ++counts_->sent;
        open_counts_[client.waiting] = counts_;
    }
    if (!client.writes && client.database == "latest") {
        latest_reads_[client.waiting] = client.sent_at;
    }
    note(fmt::format("{} {} sent to {}", client.waiting, client.writes ? "WRITE" : "READ",
                     machines_[client.machine].name));
    client.socket->output() +=
        fmt::format("QUERY {} {}\r\n", client.waiting, client.writes ? "WRITE item data" : "READ item");
    client.socket->schedule_flush();
}

void small_deployment::open(page_client& client) {
    const endpoint address{machines_[client.machine].address, client_port_};
    client.socket = std::make_unique<platform::line_socket>(flusher_, address);
    client.ready = false;
    client.waiting.clear();
    client.socket->on_line = [this, &client](std::string_view line) { on_line(client, line); };
    client.socket->on_close = [this, &client](platform::socket_close_reason) {
        if (!client.waiting.empty()) {
            note(client.waiting + " has no answer: the connection is closed");
        } else if (!client.ready && counts_ != nullptr) {
            // A client that gets no session would have sent a statement.
            ++counts_->sent;
        }
        loop_.run_after(100ms, [&client] { client.socket.reset(); });
    };
    client.socket->output() += "STARTUP " + client.database + " review\r\n";
    client.socket->schedule_flush();
}

void small_deployment::on_line(page_client& client, std::string_view line) {
    const platform::message received = platform::split_message(line);
    if (received.kind == platform::message_kind::ready) {
        if (client.ready && !client.waiting.empty()) {
            finish(client);
        }
        client.ready = true;
    } else if (received.kind == platform::message_kind::complete) {
        client.outcome = "done";
    } else if (received.kind == platform::message_kind::error) {
        client.outcome = received.rest.substr(0, received.rest.find(' '));
        if (client.waiting.empty()) {
            // An error that answers nothing makes a client close its session.
            client.socket->close_when_sent();
        }
    }
}

void small_deployment::finish(page_client& client) {
    const std::string id = std::move(client.waiting);
    client.waiting.clear();
    note(fmt::format("{} answered {} after {} ms", id, client.outcome,
                     to_milliseconds(boot_now() - client.sent_at)));
    const auto counted = open_counts_.find(id);
    if (client.outcome == "done") {
        if (client.writes) {
            model_.confirm(id);
        }
        if (stale_.count(id) > 0) {
            ++stale_answered_;
            note(id + " was answered with success although it " + stale_[id]);
        }
        if (counted != open_counts_.end()) {
            ++counted->second->served;
        }
    }
    open_counts_.erase(id);
    latest_reads_.erase(id);
}

} // namespace gentianhill::review
