#pragma once

#include "gentianhill/http2/server.h"
#include "standins/common/hold_list.h"
#include "standins/platform/object_store.h"
#include "standins/platform/platform_faults.h"
#include "standins/platform/platform_requests.h"
#include "standins/platform/platform_settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill::standins {

/// Stand-in of the platform's service: objects with versions, watches and the host list, over HTTP/2. A test
/// loses the latest changes with POST /control/copy and, later, POST /control/restore.
class platform_service {
public:
    /// The loop must outlive the service.
    platform_service(event_loop& loop, const platform_settings& settings);
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;

    /// Starts to listen. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    /// Address that the service listens on.
    [[nodiscard]] endpoint address() const;

private:
    /// One request taken apart, with the way to answer it.
    struct call {
        http2::connection_id connection = 0;
        std::string method;
        request_target target;
        std::string body;
        http2::server::responder respond;
    };

    void receive(http2::connection_id connection, const http2::request& request,
                 const http2::server::responder& respond);
    void dispatch(const call& received);
    void on_object(const call& received, const std::string& key);
    void on_get(const call& received, const std::string& key);
    void on_put(const call& received, const std::string& key);
    void on_remove(const call& received, const std::string& key);
    void on_list(const call& received);
    void on_watch(const call& received);
    void on_control(const call& received);
    void on_hosts_changed(const call& received);
    /// Replaces the objects by the copy and raises the era. Errors: not_found without a copy.
    [[nodiscard]] bool restore(error& reason);
    [[nodiscard]] nlohmann::json counters() const;

    void answer(const call& received, int status, nlohmann::json body);
    void refuse(const call& received, const error& reason);
    void answer_change(const call& received, const std::string& key, std::optional<std::uint64_t> version,
                       const error& reason, bool is_answered);
    [[nodiscard]] const object_store& read_source() const;

    event_loop& loop_;
    platform_settings settings_;
    http2::server server_;
    platform_faults faults_;
    object_store objects_;
    /// Copy that stale reads are answered from.
    object_store frozen_;
    /// Copy that restore() returns to.
    std::optional<object_store> copy_;
    /// Number of restores so far.
    std::uint64_t era_ = 0;
    nlohmann::json hosts_ = nlohmann::json::array();
    hold_list watches_;
    std::map<std::string, std::uint64_t> calls_;
    /// Expires with the service; pending timers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill::standins
