#pragma once

#include "gentianhill/core/event_loop.h"
#include "standins/strict_lines/exchange_ledger.h"
#include "standins/strict_lines/line_channel.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill::standins {

/// What a client sends. Shares are between 0 and 1.
struct client_mix {
    /// Share of the data, session values and shapes that contain control characters.
    double odd_data = 0;
    /// Share of the writes, outside of transactions.
    double writes = 0.2;
    double transactions = 0.25;
    double prepared = 0.15;
    double session_values = 0.05;
    /// Longest pause between two operations.
    duration pause = std::chrono::milliseconds(4);
};

/// A client written from the published protocol alone. It has one session at a time, sends operations drawn
/// from a mix, and records everything in the ledger.
class strict_client {
public:
    /// The loop and the ledger must outlive the client. `staleness` is what its route allows.
    strict_client(event_loop& loop, exchange_ledger& ledger, std::uint16_t port, std::string database,
                  duration staleness, std::uint64_t seed);
    ~strict_client();
    strict_client(const strict_client&) = delete;
    strict_client& operator=(const strict_client&) = delete;

    /// Opens the session and keeps sending.
    void start();
    /// Sends no further operations.
    void stop() { stopped_ = true; }
    [[nodiscard]] std::size_t lost_connections() const { return lost_connections_; }

    client_mix mix;

private:
    void open();
    void on_line(const std::string& line);
    void on_end();
    void on_ready();
    void next_later();
    void next();
    /// Draws the statements of the next operation.
    void plan();
    void plan_transaction();
    [[nodiscard]] std::string plan_execute(bool may_write);
    void send(const std::string& text);
    void on_finished(const std::string& id, const received_answer& answer);
    void apply(const std::string& text);
    [[nodiscard]] std::size_t required_log() const;
    [[nodiscard]] std::string make_data();
    [[nodiscard]] std::string make_item();
    [[nodiscard]] bool draw(double share);
    [[nodiscard]] std::size_t pick(std::size_t count);

    event_loop& loop_;
    exchange_ledger& ledger_;
    std::uint16_t port_;
    std::string database_;
    duration staleness_;
    std::mt19937_64 random_;
    std::unique_ptr<line_channel> channel_;
    timer next_timer_;
    bool ready_ = false;
    bool stopped_ = false;
    std::deque<std::string> planned_;
    /// Statement under way; empty when there is none.
    std::string waiting_;
    std::string waiting_text_;
    received_answer answer_;
    std::string begin_id_;
    std::size_t begin_required_ = 0;
    session_values values_;
    prepared_shapes prepared_;
    /// Length of the log with the session's last commit.
    std::size_t own_log_ = 0;
    std::size_t lost_connections_ = 0;
};

} // namespace gentianhill::standins
