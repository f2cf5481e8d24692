#include "tests/soak/transaction_client.h"

#include "gentianhill/core/boot_clock.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration reopen_delay = 50ms;
/// Longest rest between two statements; below the limit for idle transactions.
constexpr std::int64_t max_rest_ms = 2500;

} // namespace

transaction_client::transaction_client(event_loop& loop, platform::output_flusher& flusher, std::string name,
                                       std::uint16_t port, std::uint64_t seed)
    : loop_(loop), flusher_(flusher), name_(std::move(name)), port_(port), random_(seed) {}

std::string transaction_client::client_of(std::string_view id) {
    return std::string(id.substr(0, id.find('-')));
}

void transaction_client::step() {
    if (socket_ == nullptr) {
        open();
    } else if (is_ready_ && waiting_id_.empty() && boot_now() >= next_at_) {
        send_next();
    }
}

void transaction_client::open() {
    socket_ = std::make_unique<platform::line_socket>(flusher_, endpoint{"127.0.0.1", port_});
    is_ready_ = false;
    waiting_id_.clear();
    remaining_.clear();
    socket_->on_line = [this](std::string_view line) { on_line(line); };
    socket_->on_close = [this](platform::socket_close_reason) {
        is_ready_ = false;
        loop_.run_after(reopen_delay, [this] { socket_.reset(); });
    };
    socket_->output() += "STARTUP own soak\r\n";
    socket_->schedule_flush();
}

void transaction_client::send_next() {
    if (remaining_.empty()) {
        const bool commits = random_() % 4 != 0;
        // In the order of sending from the back.
        remaining_ = {commits ? "COMMIT" : "ROLLBACK", "WRITE item second", "READ item", "WRITE item first",
                      "BEGIN"};
    }
    waiting_text_ = std::move(remaining_.back());
    remaining_.pop_back();
    waiting_id_ = fmt::format("{}-{}", name_, ++last_number_);
    outcome_.clear();
    socket_->output() += fmt::format("QUERY {} {}\r\n", waiting_id_, waiting_text_);
    socket_->schedule_flush();
}

void transaction_client::on_line(std::string_view line) {
    const platform::message received = platform::split_message(line);
    if (received.kind == platform::message_kind::ready) {
        if (is_ready_ && !waiting_id_.empty()) {
            finish();
        }
        is_ready_ = true;
    } else if (received.kind == platform::message_kind::complete) {
        outcome_ = "done";
        if (received.rest != "-" && received.rest != "signed-" + waiting_id_) {
            findings_.push_back("foreign signature for " + waiting_id_);
        }
    } else if (received.kind == platform::message_kind::error) {
        outcome_ = received.rest.substr(0, received.rest.find(' '));
    }
}

void transaction_client::finish() {
    if (waiting_text_ == "COMMIT") {
        check_commit();
    } else if (outcome_ != "done" && waiting_text_ != "ROLLBACK") {
        // A transaction that has failed can only be rolled back.
        remaining_ = {"ROLLBACK"};
    }
    waiting_id_.clear();
    const std::int64_t rest_ms = std::uniform_int_distribution<std::int64_t>(0, max_rest_ms)(random_);
    // Most statements follow soon.
    next_at_ = boot_now() + std::chrono::milliseconds(rest_ms / (random_() % 3 == 0 ? 1 : 20));
}

void transaction_client::check_commit() {
    const bool is_done = outcome_ == "done";
    const bool promises_nothing = outcome_ == "INDOUBT" || outcome_ == "TIMEOUT" || outcome_ == "FAILED";
    if (is_done && !is_acknowledged(waiting_id_)) {
        findings_.push_back("commit " + waiting_id_ + " is confirmed but not acknowledged");
    }
    if (!is_done && !promises_nothing && is_acknowledged(waiting_id_)) {
        findings_.push_back("commit " + waiting_id_ + " is answered " + outcome_ + " but acknowledged");
    }
    if (is_done) {
        ++commits_;
        on_confirmed(waiting_id_);
    }
}

} // namespace gentianhill::soak
