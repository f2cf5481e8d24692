#include "gentianhill/operators/admin_endpoint.h"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct admin_fixture {
    event_loop loop;
    admin_endpoint admin{loop, endpoint{"127.0.0.1", 0}};
    std::vector<std::string> reasons;

    admin_fixture() {
        admin.metrics_text = [] { return std::string{"requests_total 3\n"}; };
        admin.not_ready_reasons = [this] { return reasons; };
        error reason;
        REQUIRE(admin.listen(reason));
    }

    // Sends raw text and returns all that the endpoint answers until it closes the connection.
    std::string exchange(const std::string& text) {
        bufferevent* connection = bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
        bool closed = false;
        bufferevent_setcb(
            connection, nullptr, nullptr,
            [](bufferevent* /*source*/, short what, void* flag) {
                *static_cast<bool*>(flag) = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
            },
            &closed);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(admin.port());
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        bufferevent_write(connection, text.data(), text.size());
        CHECK(loop.run_until([&closed] { return closed; }, 5s));
        evbuffer* input = bufferevent_get_input(connection);
        std::string result(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, result.data(), result.size());
        bufferevent_free(connection);
        return result;
    }

    std::string get(const std::string& path) { return exchange("GET " + path + " HTTP/1.0\r\n\r\n"); }
};

} // namespace

// Guards against a load balancer that sends work to a daemon that is not ready, without a reason to read.
TEST_CASE_FIXTURE(admin_fixture, "admin_endpoint_not_ready_answers_503_with_the_reasons") {
    CHECK(get("/readyz").find(" 200 ") != std::string::npos);
    reasons = {"the daemon is draining"};
    const std::string answer = get("/readyz");
    CHECK(answer.find(" 503 ") != std::string::npos);
    CHECK(answer.find("not ready\nthe daemon is draining\n") != std::string::npos);
    CHECK(get("/livez").find(" 200 ") != std::string::npos);
}

// Guards against metrics that a scraper cannot read.
TEST_CASE_FIXTURE(admin_fixture, "admin_endpoint_metrics_are_answered_as_text") {
    const std::string answer = get("/metrics");
    CHECK(answer.find("text/plain; version=0.0.4") != std::string::npos);
    CHECK(answer.find("\r\n\r\nrequests_total 3\n") != std::string::npos);
}

// Guards against a crash on other paths, methods and input that is not HTTP.
TEST_CASE_FIXTURE(admin_fixture, "admin_endpoint_wrong_requests_are_refused") {
    CHECK(get("/").find(" 404 ") != std::string::npos);
    CHECK(exchange("POST /readyz HTTP/1.0\r\nContent-Length: 0\r\n\r\n").find(" 200 ") == std::string::npos);
    CHECK(exchange("\x16\x03\x01 not http\r\n\r\n").find(" 200 ") == std::string::npos);
    CHECK(get("/livez").find(" 200 ") != std::string::npos);
}
