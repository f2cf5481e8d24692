#include "standins/link/link_relay.h"

#include "gentianhill/core/object_reader.h"
#include "standins/common/answers.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace gentianhill::standins {

namespace {

constexpr int status_ok = 200;

http2::server_settings control_settings_of(const link_settings& settings) {
    http2::server_settings result;
    result.listen = settings.control;
    return result;
}

} // namespace

link_relay::link_relay(event_loop& loop, const link_settings& settings)
    : loop_(loop), settings_(settings), control_(loop, control_settings_of(settings)) {
    control_.on_request = [this](http2::connection_id /*connection*/, const http2::request& request,
                                 const http2::server::responder& respond) { on_control(request, respond); };
}

link_relay::~link_relay() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

bool link_relay::start(error& reason) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings_.listen.port);
    inet_pton(AF_INET, settings_.listen.address.c_str(), &address.sin_addr);
    const evconnlistener_cb on_accept = [](evconnlistener* /*listener*/, evutil_socket_t socket,
                                           sockaddr* /*peer*/, int /*length*/,
                                           void* self) { static_cast<link_relay*>(self)->accept(socket); };
    listener_ = evconnlistener_new_bind(loop_.native(), on_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr) {
        reason = error{error_code::bind_failed, "listen", settings_.listen.to_string(),
                       "an address of this host with a free port"};
        return false;
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &length);
    port_ = ntohs(bound.sin_port);
    return control_.listen(reason);
}

endpoint link_relay::address() const {
    return endpoint{settings_.listen.address, port_};
}

endpoint link_relay::control_address() const {
    return endpoint{settings_.control.address, control_.port()};
}

void link_relay::accept(int socket) {
    const std::uint64_t id = next_id_++;
    const std::shared_ptr<relayed_connection> created =
        std::make_shared<relayed_connection>(loop_, socket, settings_.target, state_);
    connections_.emplace(id, created);
    created->on_close = [this, id] {
        const std::map<std::uint64_t, std::shared_ptr<relayed_connection>>::iterator found =
            connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        // Freed from the loop: the connection is on the call stack.
        loop_.run_after(duration{0}, [closed = std::move(found->second)] {});
        connections_.erase(found);
    };
}

void link_relay::close_all() {
    connections_.clear();
}

void link_relay::on_control(const http2::request& request, const http2::server::responder& respond) {
    error reason;
    bool close = false;
    if (request.path != "/control") {
        reason = error{error_code::unknown_path, "path", request.path, "/control"};
    }
    if (reason.failed() || !state_.update(request.body, close, reason)) {
        respond(error_answer(reason));
        return;
    }
    if (close) {
        close_all();
    }
    // Copied: a direction that opens may finish its connection, which removes it from the map.
    const std::map<std::uint64_t, std::shared_ptr<relayed_connection>> open = connections_;
    for (const std::pair<const std::uint64_t, std::shared_ptr<relayed_connection>>& entry : open) {
        entry.second->state_changed();
    }
    respond(json_answer(status_ok, nlohmann::json{{"connections", connections_.size()}}));
}

} // namespace gentianhill::standins
