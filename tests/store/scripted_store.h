#pragma once

#include "gentianhill/core/object_reader.h"
#include "gentianhill/http2/server.h"
#include "gentianhill/store/object_store.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// HTTP/2 server that responds to each request with the next scripted step, or with `fallback` once all steps
/// are used. Without a fallback it does not respond.
struct scripted_store {
    using responder = http2::server::responder;
    using step = std::function<void(http2::connection_id, const http2::request&, const responder&)>;

    event_loop loop;
    std::unique_ptr<http2::server> server;
    std::deque<step> steps;
    step fallback;
    std::vector<std::string> requests;
    object_store_settings settings;

    scripted_store() {
        start(0);
        settings.service = endpoint{"127.0.0.1", server->port()};
        settings.call_timeout = std::chrono::milliseconds{200};
        settings.retry =
            http2::backoff_settings{std::chrono::milliseconds{5}, std::chrono::milliseconds{20}, 0.5};
    }

    void start(std::uint16_t port) {
        http2::server_settings server_settings;
        server_settings.listen = endpoint{"127.0.0.1", port};
        server = std::make_unique<http2::server>(loop, server_settings);
        server->on_request = [this](http2::connection_id id, const http2::request& request,
                                    const responder& respond) {
            requests.push_back(request.method + " " + request.path);
            step next = fallback;
            if (!steps.empty()) {
                next = steps.front();
                steps.pop_front();
            }
            if (next) {
                next(id, request, respond);
            }
        };
        error reason;
        REQUIRE(server->listen(reason));
    }

    static step reply(int status, const nlohmann::json& body) {
        return [status, body](http2::connection_id, const http2::request&, const responder& respond) {
            respond(http2::response{status, body.dump()});
        };
    }
    static step object(std::uint64_t version, const nlohmann::json& value) {
        return reply(200, {{"key", "k"}, {"version", version}, {"value", value}});
    }
    static step stored(std::uint64_t version) { return reply(200, {{"version", version}}); }
    static step conflict(std::uint64_t version) { return reply(409, {{"version", version}}); }
    static step absent() { return reply(404, nlohmann::json::object()); }
    step close_connection() {
        return
            [this](http2::connection_id id, const http2::request&, const responder&) { server->close(id); };
    }
    bool wait(const std::function<bool()>& done) { return loop.run_until(done, std::chrono::seconds{5}); }
};

} // namespace gentianhill
