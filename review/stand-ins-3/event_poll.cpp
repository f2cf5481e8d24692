#include "event_poll.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

void event_poll::watch(int descriptor, short events, std::function<void(short)> on_event) {
    watched_[descriptor] = {events, ++last_number_, std::move(on_event)};
}

void event_poll::set_events(int descriptor, short events) {
    watched_.at(descriptor).events = events;
}

void event_poll::unwatch(int descriptor) {
    watched_.erase(descriptor);
}

void event_poll::call_after(milliseconds delay, std::function<void()> action) {
    timers_.emplace(clock_type::now() + delay, std::move(action));
}

std::int64_t event_poll::elapsed_ms() const {
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - started_at_).count();
}

void event_poll::step(milliseconds limit) {
    std::vector<pollfd> polled;
    std::vector<std::uint64_t> numbers;
    for (const auto& [descriptor, entry] : watched_) {
        polled.push_back({descriptor, entry.events, 0});
        numbers.push_back(entry.number);
    }
    milliseconds wait = limit;
    if (!timers_.empty()) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(timers_.begin()->first - clock_type::now());
        wait = std::clamp(left, milliseconds(0), limit);
    }
    poll(polled.data(), polled.size(), static_cast<int>(wait.count()));
    for (std::size_t i = 0; i < polled.size(); ++i) {
        const auto found = watched_.find(polled[i].fd);
        if (polled[i].revents != 0 && found != watched_.end() && found->second.number == numbers[i]) {
            const std::function<void(short)> handler = found->second.on_event;
            handler(polled[i].revents);
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= clock_type::now()) {
        const std::function<void()> action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
    }
}

bool event_poll::run_until(const std::function<bool()>& condition, milliseconds limit) {
    const clock_type::time_point end = clock_type::now() + limit;
    while (!condition()) {
        if (clock_type::now() >= end) {
            return false;
        }
        step(milliseconds(2));
    }
    return true;
}

void event_poll::run_for(milliseconds length) {
    run_until([] { return false; }, length);
}

channel::channel(event_poll& loop, int descriptor) : loop_(loop), descriptor_(descriptor) {
    loop_.watch(descriptor_, POLLIN, [this](short events) { on_event(events); });
}

channel::~channel() {
    close(false);
}

void channel::send(const std::string& bytes) {
    output_ += bytes;
    flush();
}

void channel::flush() {
    if (descriptor_ < 0) {
        return;
    }
    while (!output_.empty()) {
        const ssize_t sent = ::send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            break;
        }
        output_.erase(0, static_cast<std::size_t>(sent));
    }
    loop_.set_events(descriptor_, static_cast<short>(output_.empty() ? POLLIN : POLLIN | POLLOUT));
}

void channel::close(bool abruptly) {
    if (descriptor_ < 0) {
        return;
    }
    if (abruptly) {
        const linger immediate_reset{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate_reset, sizeof immediate_reset);
    }
    loop_.unwatch(descriptor_);
    ::close(descriptor_);
    descriptor_ = -1;
}

void channel::on_event(short events) {
    if ((events & POLLOUT) != 0) {
        flush();
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
        return;
    }
    constexpr std::size_t block_bytes = 65536;
    std::array<char, block_bytes> block{};
    bool has_ended = false;
    while (true) {
        const ssize_t read = ::recv(descriptor_, block.data(), block.size(), 0);
        if (read > 0) {
            input.append(block.data(), static_cast<std::size_t>(read));
            continue;
        }
        has_ended = read == 0 || (errno != EAGAIN && errno != EINTR && errno != ENOTCONN);
        break;
    }
    if (!input.empty() && on_input) {
        on_input();
    }
    if (has_ended && descriptor_ >= 0) {
        close(false);
        if (on_end) {
            on_end();
        }
    }
}

namespace {

sockaddr_in loopback_address(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

int listen_on_loopback(std::uint16_t& port, int backlog) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    sockaddr_in address = loopback_address(port);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

void accept_all(event_poll& loop, int listener, const std::function<void(int descriptor)>& on_accept) {
    loop.watch(listener, POLLIN, [listener, on_accept](short) {
        while (true) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            on_accept(accepted);
        }
    });
}

int connect_to_loopback(std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback_address(port);
    // The result shows when the connection is used.
    static_cast<void>(connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    return descriptor;
}

std::uint16_t peer_port_of(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

bool holds_port(pid_t process, std::uint16_t port) {
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string socket_name;
    std::string line;
    std::getline(table, line);
    while (socket_name.empty() && std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string other;
        fields >> slot >> local;
        if (std::strtoul(local.c_str() + local.find(':') + 1, nullptr, hexadecimal) == port) {
            // The inode is the tenth field.
            for (int index = 0; index < 8; ++index) {
                fields >> other;
            }
            socket_name = "socket:[" + other + "]";
        }
    }
    std::error_code failed;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", failed);
    for (; !failed && entry != std::filesystem::directory_iterator(); entry.increment(failed)) {
        std::error_code gone;
        if (std::filesystem::read_symlink(entry->path(), gone) == socket_name) {
            return true;
        }
    }
    return false;
}

std::uint16_t free_port() {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    sockaddr_in address = loopback_address(0);
    socklen_t size = sizeof address;
    const bool is_bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                          getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!is_bound) {
        return 0;
    }
    // The descriptor stays open, so that nobody else is given the port.
    return ntohs(address.sin_port);
}

} // namespace review
