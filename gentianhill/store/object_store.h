#pragma once

#include "gentianhill/core/event_loop.h"
#include "gentianhill/http2/reconnecting_client.h"
#include "gentianhill/store/store_result.h"

#include <boost/signals2/signal.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Limits of the client of the platform's object API.
struct object_store_settings {
    /// Address of the object API.
    endpoint service;
    /// Timeout of one call.
    duration call_timeout = std::chrono::seconds{1};
    /// Limit of concurrent calls; further calls are queued.
    std::size_t max_concurrent_calls = 8;
    /// Limit of queued calls. Calls beyond it, and calls queued for longer than call_timeout, end as
    /// platform_unavailable.
    std::size_t max_queued_calls = 256;
    /// Backoff between connection attempts and between the attempts of one update or creation.
    http2::backoff_settings retry;
    /// Attempts of one conditional update or creation. Each write and each repeated read counts as one.
    unsigned max_attempts = 8;
    /// Largest response body; a list may hold many objects of up to 1 MB.
    std::size_t max_response_bytes = 64U << 20U;
    /// Longest time beyond its timeout for which a response may go on arriving: lists grow with the
    /// deployment.
    duration arrival_limit = std::chrono::seconds{10};
};

/// Client of the platform's object API. A response of an earlier era than the highest one seen counts as
/// lost: it describes a state that the store no longer has. All handlers run from the event loop, never from
/// within the call that they belong to, and never after the destruction of the store.
class object_store {
public:
    using result_handler = std::function<void(const store_result&)>;
    using list_handler = std::function<void(const list_result&)>;
    using watch_handler = std::function<void(const watch_result&)>;
    using hosts_handler = std::function<void(const hosts_result&)>;
    using update_handler = std::function<void(const update_result&)>;
    using create_handler = std::function<void(const create_result&)>;
    /// Maps the current content, or nullopt if the object does not exist, to the new content, or to nullopt
    /// to leave the object as it is. It may be called several times, also after an earlier write of its own
    /// took effect, so it must recognise its own change.
    using change_function =
        std::function<std::optional<nlohmann::json>(const std::optional<nlohmann::json>&)>;

    /// `random` returns uniform values in [0, 1); the loop must outlive the store.
    object_store(event_loop& loop, const object_store_settings& settings, std::function<double()> random);
    ~object_store();
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;

    /// Reads an object.
    /// Results: found, not_found, platform_unavailable or bad_answer.
    void get(const std::string& key, result_handler on_result);
    /// Writes an object if it still has the given version; 0 means that it must not exist.
    /// Results: stored, version_conflict, platform_unavailable, unknown or bad_answer.
    void put(const std::string& key, const nlohmann::json& value, std::uint64_t if_version,
             result_handler on_result);
    /// Deletes an object if it still has the given version.
    /// Results: removed, not_found, version_conflict, platform_unavailable, unknown or bad_answer.
    void remove(const std::string& key, std::uint64_t if_version, result_handler on_result);
    /// Reads all objects whose keys begin with the prefix.
    void list(const std::string& prefix, list_handler on_result);
    /// Long poll of up to `wait` for changes after a revision. It does not count as a concurrent call.
    void watch(const std::string& prefix, std::uint64_t after, duration wait, watch_handler on_result);
    /// Reads the platform's list of hosts, which lags behind the actual state.
    void hosts(hosts_handler on_result);

    /// Read-modify-write of an object, repeated on version conflicts. If the response of a write is lost, the
    /// object is read back and its content compared. After a restore the object starts as absent: in era n
    /// above 0 it has the key "<key>/<n>", so that a delayed write of an earlier era does not affect it.
    void conditional_update(const std::string& key, change_function change, update_handler on_result);
    /// Creates an immutable object. A lost response is handled as in conditional_update.
    void create_once(const std::string& key, const nlohmann::json& value, create_handler on_result);

    /// Counters of both connections since construction.
    [[nodiscard]] http2::client_counters counters() const;
    /// Highest era that the store has stated; nothing before the first one.
    [[nodiscard]] std::optional<std::uint64_t> era() const { return era_; }
    /// Emitted after the first result of a new era, unless it is the first one that the store has stated.
    boost::signals2::signal<void()> on_restored;
    /// True if the last completed call received a response.
    [[nodiscard]] bool is_available() const { return available_; }
    /// Number of active and queued calls, without watches.
    [[nodiscard]] std::size_t pending_calls() const { return active_calls_ + call_queue_.size(); }

private:
    using reply_handler = std::function<void(std::optional<http2::response>, const error&)>;
    struct queued_call {
        http2::request message;
        reply_handler on_reply;
        time_point queued_at;
    };

    /// Reports a result, or, if it is of an earlier era, a failure with the given outcome.
    template <typename result_type>
    void deliver(result_type result, store_outcome outcome_if_lost,
                 const std::function<void(const result_type&)>& on_result);
    void call(http2::request message, reply_handler on_reply);
    void start_call(http2::request message, reply_handler on_reply);
    void start_queued_calls();
    void fail_later(const error& reason, reply_handler on_reply);
    [[nodiscard]] std::function<void(duration, std::function<void()>)> make_scheduler();

    event_loop& loop_;
    object_store_settings settings_;
    std::function<double()> random_;
    std::unique_ptr<http2::reconnecting_client> client_;
    /// Separate connection for watches, so that a large list does not delay them.
    std::unique_ptr<http2::reconnecting_client> watch_client_;
    std::deque<queued_call> call_queue_;
    std::size_t active_calls_ = 0;
    bool available_ = false;
    std::optional<std::uint64_t> era_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
