#include "tests/clients/crowd_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gentianhill::clients {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr std::size_t max_received_bytes = 65536;

bool must_wait() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
}

} // namespace

crowd_client::crowd_client(std::uint16_t port, client_behaviour behaviour)
    : behaviour_(std::move(behaviour)),
      descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (behaviour_.reads_per_step < read_bytes) {
        // What a slow reader leaves unread stays with the sender.
        constexpr int buffer_bytes = 4096;
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool started =
        connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
        errno == EINPROGRESS;
    ended_ = !started;
}

crowd_client::~crowd_client() {
    close_descriptor();
}

crowd_client::crowd_client(crowd_client&& other) noexcept
    : behaviour_(std::move(other.behaviour_)),
      descriptor_(std::exchange(other.descriptor_, -1)),
      unsent_(std::move(other.unsent_)),
      sent_of_unsent_(other.sent_of_unsent_),
      next_number_(other.next_number_),
      sent_all_(other.sent_all_),
      ended_(other.ended_),
      received_(std::move(other.received_)) {}

bool crowd_client::has_finished() const {
    return sent_all_ || !is_open();
}

void crowd_client::send_text(const std::string& text) {
    unsent_ += text;
    sent_all_ = false;
}

std::size_t crowd_client::step() {
    if (!is_open()) {
        return 0;
    }
    const std::size_t sent = send_some();
    return is_open() ? sent + read_some() : sent;
}

std::size_t crowd_client::send_some() {
    std::size_t total = 0;
    while (!sent_all_ && total < behaviour_.bytes_per_step) {
        if (sent_of_unsent_ == unsent_.size()) {
            unsent_ = behaviour_.next_bytes ? behaviour_.next_bytes(next_number_++) : std::string();
            sent_of_unsent_ = 0;
        }
        const std::size_t left = unsent_.size() - sent_of_unsent_;
        if (left == 0) {
            finish_sending();
            return total;
        }
        const std::size_t single = std::min(behaviour_.single_bytes, unsent_.size());
        const bool sends_single = left <= single;
        const std::size_t length =
            sends_single ? 1 : std::min(left - single, behaviour_.bytes_per_step - total);
        const ssize_t sent =
            send(descriptor_, unsent_.data() + sent_of_unsent_, length, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            ended_ = !must_wait();
            return total;
        }
        sent_of_unsent_ += static_cast<std::size_t>(sent);
        total += static_cast<std::size_t>(sent);
        if (sends_single) {
            return total;
        }
    }
    return total;
}

void crowd_client::finish_sending() {
    sent_all_ = true;
    if (behaviour_.half_closes) {
        shutdown(descriptor_, SHUT_WR);
    }
    if (behaviour_.resets) {
        const linger immediate_reset{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate_reset, sizeof immediate_reset);
        close_descriptor();
    }
}

std::size_t crowd_client::read_some() {
    static std::array<char, read_bytes> buffer;
    std::size_t total = 0;
    while (total < behaviour_.reads_per_step) {
        const std::size_t length = std::min(buffer.size(), behaviour_.reads_per_step - total);
        const ssize_t count = recv(descriptor_, buffer.data(), length, MSG_DONTWAIT);
        if (count <= 0) {
            ended_ = count == 0 || !must_wait();
            return total;
        }
        received_.append(buffer.data(), static_cast<std::size_t>(count));
        if (received_.size() > max_received_bytes) {
            received_.erase(0, received_.size() - max_received_bytes);
        }
        total += static_cast<std::size_t>(count);
    }
    return total;
}

void crowd_client::close_descriptor() {
    if (descriptor_ >= 0) {
        close(descriptor_);
        descriptor_ = -1;
    }
}

} // namespace gentianhill::clients
