#include "gentianhill/http2/client.h"
#include "gentianhill/http2/server.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <csignal>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct loopback_fixture {
    event_loop loop;
    std::unique_ptr<http2::server> server;
    std::unique_ptr<http2::client> client;
    std::vector<http2::server::responder> held;

    loopback_fixture() {
        // As in the programs: a connection that the other side closed must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        http2::server_settings settings;
        settings.listen = endpoint{"127.0.0.1", 0};
        settings.max_body_bytes = 1024;
        server = std::make_unique<http2::server>(loop, settings);
        server->on_request = [this](http2::connection_id id, const http2::request& request,
                                    const http2::server::responder& respond) {
            if (request.path == "/hold") {
                held.push_back(respond);
            } else if (request.path == "/close") {
                server->close(id);
            } else {
                respond(http2::response{200, request.method + request.path + request.body});
            }
        };
        error reason;
        REQUIRE(server->listen(reason));
        connect();
    }

    void connect() {
        http2::client_settings settings;
        settings.server = endpoint{"127.0.0.1", server->port()};
        client = std::make_unique<http2::client>(loop, settings);
    }

    /// Connects a socket on which a test sends frames of its own.
    [[nodiscard]] int connect_raw() const {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        return socket;
    }

    struct outcome {
        bool done = false;
        std::optional<http2::response> reply;
        error reason;
    };

    std::shared_ptr<outcome> send(const std::string& path, const std::string& body = {},
                                  duration timeout = 2s) {
        std::shared_ptr<outcome> result = std::make_shared<outcome>();
        client->send(http2::request{"POST", path, body}, timeout,
                     [result](std::optional<http2::response> reply, const error& reason) {
                         result->done = true;
                         result->reply = std::move(reply);
                         result->reason = reason;
                     });
        return result;
    }

    bool wait(const std::shared_ptr<outcome>& result) {
        return loop.run_until([&result] { return result->done; }, 5s);
    }
};

/// Server that sends given bytes as its reply to the first request of a client.
struct raw_server_fixture {
    static inline const std::string response_head{"\0\0\x01\x01\x04\0\0\0\x01\x88", 10};
    /// DATA frame without END_STREAM.
    static inline const std::string part_of_body{"\0\0\x02\0\0\0\0\0\x01{}", 11};

    event_loop loop;
    std::optional<http2::response> reply;
    error reason;

    void reply_with(const std::string& frames) {
        const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listening, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(listening, 1) == 0);
        socklen_t length = sizeof address;
        getsockname(listening, reinterpret_cast<sockaddr*>(&address), &length);
        http2::client_settings settings;
        settings.server = endpoint{"127.0.0.1", ntohs(address.sin_port)};
        http2::client client{loop, settings};
        bool done = false;
        client.send(http2::request{"GET", "/", {}}, 2s,
                    [this, &done](std::optional<http2::response> received, const error& failure) {
                        done = true;
                        reply = std::move(received);
                        reason = failure;
                    });
        REQUIRE(loop.run_until([&client] { return client.is_connected(); }, 2s));
        loop.run_until([] { return false; }, 50ms);
        const int accepted = ::accept(listening, nullptr, nullptr);
        const std::string sent = std::string("\0\0\0\x04\0\0\0\0\0", 9) + frames;
        REQUIRE(::send(accepted, sent.data(), sent.size(), 0) == static_cast<ssize_t>(sent.size()));
        REQUIRE(loop.run_until([&done] { return done; }, 3s));
        ::close(accepted);
        ::close(listening);
    }
};

} // namespace

// Guards against answers that reach the wrong request when many share a connection.
TEST_CASE_FIXTURE(loopback_fixture, "client_many_requests_each_gets_its_own_answer") {
    std::vector<std::shared_ptr<outcome>> results;
    results.reserve(200);
    for (int i = 0; i < 200; ++i) {
        results.push_back(send("/echo", std::to_string(i)));
    }
    for (int i = 0; i < 200; ++i) {
        REQUIRE(wait(results[i]));
        REQUIRE(results[i]->reply);
        CHECK(results[i]->reply->body == "POST/echo" + std::to_string(i));
    }
}

// Guards against a caller that waits for ever on a server that does not answer.
TEST_CASE_FIXTURE(loopback_fixture, "client_no_answer_times_out_and_connection_stays_usable") {
    const std::shared_ptr<outcome> result = send("/hold", "x", 50ms);
    REQUIRE(wait(result));
    CHECK(result->reason.code == error_code::timed_out);
    const std::shared_ptr<outcome> next = send("/echo");
    REQUIRE(wait(next));
    CHECK(next->reply);
    // A late answer must not reach anyone.
    held.front()(http2::response{200, "late"});
    const std::shared_ptr<outcome> last = send("/echo", "last");
    REQUIRE(wait(last));
    CHECK(last->reply->body == "POST/echolast");
}

