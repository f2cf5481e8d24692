#include "standins/line_platform/http_platform.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <arpa/inet.h>
#include <iterator>
#include <sys/socket.h>

namespace gentianhill::standins {

namespace {

constexpr int status_ok = 200;
constexpr int status_missing = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_down = 503;

std::string body_of(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::uint16_t port_of(evutil_socket_t socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Port of the server that a request has arrived on.
std::uint16_t port_of(evhttp_request* request) {
    return port_of(
        bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request))));
}

std::string header_of(evhttp_request* request, const char* name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

} // namespace

http_platform::http_platform(event_loop& loop) : loop_(loop), server_(evhttp_new(loop.native())) {
    evhttp_set_allowed_methods(server_,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* argument) {
            static_cast<http_platform*>(argument)->handle(request);
        },
        this);
}

http_platform::~http_platform() {
    watches_.clear();
    evhttp_free(server_);
}

std::uint16_t http_platform::listen() {
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(server_, "127.0.0.1", 0);
    if (bound == nullptr) {
        return 0;
    }
    return port_of(evhttp_bound_socket_get_fd(bound));
}

void http_platform::set_refusing(std::uint16_t port, bool refuses) {
    if (!refuses) {
        refusing_ports_.erase(port);
        return;
    }
    refusing_ports_.insert(port);
    fail_watches_if([port](const waiting_watch& open) { return port_of(open.request) == port; });
}

void http_platform::erase(const std::string& kind, const std::string& name) {
    const auto found = state_.objects.find({kind, name});
    if (found != state_.objects.end()) {
        erase(found);
        wake();
    }
}

void http_platform::erase(
    std::map<std::pair<std::string, std::string>, nlohmann::json>::const_iterator object) {
    nlohmann::json removed = object->second;
    removed["meta"]["Revision"] = ++state_.revision;
    state_.history.emplace_back(object->first.first, nlohmann::json{{"Object", removed}, {"Deleted", true}});
    state_.objects.erase(object);
}

void http_platform::write(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    const nlohmann::json object = {{"meta", {{"Name", name}, {"Revision", ++state_.revision}}},
                                   {"spec", spec}};
    state_.objects[{kind, name}] = object;
    state_.history.emplace_back(kind, nlohmann::json{{"Object", object}, {"Deleted", false}});
    wake();
}

void http_platform::take_copy() {
    copy_ = state_;
}

void http_platform::restore() {
    fail_watches();
    state_ = copy_;
    ++era_;
}

void http_platform::fail_watches() {
    fail_watches_if([](const waiting_watch&) { return true; });
}

void http_platform::fail_watches_if(const std::function<bool(const waiting_watch&)>& fails) {
    std::vector<waiting_watch> dropped;
    std::copy_if(watches_.begin(), watches_.end(), std::back_inserter(dropped), fails);
    std::erase_if(watches_, fails);
    for (const waiting_watch& each : dropped) {
        reply(each.request, status_down, nlohmann::json::object());
    }
}

void http_platform::reply(evhttp_request* request, int status, const nlohmann::json& body) const {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era", std::to_string(era_).c_str());
    evbuffer* buffer = evbuffer_new();
    nlohmann::json adapted = body;
    if (adapt) {
        adapt(port_of(request), adapted);
    }
    const std::string text = adapted.dump();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_platform::handle(evhttp_request* request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const std::string path = evhttp_uri_get_path(uri);
    if (is_down || refusing_ports_.count(port_of(request)) > 0) {
        reply(request, status_down, nlohmann::json::object());
        return;
    }
    if (path == "/promote") {
        const nlohmann::json body = nlohmann::json::parse(body_of(request));
        const std::uint64_t token = std::stoull("0" + header_of(request, "X-Gentianhill-Fencing-Token"));
        reply(request, on_promote(body.at("Id"), token), nlohmann::json::object());
        return;
    }
    constexpr std::string_view prefix = "/objects/";
    const std::string rest = path.substr(std::min(path.size(), prefix.size()));
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
        change(request, kind, name);
        return;
    }
    if (!name.empty()) {
        const auto found = state_.objects.find({kind, name});
        reply(request, found == state_.objects.end() ? status_missing : status_ok,
              found == state_.objects.end() ? nlohmann::json::object() : found->second);
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

void http_platform::list(evhttp_request* request, const std::string& kind) {
    nlohmann::json items = nlohmann::json::array();
    for (const auto& entry : state_.objects) {
        if (entry.first.first == kind) {
            items.push_back(entry.second);
        }
    }
    reply(request, status_ok, {{"items", items}, {"HasMore", false}, {"StoreRevision", state_.revision}});
}

void http_platform::change(evhttp_request* request, const std::string& kind, const std::string& path_name) {
    if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE) {
        remove(request, kind, path_name);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(body_of(request));
    const std::string name = body.at("meta").at("Name");
    const std::uint64_t revision = body.at("meta").value("Revision", std::uint64_t{0});
    const auto present = state_.objects.find({kind, name});
    const std::uint64_t current =
        present == state_.objects.end() ? 0 : present->second.at("meta").at("Revision").get<std::uint64_t>();
    if (revision != current) {
        reply(request, present == state_.objects.end() ? status_missing : status_conflict,
              present == state_.objects.end() ? nlohmann::json::object() : present->second);
        return;
    }
    write(kind, name, body.at("spec"));
    if (lost_answers > 0) {
        // The caller gives up in the end, and its closing ends the request.
        --lost_answers;
        return;
    }
    reply(request, status_ok, state_.objects.at({kind, name}));
}

void http_platform::remove(evhttp_request* request, const std::string& kind, const std::string& name) {
    const auto present = state_.objects.find({kind, name});
    if (present == state_.objects.end()) {
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
    erase(present);
    reply(request, status_ok, nlohmann::json::object());
    wake();
}

bool http_platform::answer_events(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                                  bool even_none) {
    nlohmann::json events = nlohmann::json::array();
    for (const std::pair<std::string, nlohmann::json>& entry : state_.history) {
        if (entry.first == kind && entry.second.at("Object").at("meta").at("Revision") > revision) {
            events.push_back(entry.second);
        }
    }
    if (events.empty() && !even_none) {
        return false;
    }
    reply(request, status_ok, {{"events", events}, {"StoreRevision", state_.revision}});
    return true;
}

void http_platform::watch(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                          std::int64_t wait_ms) {
    if (revision > state_.revision) {
        reply(request, status_gone, nlohmann::json::object());
        return;
    }
    if (answer_events(request, kind, revision, false)) {
        return;
    }
    const std::uint64_t number = ++last_watch_;
    watches_.push_back({number, request, kind, revision});
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* closed, void* argument) {
            http_platform* self = static_cast<http_platform*>(argument);
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

void http_platform::wake() {
    std::vector<waiting_watch> open;
    open.swap(watches_);
    for (const waiting_watch& each : open) {
        if (!answer_events(each.request, each.kind, each.revision, false)) {
            watches_.push_back(each);
        }
    }
}

} // namespace gentianhill::standins
