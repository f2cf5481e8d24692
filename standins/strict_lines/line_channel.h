#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

struct bufferevent;
struct event_base;

namespace gentianhill::standins {

/// Connection that exchanges lines ended by CR LF, read and written by libevent's own line reader. It shares
/// no code with the product's reader and writer, so that a fault in those shows.
class line_channel {
public:
    /// Takes ownership of a connected descriptor.
    line_channel(event_base* base, int descriptor);
    /// Connects to a port of the loopback address; a failure is reported through on_end.
    line_channel(event_base* base, std::uint16_t port);
    ~line_channel();
    line_channel(const line_channel&) = delete;
    line_channel& operator=(const line_channel&) = delete;

    /// Called for each line, without its CR LF. Must not destroy the channel.
    std::function<void(std::string line)> on_line;
    /// Called once when the peer has closed or the connection has failed. Must not destroy the channel.
    std::function<void()> on_end;

    /// Sends bytes as they are.
    void send(std::string_view bytes);
    /// Closes the connection once everything is sent; on_end is not called.
    void close();
    [[nodiscard]] bool is_open() const { return buffer_ != nullptr; }

private:
    static void on_readable(bufferevent* buffer, void* argument);
    static void on_sent(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short what, void* argument);
    void set_up();
    void end();

    bufferevent* buffer_;
    bool closing_ = false;
};

} // namespace gentianhill::standins