// Guards against "not processed" being reported for a request that the server has received.
TEST_CASE_FIXTURE(loopback_fixture, "client_connection_closed_after_sending_reports_connection_lost") {
    const std::shared_ptr<outcome> result = send("/close");
    REQUIRE(wait(result));
    CHECK(result->reason.code == error_code::connection_lost);
    CHECK(client->is_closed());
    const std::shared_ptr<outcome> next = send("/echo");
    CHECK_FALSE(next->done);
    REQUIRE(wait(next));
    CHECK(certainly_not_processed(next->reason.code));
}

// Guards against a refused connection being treated as a request of unknown outcome.
TEST_CASE_FIXTURE(loopback_fixture, "client_server_absent_reports_connect_failed") {
    server.reset();
    const std::shared_ptr<outcome> result = send("/echo");
    REQUIRE(wait(result));
    CHECK(result->reason.code == error_code::connect_failed);
}

// Guards against a planned stop that cuts off requests in flight.
TEST_CASE_FIXTURE(loopback_fixture, "server_shut_down_answers_open_requests_and_refuses_new_ones") {
    const std::shared_ptr<outcome> result = send("/hold", "x");
    REQUIRE(loop.run_until([this] { return !held.empty(); }, 2s));
    server->shut_down();
    REQUIRE(loop.run_until([this] { return client->is_closed(); }, 2s));
    held.front()(http2::response{200, "finished"});
    REQUIRE(wait(result));
    REQUIRE(result->reply);
    CHECK(result->reply->body == "finished");
    const std::shared_ptr<outcome> next = send("/echo");
    REQUIRE(wait(next));
    CHECK(certainly_not_processed(next->reason.code));
    CHECK(loop.run_until([this] { return server->connection_count() == 0; }, 2s));
}

// Guards against an answer that is cut off because its connection is closed while part of it is not sent yet.
TEST_CASE_FIXTURE(loopback_fixture, "server_shut_down_sends_large_answers_completely") {
    const std::string body(3U << 20U, 'x');
    std::vector<std::shared_ptr<outcome>> results;
    results.reserve(4);
    for (int i = 0; i < 4; ++i) {
        results.push_back(send("/hold", "x", 5s));
    }
    REQUIRE(loop.run_until([this] { return held.size() == 4; }, 2s));
    server->shut_down();
    loop.run_until([] { return false; }, 300ms);
    for (const http2::server::responder& respond : held) {
        respond(http2::response{200, body});
    }
    CHECK_FALSE(server->is_shut_down());
    for (const std::shared_ptr<outcome>& result : results) {
        REQUIRE(wait(result));
        REQUIRE_MESSAGE(result->reply, result->reason.describe());
        CHECK(result->reply->body.size() == body.size());
    }
    CHECK(loop.run_until([this] { return server->connection_count() == 0; }, 2s));
    CHECK(server->is_shut_down());
}

// Guards against a request that has arrived in part at a planned stop and is cut off: the client could not
// know that it was not processed.
TEST_CASE_FIXTURE(loopback_fixture, "server_shut_down_refuses_request_that_arrived_in_part") {
    const int socket = connect_raw();
    // Preface, SETTINGS, and HEADERS of stream 1 (POST http /, authority x) without END_STREAM.
    std::string sent = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    sent += std::string("\0\0\0\x04\0\0\0\0\0", 9);
    sent += std::string("\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x41\x01x", 15);
    REQUIRE(::send(socket, sent.data(), sent.size(), 0) == static_cast<ssize_t>(sent.size()));
    loop.run_until([] { return false; }, 100ms);
    server->shut_down();
    loop.run_until([] { return false; }, 200ms);
    CHECK_FALSE(server->is_shut_down());
    server->refuse_incomplete();
    loop.run_until([] { return false; }, 100ms);
    std::string received(4096, '\0');
    const ssize_t count = ::recv(socket, received.data(), received.size(), MSG_DONTWAIT);
    REQUIRE(count > 0);
    received.resize(static_cast<std::size_t>(count));
    // RST_STREAM of stream 1 with REFUSED_STREAM.
    const std::string reset("\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07", 13);
    CHECK(received.find(reset) != std::string::npos);
    ::close(socket);
    CHECK(loop.run_until([this] { return server->is_shut_down(); }, 2s));
}

// Guards against a path whose bytes would end a line or a text where it is used.
TEST_CASE_FIXTURE(loopback_fixture, "server_path_with_control_byte_is_not_delivered") {
    std::string path = "/hold";
    std::size_t delivered = 0;
    SUBCASE("none") {
        delivered = 1;
    }
    SUBCASE("carriage_return") {
        path[2] = '\r';
    }
    SUBCASE("line_feed") {
        path[2] = '\n';
    }
    SUBCASE("nul") {
        path[2] = '\0';
    }
    std::vector<std::string> paths;
    server->on_request = [&paths](http2::connection_id, const http2::request& request,
                                  const http2::server::responder&) { paths.push_back(request.path); };
    const int socket = connect_raw();
    // Preface, SETTINGS, and HEADERS of stream 1 (GET http, authority x, the path) with END_STREAM.
    std::string sent = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    sent += std::string("\0\0\0\x04\0\0\0\0\0", 9);
    sent += std::string("\0\0\x0c\x01\x05\0\0\0\x01\x82\x86\x41\x01x\x44\x05", 16) + path;
    REQUIRE(::send(socket, sent.data(), sent.size(), 0) == static_cast<ssize_t>(sent.size()));
    loop.run_until([] { return false; }, 100ms);
    CHECK(paths.size() == delivered);
    ::close(socket);
}

