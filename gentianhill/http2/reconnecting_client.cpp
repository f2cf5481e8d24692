#include "gentianhill/http2/reconnecting_client.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gentianhill::http2 {

reconnecting_client::reconnecting_client(event_loop& loop, const reconnecting_client_settings& settings,
                                         std::function<double()> random)
    : loop_(loop), settings_(settings), backoff_(settings.reconnect, std::move(random)) {}

reconnecting_client::~reconnecting_client() {
    // The handlers of open requests find the owner gone and do nothing.
    alive_.reset();
}

void reconnecting_client::send(request message, duration timeout, result_handler on_result) {
    if (open_requests_ >= settings_.max_open_requests) {
        fail_later(error{error_code::request_refused, "open_requests", std::to_string(open_requests_),
                         "at most " + std::to_string(settings_.max_open_requests)},
                   std::move(on_result));
        return;
    }
    ensure_connection();
    if (client_ == nullptr) {
        fail_later(error{error_code::connect_failed, "server", settings_.connection.server.to_string(),
                         "backing off"},
                   std::move(on_result));
        return;
    }
    ++open_requests_;
    ++counters_.calls;
    const std::uint64_t bytes_before = client_->bytes_received();
    const std::weak_ptr<client> used = client_;
    const std::weak_ptr<bool> alive = alive_;
    client_->send(std::move(message), timeout,
                  [this, alive, used, bytes_before,
                   on_result = std::move(on_result)](std::optional<response> reply, const error& reason) {
                      if (alive.expired()) {
                          return;
                      }
                      finished(bytes_before, used, reason);
                      on_result(std::move(reply), reason);
                  });
}

void reconnecting_client::disconnect() {
    if (client_ == nullptr) {
        return;
    }
    const std::shared_ptr<client> closing = client_;
    retire_connection();
    closing->on_close = nullptr;
    closing->close();
}

bool reconnecting_client::is_connected() const {
    return client_ != nullptr && client_->is_connected() && !client_->is_closed();
}

bool reconnecting_client::is_backing_off(time_point now) const {
    return (client_ == nullptr || client_->is_closed()) && now < earliest_connect_;
}

client_counters reconnecting_client::counters() const {
    client_counters sum = counters_;
    const auto add = [&sum](const std::shared_ptr<client>& counted) {
        sum.bytes_received += counted->bytes_received();
        sum.bytes_sent += counted->bytes_sent();
    };
    if (client_ != nullptr) {
        add(client_);
    }
    std::for_each(retired_.begin(), retired_.end(), add);
    return sum;
}

void reconnecting_client::ensure_connection() {
    if (client_ != nullptr && !client_->is_closed()) {
        return;
    }
    retire_connection();
    if (event_loop::now() < earliest_connect_) {
        return;
    }
    client_ = std::make_shared<client>(loop_, settings_.connection);
    ++counters_.connections;
    const std::weak_ptr<bool> alive = alive_;
    client_->on_close = [this, alive] {
        if (!alive.expired()) {
            connection_failed();
        }
    };
}

void reconnecting_client::retire_connection() {
    if (client_ == nullptr) {
        return;
    }
    // After a GOAWAY the requests that are still open get their answers on the old connection.
    retired_.push_back(std::move(client_));
    client_ = nullptr;
    timeouts_in_a_row_ = 0;
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(duration{0}, [this, alive] {
        if (!alive.expired()) {
            release_retired();
        }
    });
}

void reconnecting_client::release_retired() {
    for (std::vector<std::shared_ptr<client>>::iterator entry = retired_.begin(); entry != retired_.end();) {
        if ((*entry)->open_requests() > 0) {
            ++entry;
            continue;
        }
        counters_.bytes_received += (*entry)->bytes_received();
        counters_.bytes_sent += (*entry)->bytes_sent();
        entry = retired_.erase(entry);
    }
}

void reconnecting_client::connection_failed() {
    earliest_connect_ = event_loop::now() + backoff_.next();
}

void reconnecting_client::finished(std::uint64_t bytes_before, const std::weak_ptr<client>& used,
                                   const error& reason) {
    --open_requests_;
    if (!reason.failed()) {
        backoff_.reset();
        timeouts_in_a_row_ = 0;
    } else {
        ++counters_.failures;
    }
    const std::shared_ptr<client> connection = used.lock();
    if (reason.code == error_code::timed_out && connection != nullptr && connection == client_) {
        const bool silent = connection->bytes_received() == bytes_before;
        timeouts_in_a_row_ = silent ? timeouts_in_a_row_ + 1 : 0;
        if (timeouts_in_a_row_ >= settings_.silent_timeouts) {
            timeouts_in_a_row_ = 0;
            loop_.run_after(duration{0}, [used] {
                const std::shared_ptr<client> silent_one = used.lock();
                if (silent_one != nullptr) {
                    silent_one->close();
                }
            });
        }
    }
    if (!retired_.empty()) {
        const std::weak_ptr<bool> alive = alive_;
        loop_.run_after(duration{0}, [this, alive] {
            if (!alive.expired()) {
                release_retired();
            }
        });
    }
}

void reconnecting_client::fail_later(const error& reason, result_handler on_result) {
    ++counters_.failures;
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(duration{0}, [alive, reason, on_result = std::move(on_result)] {
        if (!alive.expired()) {
            on_result(std::nullopt, reason);
        }
    });
}

} // namespace gentianhill::http2
