#include "platform/http_call.h"

#include <doctest/doctest.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include <netinet/in.h>
#include <string>

using namespace gentianhill;
using namespace gentianhill::platform;
using namespace std::chrono_literals;

namespace {

/// Server that answers one request with a body in parts, each after a pause, and may stop in between.
struct slow_server_fixture {
    static constexpr std::size_t part_bytes = 1000;
    static constexpr std::size_t body_parts = 20;
    static constexpr duration pause = 50ms;

    event_loop loop;
    evconnlistener* listener = nullptr;
    bufferevent* connection = nullptr;
    endpoint address{"127.0.0.1", 0};
    std::size_t parts_to_send = body_parts;
    std::optional<http_response> received;

    slow_server_fixture() {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const evconnlistener_cb on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                                               void* data) {
            static_cast<slow_server_fixture*>(data)->answer(socket);
        };
        listener = evconnlistener_new_bind(loop.native(), on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                           reinterpret_cast<sockaddr*>(&bound), sizeof bound);
        REQUIRE(listener != nullptr);
        socklen_t length = sizeof bound;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&bound), &length);
        address.port = ntohs(bound.sin_port);
    }
    ~slow_server_fixture() {
        if (connection != nullptr) {
            bufferevent_free(connection);
        }
        evconnlistener_free(listener);
    }
    slow_server_fixture(const slow_server_fixture&) = delete;
    slow_server_fixture& operator=(const slow_server_fixture&) = delete;

    void answer(int socket) {
        connection = bufferevent_socket_new(loop.native(), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_enable(connection, EV_WRITE);
        const std::string head =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", part_bytes * body_parts);
        bufferevent_write(connection, head.data(), head.size());
        send_part();
    }
    void send_part() {
        if (parts_to_send == 0) {
            return;
        }
        --parts_to_send;
        const std::string part(part_bytes, 'x');
        bufferevent_write(connection, part.data(), part.size());
        loop.run_after(pause, [this] { send_part(); });
    }
    http_response call(duration timeout, duration arrival_limit) {
        http_request request;
        request.path = "/objects/config";
        request.timeout = timeout;
        request.arrival_limit = arrival_limit;
        http_call(loop, address, request, [this](const http_response& response) { received = response; });
        REQUIRE(loop.run_until([this] { return received.has_value(); }, 10s));
        return *received;
    }
};

} // namespace

// Guards against a large answer that is thrown away although it is arriving, and asked for again.
TEST_CASE_FIXTURE(slow_server_fixture, "http_call_answer_that_arrives_slowly_is_awaited") {
    const http_response response = call(400ms, 8s);
    CHECK(response.status == 200);
    CHECK(response.body.size() == part_bytes * body_parts);
}

// Guards against a call that waits for the rest of an answer for as long as it may arrive.
TEST_CASE_FIXTURE(slow_server_fixture, "http_call_answer_that_stops_arriving_is_given_up") {
    parts_to_send = 3;
    const time_point began_at = event_loop::now();
    const http_response response = call(400ms, 8s);
    CHECK(response.status == 0);
    CHECK(response.was_arriving);
    CHECK(event_loop::now() - began_at < 4s);
}

// Guards against an answer that is too slow and taken for a silent server.
TEST_CASE_FIXTURE(slow_server_fixture, "http_call_answer_beyond_the_limit_is_reported_as_arriving") {
    const http_response response = call(400ms, 0ms);
    CHECK(response.status == 0);
    CHECK(response.was_arriving);
}

// Guards against a name with odd bytes that addresses another object: a list is continued after a shorter
// name, for a name that begins with NUL from its start without end, and a removal goes to another entry.
TEST_CASE("escape_url_name_with_odd_bytes_keeps_all_of_them") {
    CHECK(escape_url(std::string("a\0b", 3)) == "a%00b");
    CHECK(escape_url(std::string("\0", 1)) == "%00");
    CHECK(escape_url("a\r\nb/?&=%") == "a%0D%0Ab%2F%3F%26%3D%25");
    CHECK(escape_url("\xff\x7f\xc3\xa9") == "%FF%7F%C3%A9");
    CHECK(escape_url("a b+c") == "a%20b%2Bc");
    CHECK(escape_url("").empty());
}
