#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace gentianhill::clients {

/// What one client of a crowd sends and reads. Each field has the value of a client that sends everything at
/// once and reads all answers.
struct client_behaviour {
    /// Returns the bytes to send after those before; empty when there are no more. Called with 0, 1, 2, ...;
    /// a client without it sends what send_text() gets.
    std::function<std::string(std::size_t number)> next_bytes;
    /// Bytes that are sent in each step at most.
    std::size_t bytes_per_step = 256U << 10U;
    /// Bytes from the end of next_bytes that are sent one at a time.
    std::size_t single_bytes = 0;
    /// Bytes that are read in each step at most; 0 for a client that does not read.
    std::size_t reads_per_step = 1U << 20U;
    /// Shuts down the sending direction after everything was sent.
    bool half_closes = false;
    /// Resets the connection after everything was sent.
    bool resets = false;
};

/// Client of a crowd on a plain socket. It shares no code with the product and keeps to no protocol.
class crowd_client {
public:
    /// Starts to connect to a port of the loopback address.
    crowd_client(std::uint16_t port, client_behaviour behaviour);
    ~crowd_client();
    crowd_client(crowd_client&& other) noexcept;
    crowd_client& operator=(crowd_client&&) = delete;
    crowd_client(const crowd_client&) = delete;
    crowd_client& operator=(const crowd_client&) = delete;

    /// Sends a text after all that was sent before.
    void send_text(const std::string& text);
    /// Sends and reads what the behaviour allows in one step, without blocking. Returns the bytes moved.
    std::size_t step();
    /// True when everything was sent, or the connection has ended.
    [[nodiscard]] bool has_finished() const;
    /// True while the connection is neither refused nor ended by the peer.
    [[nodiscard]] bool is_open() const { return descriptor_ >= 0 && !ended_; }
    /// The last 64 KiB of what was received since forget_received().
    [[nodiscard]] const std::string& received() const { return received_; }
    void forget_received() { received_.clear(); }

private:
    std::size_t send_some();
    std::size_t read_some();
    void finish_sending();
    void close_descriptor();

    client_behaviour behaviour_;
    int descriptor_;
    std::string unsent_;
    std::size_t sent_of_unsent_ = 0;
    std::size_t next_number_ = 0;
    bool sent_all_ = false;
    bool ended_ = false;
    std::string received_;
};

} // namespace gentianhill::clients
