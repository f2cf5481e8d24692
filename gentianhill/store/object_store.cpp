#include "gentianhill/store/object_store.h"

#include "gentianhill/store/create_task.h"
#include "gentianhill/store/store_wire.h"
#include "gentianhill/store/update_task.h"

#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

http2::reconnecting_client_settings connection_settings(const object_store_settings& settings,
                                                        std::size_t max_open_requests) {
    http2::reconnecting_client_settings result;
    result.connection.server = settings.service;
    result.connection.connect_timeout = settings.call_timeout;
    result.connection.max_body_bytes = settings.max_response_bytes;
    result.connection.arrival_limit = settings.arrival_limit;
    result.reconnect = settings.retry;
    result.max_open_requests = max_open_requests;
    return result;
}

} // namespace

object_store::object_store(event_loop& loop, const object_store_settings& settings,
                           std::function<double()> random)
    : loop_(loop), settings_(settings), random_(std::move(random)) {
    constexpr std::size_t max_watches = 16;
    client_ = std::make_unique<http2::reconnecting_client>(
        loop_, connection_settings(settings_, settings_.max_concurrent_calls), random_);
    watch_client_ = std::make_unique<http2::reconnecting_client>(
        loop_, connection_settings(settings_, max_watches), random_);
}

object_store::~object_store() {
    alive_.reset();
}

void object_store::get(const std::string& key, result_handler on_result) {
    call(store_wire::get(key), [this, on_result = std::move(on_result)](
                                   const std::optional<http2::response>& reply, const error& reason) {
        deliver(store_wire::parse_get_response(reply, reason, settings_.max_response_bytes),
                store_outcome::platform_unavailable, on_result);
    });
}

void object_store::put(const std::string& key, const nlohmann::json& value, std::uint64_t if_version,
                       result_handler on_result) {
    // In watches a null value marks a removed object.
    assert(!value.is_null());
    call(store_wire::put(key, value, if_version),
         [this, on_result = std::move(on_result)](const std::optional<http2::response>& reply,
                                                  const error& reason) {
             deliver(store_wire::parse_put_response(reply, reason, settings_.max_response_bytes),
                     store_outcome::unknown, on_result);
         });
}

void object_store::remove(const std::string& key, std::uint64_t if_version, result_handler on_result) {
    call(store_wire::remove(key, if_version),
         [this, on_result = std::move(on_result)](const std::optional<http2::response>& reply,
                                                  const error& reason) {
             deliver(store_wire::parse_remove_response(reply, reason, settings_.max_response_bytes),
                     store_outcome::unknown, on_result);
         });
}

void object_store::list(const std::string& prefix, list_handler on_result) {
    call(store_wire::list(prefix), [this, on_result = std::move(on_result)](
                                       const std::optional<http2::response>& reply, const error& reason) {
        deliver(store_wire::parse_list_response(reply, reason, settings_.max_response_bytes),
                store_outcome::platform_unavailable, on_result);
    });
}

void object_store::hosts(hosts_handler on_result) {
    call(store_wire::hosts(), [this, on_result = std::move(on_result)](
                                  const std::optional<http2::response>& reply, const error& reason) {
        deliver(store_wire::parse_hosts_response(reply, reason, settings_.max_response_bytes),
                store_outcome::platform_unavailable, on_result);
    });
}

void object_store::watch(const std::string& prefix, std::uint64_t after, duration wait,
                         watch_handler on_result) {
    watch_client_->send(store_wire::watch(prefix, after, wait), wait + settings_.call_timeout,
                        [this, on_result = std::move(on_result)](const std::optional<http2::response>& reply,
                                                                 const error& reason) {
                            deliver(
                                store_wire::parse_watch_response(reply, reason, settings_.max_response_bytes),
                                store_outcome::platform_unavailable, on_result);
                        });
}

