#include "platform/line_codec.h"
#include "platform/line_socket.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

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
    void send(std::string_view text) const {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(accepted_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            REQUIRE((count > 0 || errno == EAGAIN));
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
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

    std::vector<std::string> lines;
    std::optional<socket_close_reason> close_reason;

    void accept() {
        REQUIRE(loop.run_until([this] { return peer.accept_one(); }, 2s));
        socket->on_line = [this](std::string_view line) { lines.emplace_back(line); };
        socket->on_close = [this](socket_close_reason reason) { close_reason = reason; };
    }
    /// Sends text from the peer, in parts small enough for the kernel's buffers.
    void receive(std::string_view text) {
        constexpr std::size_t part_bytes = 4096;
        for (std::size_t at = 0; at < text.size(); at += part_bytes) {
            peer.send(text.substr(at, part_bytes));
            loop.run_until([] { return false; }, 1ms);
        }
    }
    bool await_lines(std::size_t count) {
        return loop.run_until([this, count] { return lines.size() >= count; }, 2s);
    }

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

// Guards against a statement that is cut at a line feed in its data, and an instance that runs the first
// part.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_line_feed_or_carriage_return_alone_belongs_to_the_line") {
    accept();
    receive("a\nb\r\n\nc\rd\r\ne\r\r\n\n\r\n\r\n");
    REQUIRE(await_lines(5));
    CHECK(lines == std::vector<std::string>{"a\nb", "\nc\rd", "e\r", "\n", ""});
}

// Guards against a line break that is not recognised when its two bytes arrive one after the other.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_line_break_in_two_parts_ends_the_line") {
    accept();
    receive("first\r");
    CHECK(!loop.run_until([this] { return !lines.empty(); }, 20ms));
    receive("\nsecond\r");
    receive("x\r\n");
    REQUIRE(await_lines(2));
    CHECK(lines == std::vector<std::string>{"first", "second\rx"});
}

// Guards against a limit that a line of exactly the allowed length exceeds, or that a longer line keeps.
TEST_CASE_FIXTURE(socket_fixture,
                  "line_socket_line_of_the_maximum_length_is_received_and_a_longer_one_refused") {
    accept();
    receive(std::string(max_message_bytes, 'x'));
    receive("\r");
    receive("\n");
    REQUIRE(await_lines(1));
    CHECK(lines.front().size() == max_message_bytes);
    CHECK(!close_reason);
    receive(std::string(max_message_bytes + 1, 'x'));
    receive("\r\n");
    REQUIRE(loop.run_until([this] { return close_reason.has_value(); }, 2s));
    CHECK(close_reason == socket_close_reason::line_too_long);
    CHECK(lines.size() == 1);
}

// Guards against statements that are lost, or passed on out of turn, when a client sends many ahead.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_paused_in_the_middle_of_lines_passes_the_rest_on_later") {
    accept();
    socket->on_line = [this](std::string_view line) {
        lines.emplace_back(line);
        if (lines.size() % 2 == 0) {
            socket->pause_reading();
        }
    };
    receive("1\r\n2\r\n3\r\n4\r\n5");
    REQUIRE(await_lines(2));
    loop.run_until([] { return false; }, 20ms);
    CHECK(lines.size() == 2);
    socket->resume_reading();
    REQUIRE(await_lines(4));
    receive("5\r\n6\r\n");
    CHECK(lines.size() == 4);
    CHECK(socket->unread_bytes() == 6);
    socket->resume_reading();
    REQUIRE(await_lines(6));
    CHECK(lines == std::vector<std::string>{"1", "2", "3", "4", "55", "6"});
}

// Guards against input without a bound while the owner has no room for it.
TEST_CASE_FIXTURE(socket_fixture, "line_socket_without_room_leaves_input_in_the_kernel") {
    accept();
    bool has_room = false;
    socket->may_read = [&has_room](std::size_t partial_bytes) { return has_room || partial_bytes < 4096; };
    receive(std::string(200'000, 'x'));
    CHECK(socket->is_paused());
    CHECK(socket->input_bytes() <= 4096 + 16384);
    has_room = true;
    socket->resume_reading();
    receive("\r\n");
    REQUIRE(await_lines(1));
    CHECK(lines.front().size() == 200'000);
    CHECK(socket->input_memory() <= 65'536);
}
