#include "standins/platform/platform_service.h"

#include "gentianhill/core/object_reader.h"
#include "standins/common/answers.h"

#include <utility>

namespace gentianhill::standins {

namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr std::size_t max_request_bytes = 2U << 20U;
constexpr std::string_view objects_path = "/v1/objects/";

http2::server_settings server_settings_of(const platform_settings& settings) {
    http2::server_settings result;
    result.listen = settings.listen;
    result.max_body_bytes = max_request_bytes;
    return result;
}

nlohmann::json to_json(const std::vector<stored_object>& objects) {
    nlohmann::json result = nlohmann::json::array();
    for (const stored_object& object : objects) {
        result.push_back(standins::to_json(object));
    }
    return result;
}

nlohmann::json error_body(const error& reason) {
    return nlohmann::json{{"error", gentianhill::to_json(reason)}};
}

error unknown_path(const std::string& method, const std::string& path) {
    return error{error_code::unknown_path, "path", method + " " + path.substr(0, 80),
                 "/v1/objects/<key>, /v1/list, /v1/watch, /v1/hosts or /control"};
}

} // namespace

platform_service::platform_service(event_loop& loop, const platform_settings& settings)
    : loop_(loop), settings_(settings), server_(loop, server_settings_of(settings)), watches_(loop) {
    faults_.delay = settings.delay;
    faults_.hosts_lag = settings.hosts_lag;
    server_.on_request = [this](http2::connection_id connection, const http2::request& request,
                                const http2::server::responder& respond) {
        receive(connection, request, respond);
    };
    server_.on_close = [this](http2::connection_id connection) { watches_.drop(connection); };
}

bool platform_service::start(error& reason) {
    return server_.listen(reason);
}

endpoint platform_service::address() const {
    return endpoint{settings_.listen.address, server_.port()};
}

void platform_service::receive(http2::connection_id connection, const http2::request& request,
                               const http2::server::responder& respond) {
    const bool is_control = request.path.starts_with("/control");
    if (!is_control && faults_.refuse) {
        ++calls_["refused"];
        server_.close(connection);
        return;
    }
    if (!is_control && faults_.down) {
        ++calls_["unanswered"];
        return;
    }
    error reason;
    std::optional<request_target> target = read_target(request.path, reason);
    if (!target) {
        respond(error_answer(reason));
        return;
    }
    const call received{connection, request.method, std::move(*target), request.body, respond};
    if (is_control) {
        on_control(received);
    } else {
        dispatch(received);
    }
}

void platform_service::dispatch(const call& received) {
    const std::string& path = received.target.path;
    if (path.starts_with(objects_path)) {
        on_object(received, path.substr(objects_path.size()));
    } else if (received.method == "GET" && path == "/v1/list") {
        on_list(received);
    } else if (received.method == "GET" && path == "/v1/watch") {
        on_watch(received);
    } else if (received.method == "GET" && path == "/v1/hosts") {
        ++calls_["hosts"];
        answer(received, status_ok, nlohmann::json{{"hosts", hosts_}});
    } else {
        refuse(received, unknown_path(received.method, path));
    }
}

void platform_service::answer(const call& received, int status, nlohmann::json body) {
    body["era"] = era_;
    http2::response reply = json_answer(status, body);
    if (faults_.delay <= duration{0}) {
        received.respond(std::move(reply));
        return;
    }
    loop_.run_after(faults_.delay,
                    [respond = received.respond, reply = std::move(reply)] { respond(reply); });
}

void platform_service::refuse(const call& received, const error& reason) {
    ++calls_["rejected"];
    answer(received, status_of(reason.code), error_body(reason));
}

// Objects

const object_store& platform_service::read_source() const {
    return faults_.stale_reads ? frozen_ : objects_;
}

void platform_service::on_object(const call& received, const std::string& key) {
    error reason;
    if (!is_valid_key(key, reason)) {
        refuse(received, reason);
    } else if (received.method == "GET") {
        on_get(received, key);
    } else if (received.method == "PUT") {
        on_put(received, key);
    } else if (received.method == "DELETE") {
        on_remove(received, key);
    } else {
        refuse(received, unknown_path(received.method, received.target.path));
    }
}

void platform_service::on_get(const call& received, const std::string& key) {
    ++calls_["get"];
    error reason;
    const std::optional<stored_object> found = read_source().get(key, reason);
    if (found) {
        answer(received, status_ok, standins::to_json(*found));
    } else {
        answer(received, status_of(reason.code), error_body(reason));
    }
}

void platform_service::on_put(const call& received, const std::string& key) {
    ++calls_["put"];
    error reason;
    std::optional<put_request> request = read_put(received.body, reason);
    if (!request) {
        refuse(received, reason);
        return;
    }
    const std::optional<std::uint64_t> version =
        objects_.put(key, std::move(request->value), request->if_version, reason);
    const bool is_answered = !version || faults_.drop_answers == 0;
    if (!is_answered) {
        --faults_.drop_answers;
        ++calls_["dropped_answers"];
    }
    answer_change(received, key, version, reason, is_answered);
}

