#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/reconnecting_client.h"
#include "gentianhill/store/store_result.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Limits of the client of the platform's object API.
struct object_store_settings {
    /// Address of the service.
    endpoint service;
    /// Longest wait for the answer to one call.
    duration call_timeout = std::chrono::seconds{1};
    /// Calls in progress at once; further ones wait.
    std::size_t max_concurrent_calls = 8;
    /// Calls that wait; further ones, and calls that waited longer than call_timeout, end as
    /// platform_unavailable.
    std::size_t max_waiting_calls = 256;
    /// Delays between failed connections and between attempts of one update.
    http2::backoff_settings retry;
    /// Attempts of one conditional update or creation, counting each write and each repeated read.
    unsigned max_attempts = 8;
    /// Largest answer, in bytes; a list may hold many objects of up to 1 MB.
    std::size_t max_answer_bytes = 64U << 20U;
};

/// Client of the platform's object API. All handlers run from the loop, never from within the call, and never
/// after destruction.
class object_store {
public:
    using result_handler = std::function<void(const store_result&)>;
    using list_handler = std::function<void(const list_result&)>;
    using watch_handler = std::function<void(const watch_result&)>;
    using hosts_handler = std::function<void(const hosts_result&)>;
    using update_handler = std::function<void(const update_result&)>;
    using create_handler = std::function<void(const create_result&)>;
    /// Returns the new content, or nothing to leave the object as it is. It may be called several times, also
    /// after its own earlier write took effect, so it must recognise its own change.
    using change_function =
        std::function<std::optional<nlohmann::json>(const std::optional<nlohmann::json>&)>;

    /// `random` returns uniform values in [0, 1); the loop must outlive the store.
    object_store(event_loop& loop, const object_store_settings& settings, std::function<double()> random);
    ~object_store();
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;

    /// Reads an object: found, not_found, platform_unavailable or bad_answer.
    void get(const std::string& key, result_handler on_result);
    /// Writes an object if it has the given version; 0 means that it must not exist.
    /// Results: stored, version_conflict, platform_unavailable, unknown or bad_answer.
    void put(const std::string& key, const nlohmann::json& value, std::uint64_t if_version,
             result_handler on_result);
    /// Deletes an object if it has the given version.
    /// Results: removed, not_found, version_conflict, platform_unavailable, unknown or bad_answer.
    void remove(const std::string& key, std::uint64_t if_version, result_handler on_result);
    /// Reads all objects whose keys begin with the prefix.
    void list(const std::string& prefix, list_handler on_result);
    /// Waits up to `wait` for changes after a revision; not counted among the concurrent calls.
    void watch(const std::string& prefix, std::uint64_t after, duration wait, watch_handler on_result);
    /// Reads the platform's lagging list of hosts.
    void hosts(hosts_handler on_result);

    /// Reads an object, changes it and writes it back, repeated on conflicts. A lost answer is resolved by
    /// reading the object back and comparing its content.
    void conditional_update(const std::string& key, change_function change, update_handler on_result);
    /// Creates an object that is never changed. A lost answer is resolved as for conditional_update.
    void create_once(const std::string& key, const nlohmann::json& value, create_handler on_result);

    /// Calls, failures and bytes since the start.
    [[nodiscard]] http2::client_counters counters() const;
    /// True when the last call that ended was answered.
    [[nodiscard]] bool is_available() const { return available_; }
    /// Calls in progress and waiting, without watches.
    [[nodiscard]] std::size_t open_calls() const { return running_calls_ + waiting_calls_.size(); }

private:
    using reply_handler = std::function<void(std::optional<http2::response>, const error&)>;
    struct waiting_call {
        http2::request message;
        reply_handler on_reply;
        time_point queued_at;
    };

    void call(http2::request message, reply_handler on_reply);
    void start(http2::request message, reply_handler on_reply);
    void start_waiting();
    void refuse_later(const error& reason, reply_handler on_reply);
    [[nodiscard]] std::function<void(duration, std::function<void()>)> delay_hook();

    event_loop& loop_;
    object_store_settings settings_;
    std::function<double()> random_;
    std::unique_ptr<http2::reconnecting_client> client_;
    /// Watches have a connection of their own, so that a large list does not delay them.
    std::unique_ptr<http2::reconnecting_client> watch_client_;
    std::deque<waiting_call> waiting_calls_;
    std::size_t running_calls_ = 0;
    bool available_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
