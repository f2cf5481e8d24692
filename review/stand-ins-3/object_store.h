#pragma once

#include "event_poll.h"
#include "http_server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// The platform's metadata store by its published page: objects by kind and name, conditional writes, lists
/// and watches. It answers at once and loses nothing.
class object_store {
public:
    explicit object_store(event_poll& loop);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Writes an object as its owner does.
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// Removes an object as its owner does.
    void remove(const std::string& kind, const std::string& name);
    /// Called with each write that a daemon has made.
    std::function<void(const std::string& kind, const std::string& name, const nlohmann::json& spec)>
        on_write;

private:
    using key = std::pair<std::string, std::string>;
    struct change {
        std::string kind;
        std::uint64_t revision = 0;
        nlohmann::json event;
    };
    struct waiting {
        std::uint64_t number = 0;
        std::string kind;
        std::uint64_t revision = 0;
        http_server::responder respond;
    };

    void handle(const http_request& request, const http_server::responder& respond);
    void put(const http_request& request, const key& target, const http_server::responder& respond);
    void take_out(const http_request& request, const key& target, const http_server::responder& respond);
    void list(const http_request& request, const std::string& kind, const http_server::responder& respond);
    void watch(const http_request& request, const std::string& kind, const http_server::responder& respond);
    [[nodiscard]] nlohmann::json events_after(const std::string& kind, std::uint64_t revision) const;
    void record(const std::string& kind, const nlohmann::json& object, bool deleted);

    event_poll& loop_;
    http_server server_;
    std::map<key, nlohmann::json> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    std::list<waiting> watches_;
    std::uint64_t last_watch_ = 0;
};

} // namespace review