void platform_service::on_remove(const call& received, const std::string& key) {
    ++calls_["delete"];
    error reason;
    const std::optional<std::uint64_t> if_version =
        query_number(received.target, "if_version", UINT64_MAX, reason);
    if (reason.failed()) {
        refuse(received, reason);
        return;
    }
    const std::optional<std::uint64_t> version = objects_.remove(key, if_version, reason);
    answer_change(received, key, version, reason, true);
}

void platform_service::answer_change(const call& received, const std::string& key,
                                     std::optional<std::uint64_t> version, const error& reason,
                                     bool is_answered) {
    if (!version) {
        ++calls_[std::string{to_string(reason.code)}];
        const nlohmann::json body{{"error", gentianhill::to_json(reason)},
                                  {"version", objects_.version_of(key)}};
        answer(received, status_of(reason.code), body);
        return;
    }
    if (is_answered) {
        answer(received, status_ok, nlohmann::json{{"version", *version}});
    }
    watches_.wake();
}

void platform_service::on_list(const call& received) {
    ++calls_["list"];
    error reason;
    const std::string prefix =
        received.target.query.count("prefix") > 0 ? received.target.query.at("prefix") : "";
    if (!is_valid_prefix(prefix, reason)) {
        refuse(received, reason);
        return;
    }
    const object_store& source = read_source();
    answer(received, status_ok,
           nlohmann::json{{"revision", source.revision()}, {"objects", to_json(source.list(prefix))}});
}

void platform_service::on_watch(const call& received) {
    ++calls_["watch"];
    error reason;
    const std::string prefix =
        received.target.query.count("prefix") > 0 ? received.target.query.at("prefix") : "";
    const std::uint64_t after = query_number(received.target, "after", UINT64_MAX, reason).value_or(0);
    const std::uint64_t longest = static_cast<std::uint64_t>(to_milliseconds(max_watch));
    const std::uint64_t wait_ms = query_number(received.target, "wait_ms", longest, reason).value_or(0);
    if (reason.failed() || !is_valid_prefix(prefix, reason)) {
        refuse(received, reason);
        return;
    }
    if (after > objects_.revision()) {
        answer(received, status_gone, nlohmann::json{{"revision", objects_.revision()}});
        return;
    }
    watches_.hold(
        received.connection, std::chrono::milliseconds{wait_ms},
        [this, prefix, after] { return !objects_.changed_since(prefix, after).empty(); },
        [this, received, prefix, after] {
            answer(received, status_ok,
                   nlohmann::json{{"revision", objects_.revision()},
                                  {"objects", to_json(objects_.changed_since(prefix, after))}});
        });
}

// Control

void platform_service::on_control(const call& received) {
    const std::string& path = received.target.path;
    if (path == "/control/counters") {
        received.respond(json_answer(status_ok, counters()));
        return;
    }
    if (path == "/control/hosts") {
        on_hosts_changed(received);
        return;
    }
    error reason;
    const bool was_stale = faults_.stale_reads;
    if (path == "/control/copy") {
        copy_ = objects_;
    } else if (path == "/control/restore") {
        static_cast<void>(restore(reason));
    } else if (path != "/control") {
        reason = unknown_path(received.method, path);
    }
    const bool sets_faults = path == "/control";
    if (reason.failed() || (sets_faults && !faults_.update(received.body, reason))) {
        received.respond(error_answer(reason));
        return;
    }
    if (faults_.stale_reads && !was_stale) {
        frozen_ = objects_;
    }
    received.respond(json_answer(status_ok, nlohmann::json::object()));
}

bool platform_service::restore(error& reason) {
    if (!copy_) {
        reason = error{error_code::not_found, "copy", "", "a copy made before by POST /control/copy"};
        return false;
    }
    objects_ = *copy_;
    frozen_ = *copy_;
    ++era_;
    return true;
}

void platform_service::on_hosts_changed(const call& received) {
    error reason;
    std::optional<nlohmann::json> hosts = read_hosts(received.body, reason);
    if (!hosts) {
        received.respond(error_answer(reason));
        return;
    }
    if (faults_.hosts_lag <= duration{0}) {
        hosts_ = std::move(*hosts);
    } else {
        const std::weak_ptr<bool> alive = alive_;
        loop_.run_after(faults_.hosts_lag, [this, alive, changed = std::move(*hosts)] {
            if (!alive.expired()) {
                hosts_ = changed;
            }
        });
    }
    received.respond(json_answer(status_ok, nlohmann::json::object()));
}

nlohmann::json platform_service::counters() const {
    return nlohmann::json{{"calls", calls_},
                          {"waiting_watches", watches_.size()},
                          {"objects", objects_.list("").size()},
                          {"revision", objects_.revision()},
                          {"era", era_}};
}

} // namespace gentianhill::standins
