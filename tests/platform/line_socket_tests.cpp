#include "platform/line_socket.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace gentianhill;
using namespace gentianhill::platform;
using namespace std::chrono_literals;

namespace {

/// Listens on loopback and accepts one connection.
class loopback_peer {
public:
    loopback_peer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
    }
    ~loopback_peer() {
        close(listener_);
        if (accepted_ >= 0) {
            close(accepted_);
        }
    }
    loopback_peer(const loopback_peer&) = delete;
    loopback_peer& operator=(const loopback_peer&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    [[nodiscard]] bool accept_one() {
        accepted_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        return accepted_ >= 0;
    }
    /// True once the other side has closed the connection; `error` is the errno of the read, 0 for an orderly
    /// close.
    [[nodiscard]] bool is_closed(int& error) const {
        char byte = 0;
        const ssize_t received = recv(accepted_, &byte, 1, 0);
        error = received < 0 ? errno : 0;
        return received == 0 || (received < 0 && error != EAGAIN);
    }

private:
    int listener_;
    int accepted_ = -1;
    std::uint16_t port_ = 0;
};

struct socket_fixture {
    event_loop loop;
    output_flusher flusher{loop};
    loopback_peer peer;
    std::unique_ptr<line_socket> socket = std::make_unique<line_socket>(flusher, peer.address());

    /// Destroys the socket and returns the error that the peer's read reports: 0 for an orderly close.
    int error_at_peer() {
        REQUIRE(loop.run_until([this] { return peer.accept_one(); }, 2s));
        socket.reset();
        int error = -1;
        REQUIRE(loop.run_until([this, &error] { return peer.is_closed(error); }, 2s));
        return error;
    }
};

} // namespace

// Guards against an idle connection whose close the peer sees as an error.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_destroyed_closes_in_order") {
    CHECK(error_at_peer() == 0);
}

// Guards against an abandoned command that arrives after a network partition has healed: an unfence could
// then remove a fence that another daemon has set since.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_destroyed_with_reset_on_close_resets_the_connection") {
    socket->reset_on_close();
    CHECK(error_at_peer() == ECONNRESET);
}
