#include "gentianhill/http2/client.h"
#include "gentianhill/relay/relay_transport.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct transport_fixture {
    event_loop loop;
    logger log;
    relay_transport transport{loop, {{"127.0.0.1", 0}}, log, [] { return 0.5; }};
    relay_port port = transport.make_port();
    std::optional<nlohmann::json> answer;
    error reason;
    bool is_answered = false;

    transport_fixture() {
        log.sink = [](std::string_view) {};
        transport.on_request = [](relay_request_kind kind, const nlohmann::json& message,
                                  const relay_answer_handler& respond) {
            if (message.contains("refuse")) {
                respond(std::nullopt, error{error_code::draining, "daemon", "d-1", ""});
            } else if (!message.contains("ignore")) {
                respond(nlohmann::json{{"kind", to_string(kind)}, {"message", message}}, {});
            }
        };
        error failure;
        REQUIRE(transport.listen(failure));
    }

    void ask(const nlohmann::json& message, duration timeout = 1s) {
        is_answered = false;
        port.ask({"127.0.0.1", transport.port()}, relay_request_kind::evidence, message, timeout,
                 [this](const std::optional<nlohmann::json>& received, const error& failure) {
                     answer = received;
                     reason = failure;
                     is_answered = true;
                 });
        REQUIRE(loop.run_until([this] { return is_answered; }, 3s));
    }
    int status_of(const std::string& path, const std::string& body) {
        http2::client client(loop, {{"127.0.0.1", transport.port()}});
        int status = 0;
        bool is_done = false;
        client.send({"POST", path, body}, 1s, [&](const std::optional<http2::response>& reply, const error&) {
            status = reply ? reply->status : 0;
            is_done = true;
        });
        REQUIRE(loop.run_until([&] { return is_done; }, 3s));
        return status;
    }
};

} // namespace

// Guards against messages that are changed on the way.
TEST_CASE_FIXTURE(transport_fixture, "relay_transport_request_is_answered") {
    ask({{"group", "orders"}});
    REQUIRE(answer);
    CHECK(answer->at("kind") == "evidence");
    CHECK(answer->at("message").at("group") == "orders");
}

// Guards against a refusal without its reason.
TEST_CASE_FIXTURE(transport_fixture, "relay_transport_refusal_keeps_its_type") {
    ask({{"refuse", true}});
    CHECK(!answer);
    CHECK(reason.code == error_code::draining);
}

// Guards against a request that waits for a daemon that does not answer.
TEST_CASE_FIXTURE(transport_fixture, "relay_transport_silent_daemon_times_out") {
    ask({{"ignore", true}}, 100ms);
    CHECK(!answer);
    CHECK(reason.code == error_code::timed_out);
}

// Guards against one malformed message that harms more than its own request.
TEST_CASE_FIXTURE(transport_fixture, "relay_transport_malformed_messages_end_their_request_only") {
    CHECK(status_of("/relay/v1/state", "{not json") == 400);
    CHECK(status_of("/relay/v1/state", std::string(100'000, 'x')) == 413);
    CHECK(status_of("/relay/v1/state", std::string(500, '[')) == 400);
    CHECK(status_of("/relay/v1/unknown", "{}") == 404);
    ask({{"group", "orders"}});
    CHECK(answer);
}
