#pragma once

#include "gentianhill/core/event_loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace gentianhill::standins {

/// The platform's metadata store and promotion call over HTTP/1.1, in memory.
class http_platform {
public:
    /// The loop must outlive the server.
    explicit http_platform(event_loop& loop);
    ~http_platform();
    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    /// Listens on a further free port of the loopback address; returns it, 0 when that fails.
    [[nodiscard]] std::uint16_t listen();
    /// Writes an object as its owner does.
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /// Removes an object as the platform does, such as the entry of an instance that is silent.
    void erase(const std::string& kind, const std::string& name);
    /// Answers the calls that arrive on a port with 503, or serves them again.
    void set_refusing(std::uint16_t port, bool refuses);

    /// Changes the body of an answer to a call that has arrived on a port; may be empty.
    std::function<void(std::uint16_t port, nlohmann::json& body)> adapt;
    /// Takes a promotion with its fencing token; returns the status of the answer.
    std::function<int(const std::string& id, std::uint64_t token)> on_promote;
    /// Keeps a copy of the store as it is now.
    void take_copy();
    /// Replaces the store by the copy and starts a new era. Changes since the copy are lost, and their
    /// revisions are given out again.
    void restore();
    /// Number of the era, as all answers state it.
    [[nodiscard]] std::uint64_t era() const { return era_; }

    /// Every call is answered with 503.
    bool is_down = false;
    /// Changes that are made although they are answered with a failure.
    int lost_answers = 0;

private:
    struct store_state {
        std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
        std::vector<std::pair<std::string, nlohmann::json>> history;
        std::uint64_t revision = 1;
    };
    struct waiting_watch {
        std::uint64_t number = 0;
        evhttp_request* request = nullptr;
        std::string kind;
        std::uint64_t revision = 0;
    };

    void handle(evhttp_request* request);
    void reply(evhttp_request* request, int status, const nlohmann::json& body) const;
    void change(evhttp_request* request, const std::string& kind, const std::string& name);
    void remove(evhttp_request* request, const std::string& kind, const std::string& name);
    void list(evhttp_request* request, const std::string& kind);
    void watch(evhttp_request* request, const std::string& kind, std::uint64_t revision,
               std::int64_t wait_ms);
    [[nodiscard]] bool answer_events(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                                     bool even_none);
    void wake();
    void fail_watches();
    void fail_watches_if(const std::function<bool(const waiting_watch&)>& fails);
    /// Removes an object, which becomes an event.
    void erase(std::map<std::pair<std::string, std::string>, nlohmann::json>::const_iterator object);

    event_loop& loop_;
    evhttp* server_;
    store_state state_;
    store_state copy_;
    std::uint64_t era_ = 1;
    std::vector<waiting_watch> watches_;
    std::uint64_t last_watch_ = 0;
    std::set<std::uint16_t> refusing_ports_;
};

} // namespace gentianhill::standins