void object_store::conditional_update(const std::string& key, change_function change,
                                      update_handler on_result) {
    std::make_shared<update_task>(*this, make_scheduler(), http2::backoff{settings_.retry, random_},
                                  settings_.max_attempts, key, std::move(change), std::move(on_result))
        ->read();
}

void object_store::create_once(const std::string& key, const nlohmann::json& value,
                               create_handler on_result) {
    std::make_shared<create_task>(*this, make_scheduler(), http2::backoff{settings_.retry, random_},
                                  settings_.max_attempts, key, value, std::move(on_result))
        ->write();
}

http2::client_counters object_store::counters() const {
    http2::client_counters sum = client_->counters();
    const http2::client_counters watches = watch_client_->counters();
    sum.calls += watches.calls;
    sum.failures += watches.failures;
    sum.connections += watches.connections;
    sum.bytes_received += watches.bytes_received;
    sum.bytes_sent += watches.bytes_sent;
    return sum;
}

template <typename result_type>
void object_store::deliver(result_type result, store_outcome outcome_if_lost,
                           const std::function<void(const result_type&)>& on_result) {
    const std::optional<std::uint64_t> known = era_;
    if (!result.era) {
        result.era = known;
    } else if (known && *result.era < *known) {
        const error reason{error_code::platform_unavailable, "era", std::to_string(*result.era),
                           "at least " + std::to_string(*known)};
        result = result_type{};
        result.outcome = outcome_if_lost;
        result.reason = reason;
    } else {
        era_ = result.era;
    }
    const bool is_restored = known && *era_ > *known;
    const std::weak_ptr<bool> alive = alive_;
    on_result(result);
    if (is_restored && !alive.expired()) {
        on_restored();
    }
}

void object_store::call(http2::request message, reply_handler on_reply) {
    if (active_calls_ < settings_.max_concurrent_calls) {
        start_call(std::move(message), std::move(on_reply));
        return;
    }
    if (call_queue_.size() >= settings_.max_queued_calls) {
        fail_later(error{error_code::request_refused, "waiting_calls", std::to_string(call_queue_.size()),
                         "at most " + std::to_string(settings_.max_queued_calls)},
                   std::move(on_reply));
        return;
    }
    call_queue_.push_back(queued_call{std::move(message), std::move(on_reply), event_loop::now()});
}

void object_store::start_call(http2::request message, reply_handler on_reply) {
    ++active_calls_;
    const std::weak_ptr<bool> alive = alive_;
    client_->send(std::move(message), settings_.call_timeout,
                  [this, alive, on_reply = std::move(on_reply)](const std::optional<http2::response>& reply,
                                                                const error& reason) {
                      --active_calls_;
                      available_ = reply.has_value();
                      on_reply(reply, reason);
                      if (!alive.expired()) {
                          start_queued_calls();
                      }
                  });
}

void object_store::start_queued_calls() {
    while (!call_queue_.empty() && active_calls_ < settings_.max_concurrent_calls) {
        queued_call next = std::move(call_queue_.front());
        call_queue_.pop_front();
        const duration waited = event_loop::now() - next.queued_at;
        if (waited > settings_.call_timeout) {
            fail_later(error{error_code::request_refused, "waited_ms",
                             std::to_string(to_milliseconds(waited)),
                             "at most " + std::to_string(to_milliseconds(settings_.call_timeout))},
                       std::move(next.on_reply));
            continue;
        }
        start_call(std::move(next.message), std::move(next.on_reply));
    }
}

void object_store::fail_later(const error& reason, reply_handler on_reply) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(duration{0}, [alive, reason, on_reply = std::move(on_reply)] {
        if (!alive.expired()) {
            on_reply(std::nullopt, reason);
        }
    });
}

std::function<void(duration, std::function<void()>)> object_store::make_scheduler() {
    const std::weak_ptr<bool> alive = alive_;
    return [this, alive](duration delay, const std::function<void()>& action) {
        loop_.run_after(delay, [alive, action] {
            if (!alive.expired()) {
                action();
            }
        });
    };
}

} // namespace gentianhill