// Guards against a caller whose connection the system has accepted, but not the server, when it stops to
// listen: its request would be cut off.
TEST_CASE_FIXTURE(loopback_fixture, "server_stop_accepting_answers_connections_in_the_backlog") {
    const int socket = connect_raw();
    // Preface, SETTINGS, and HEADERS of stream 1 (GET http /, authority x) with END_STREAM.
    std::string sent = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    sent += std::string("\0\0\0\x04\0\0\0\0\0", 9);
    sent += std::string("\0\0\x06\x01\x05\0\0\0\x01\x82\x86\x84\x41\x01x", 15);
    REQUIRE(::send(socket, sent.data(), sent.size(), 0) == static_cast<ssize_t>(sent.size()));
    server->stop_accepting();
    loop.run_until([] { return false; }, 100ms);
    std::string received(4096, '\0');
    const ssize_t count = ::recv(socket, received.data(), received.size(), MSG_DONTWAIT);
    REQUIRE(count > 0);
    received.resize(static_cast<std::size_t>(count));
    CHECK(received.find("GET/") != std::string::npos);
    ::close(socket);
}

// Guards against unbounded memory use by a large body.
TEST_CASE_FIXTURE(loopback_fixture, "server_body_over_limit_answers_413") {
    const std::shared_ptr<outcome> result = send("/echo", std::string(2000, 'x'));
    REQUIRE(wait(result));
    REQUIRE(result->reply);
    CHECK(result->reply->status == 413);
}

// Guards against a responder that outlives its connection.
TEST_CASE_FIXTURE(loopback_fixture, "server_answer_after_connection_gone_does_nothing") {
    std::shared_ptr<outcome> result = send("/hold", "x");
    REQUIRE(loop.run_until([this] { return !held.empty(); }, 2s));
    client->close();
    REQUIRE(wait(result));
    REQUIRE(loop.run_until([this] { return server->connection_count() == 0; }, 2s));
    held.front()(http2::response{200, "nobody"});
    CHECK(held.size() == 1);
}

// Guards against a response that its sender gave up half-way and that is taken for a whole one, since the
// stream was reset without an error.
TEST_CASE("client_response_reset_without_error_before_its_end_is_no_answer") {
    raw_server_fixture fixture;
    const std::string reset("\0\0\x04\x03\0\0\0\0\x01\0\0\0\0", 13);
    fixture.reply_with(raw_server_fixture::response_head + raw_server_fixture::part_of_body + reset);
    CHECK_FALSE(fixture.reply);
    CHECK(fixture.reason.code == error_code::connection_lost);
}

// Guards against a request that a server began to answer and that is reported as certainly not processed.
TEST_CASE("client_response_refused_after_its_head_counts_as_sent") {
    raw_server_fixture fixture;
    const std::string refused("\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07", 13);
    fixture.reply_with(raw_server_fixture::response_head + refused);
    CHECK_FALSE(fixture.reply);
    CHECK(fixture.reason.code == error_code::connection_lost);
}

// Guards against the check for the end of a response refusing one that is whole.
TEST_CASE("client_response_reset_without_error_after_its_end_is_an_answer") {
    raw_server_fixture fixture;
    const std::string end("\0\0\0\0\x01\0\0\0\x01", 9);
    const std::string reset("\0\0\x04\x03\0\0\0\0\x01\0\0\0\0", 13);
    fixture.reply_with(raw_server_fixture::response_head + raw_server_fixture::part_of_body + end + reset);
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->body == "{}");
}

// Guards against clients that fill the memory of the host with silent connections.
TEST_CASE_FIXTURE(loopback_fixture, "server_connection_beyond_limit_takes_the_place_of_a_silent_one") {
    http2::server_settings settings;
    settings.listen = endpoint{"127.0.0.1", 0};
    settings.max_connections = 2;
    server = std::make_unique<http2::server>(loop, settings);
    server->on_request = [](http2::connection_id, const http2::request& request,
                            const http2::server::responder& respond) {
        respond(http2::response{200, request.path});
    };
    error reason;
    REQUIRE(server->listen(reason));
    connect();
    bool answered = false;
    client->send({"GET", "/first", ""}, 1s,
                 [&answered](const std::optional<http2::response>& reply, const error&) {
                     answered = reply.has_value();
                 });
    REQUIRE(loop.run_until([&answered] { return answered; }, 2s));
    const int silent = connect_raw();
    REQUIRE(loop.run_until([this] { return server->connection_count() == 2; }, 2s));
    const int next = connect_raw();
    REQUIRE(loop.run_until([this] { return server->limited_connections() == 1; }, 2s));
    CHECK(server->connection_count() == 2);
    answered = false;
    client->send({"GET", "/second", ""}, 1s,
                 [&answered](const std::optional<http2::response>& reply, const error&) {
                     answered = reply.has_value();
                 });
    CHECK(loop.run_until([&answered] { return answered; }, 2s));
    close(silent);
    close(next);
}
