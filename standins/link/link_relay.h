#pragma once

#include "gentianhill/http2/server.h"
#include "standins/link/link_settings.h"
#include "standins/link/link_state.h"
#include "standins/link/relayed_connection.h"

#include <cstdint>
#include <map>
#include <memory>

struct evconnlistener;

namespace gentianhill::standins {

/// TCP relay whose directions can be blocked, delayed and cut by a control call: POST /control
/// {"forward", "backward", "delay_ms", "bytes_per_s", "close"} over HTTP/2.
class link_relay {
public:
    /// The loop must outlive the relay.
    link_relay(event_loop& loop, const link_settings& settings);
    ~link_relay();
    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;

    /// Starts to listen on both addresses. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    /// Address that is relayed.
    [[nodiscard]] endpoint address() const;
    /// Address of the control call.
    [[nodiscard]] endpoint control_address() const;
    /// Connections relayed now.
    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

private:
    void accept(int socket);
    void on_control(const http2::request& request, const http2::server::responder& respond);
    void close_all();

    event_loop& loop_;
    link_settings settings_;
    http2::server control_;
    link_state state_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<relayed_connection>> connections_;
};

} // namespace gentianhill::standins
