#pragma once

#include "platform/line_codec.h"
#include "platform/line_socket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill::soak {

/// Client of an edge daemon that runs one transaction after the other and rests between their statements. Its
/// connection stays open until the daemon closes it.
class transaction_client {
public:
    /// `name` must be unique and without '-'; statements have the ids NAME-1, NAME-2 and so on.
    transaction_client(event_loop& loop, platform::output_flusher& flusher, std::string name,
                       std::uint16_t port, std::uint64_t seed);

    /// Whether a commit has been acknowledged by an instance; must be set.
    std::function<bool(const std::string& id)> is_acknowledged;
    /// Called when a commit was answered with success; must be set.
    std::function<void(const std::string& id)> on_confirmed;

    /// Sends the next statement if it is due; call it periodically.
    void step();
    /// Promises that were broken.
    [[nodiscard]] const std::vector<std::string>& findings() const { return findings_; }
    [[nodiscard]] std::size_t commits() const { return commits_; }
    /// Name of the client that has sent a statement.
    [[nodiscard]] static std::string client_of(std::string_view id);

private:
    void open();
    void on_line(std::string_view line);
    void send_next();
    void finish();
    void check_commit();

    event_loop& loop_;
    platform::output_flusher& flusher_;
    std::string name_;
    std::uint16_t port_;
    std::mt19937_64 random_;
    std::unique_ptr<platform::line_socket> socket_;
    bool is_ready_ = false;
    /// Statements of the transaction that are still to be sent.
    std::vector<std::string> remaining_;
    std::string waiting_id_;
    std::string waiting_text_;
    std::string outcome_;
    time_point next_at_;
    std::uint64_t last_number_ = 0;
    std::size_t commits_ = 0;
    std::vector<std::string> findings_;
};

} // namespace gentianhill::soak
