#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>

namespace review {

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Event loop of one thread over poll(2).
class event_poll {
public:
    /// Watches a descriptor; `on_event` gets the events of poll(2).
    void watch(int descriptor, short events, std::function<void(short)> on_event);
    /// Changes the events that a descriptor is watched for.
    void set_events(int descriptor, short events);
    void unwatch(int descriptor);
    /// Calls an action later.
    void call_after(milliseconds delay, std::function<void()> action);
    /// Runs until a condition holds or the time is over; returns whether it holds.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);
    /// Runs for a time.
    void run_for(milliseconds length);
    /// Time since the loop was made, in ms.
    [[nodiscard]] std::int64_t elapsed_ms() const;

private:
    struct watched {
        short events = 0;
        std::uint64_t number = 0;
        std::function<void(short)> on_event;
    };
    void step(milliseconds limit);

    std::map<int, watched> watched_;
    std::multimap<clock_type::time_point, std::function<void()>> timers_;
    std::uint64_t last_number_ = 0;
    clock_type::time_point started_at_ = clock_type::now();
};

/// A TCP connection that buffers what it sends and receives.
class channel {
public:
    channel(event_poll& loop, int descriptor);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    /// Called when bytes have arrived; takes them out of `input`.
    std::function<void()> on_input;
    /// Called once when the other side has closed or reset the connection.
    std::function<void()> on_end;
    std::string input;

    void send(const std::string& bytes);
    /// Closes the connection, with a reset if `abruptly`.
    void close(bool abruptly);
    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }

private:
    void on_event(short events);
    void flush();

    event_poll& loop_;
    int descriptor_;
    std::string output_;
};

/// Listens on a port of 127.0.0.1 (0 chooses a free one); returns the descriptor and sets the port.
int listen_on_loopback(std::uint16_t& port, int backlog);
/// Accepts all connections of a listening descriptor.
void accept_all(event_poll& loop, int listener, const std::function<void(int descriptor)>& on_accept);
/// Begins to connect to a port of 127.0.0.1; returns the descriptor.
int connect_to_loopback(std::uint16_t port);
/// Port of the other side of a connection.
std::uint16_t peer_port_of(int descriptor);
/// True if a process holds a TCP socket with that local port.
bool holds_port(pid_t process, std::uint16_t port);
/// A port of 127.0.0.1 that is free, reserved for a process that allows the reuse of addresses.
std::uint16_t free_port();

} // namespace review
