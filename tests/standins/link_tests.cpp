#include "gentianhill/http2/server.h"
#include "standins/link/link_relay.h"
#include "tests/standins/json_caller.h"

using namespace gentianhill;
using namespace gentianhill::standins;
using namespace std::chrono_literals;

namespace {

/// A server that echoes, a relay before it and a caller that goes through the relay.
struct link_fixture {
    event_loop loop;
    std::unique_ptr<http2::server> server;
    std::unique_ptr<link_relay> relay;
    std::unique_ptr<json_caller> caller;
    std::unique_ptr<json_caller> controller;
    int received = 0;

    link_fixture() {
        http2::server_settings target;
        target.listen = endpoint{"127.0.0.1", 0};
        server = std::make_unique<http2::server>(loop, target);
        server->on_request = [this](http2::connection_id /*connection*/, const http2::request& request,
                                    const http2::server::responder& respond) {
            ++received;
            respond(http2::response{200, request.body});
        };
        error reason;
        REQUIRE(server->listen(reason));
        link_settings settings;
        settings.target = endpoint{"127.0.0.1", server->port()};
        relay = std::make_unique<link_relay>(loop, settings);
        REQUIRE(relay->start(reason));
        caller = std::make_unique<json_caller>(loop, relay->address());
        controller = std::make_unique<json_caller>(loop, relay->control_address());
    }

    void control(const nlohmann::json& state) {
        REQUIRE(controller->request("POST", "/control", state).status == 200);
    }

    json_caller::pending send(duration timeout = 5s) { return caller->send("POST", "/echo", "1", timeout); }
};

} // namespace

// Guards against a relay that alters or loses large messages.
TEST_CASE_FIXTURE(link_fixture, "link_open_passes_large_bodies_unchanged") {
    const std::string body = "\"" + std::string(900'000, 'x') + "\"";
    const json_caller::outcome result = caller->wait(caller->send("POST", "/echo", body));
    CHECK(result.text == body);
}

// Guards against a partition that lets requests through.
TEST_CASE_FIXTURE(link_fixture, "link_forward_blocked_holds_the_request_until_opened") {
    REQUIRE(caller->wait(send()).status == 200);
    control({{"forward", false}});
    const json_caller::pending lost = send(60ms);
    CHECK(caller->wait(lost).reason.code == error_code::timed_out);
    CHECK(received == 1);
    CHECK(relay->connection_count() == 1);
    control({{"forward", true}});
    CHECK(caller->wait(send()).status == 200);
}

// Guards against a partition of one direction that also drops requests.
TEST_CASE_FIXTURE(link_fixture, "link_backward_blocked_the_request_arrives_and_its_answer_is_held") {
    REQUIRE(caller->wait(send()).status == 200);
    control({{"backward", false}});
    const json_caller::pending held = send();
    REQUIRE(loop.run_until([this] { return received == 2; }, 2s));
    CHECK_FALSE(held->done);
    control({{"backward", true}});
    CHECK(caller->wait(held).status == 200);
}

// Guards against a delay that is not applied.
TEST_CASE_FIXTURE(link_fixture, "link_delay_applies_in_each_direction") {
    REQUIRE(caller->wait(send()).status == 200);
    control({{"delay_ms", 20}});
    const time_point started = event_loop::now();
    CHECK(caller->wait(send()).status == 200);
    CHECK(event_loop::now() - started >= 40ms);
}

// Guards against connections that survive a cut, or a target's close that is not passed on.
TEST_CASE_FIXTURE(link_fixture, "link_closed_ends_the_connections_of_both_sides") {
    REQUIRE(caller->wait(send()).status == 200);
    control({{"close", true}});
    REQUIRE(loop.run_until([this] { return caller->is_closed(); }, 2s));
    REQUIRE(loop.run_until([this] { return server->connection_count() == 0; }, 2s));
    caller = std::make_unique<json_caller>(loop, relay->address());
    REQUIRE(caller->wait(send()).status == 200);
    server.reset();
    REQUIRE(loop.run_until([this] { return caller->is_closed() && relay->connection_count() == 0; }, 2s));
    CHECK(controller->request("POST", "/control", {{"forward", 1}}).error_name() == "bad_type");
}

// Guards against a rate that is not applied, or alters what passes.
TEST_CASE_FIXTURE(link_fixture, "link_rate_bounds_the_bytes_per_second") {
    REQUIRE(caller->wait(send()).status == 200);
    control({{"bytes_per_s", 1'000'000}});
    const std::string body = "\"" + std::string(200'000, 'x') + "\"";
    const time_point started = event_loop::now();
    CHECK(caller->wait(caller->send("POST", "/echo", body)).text == body);
    // 0.2 s in each direction.
    CHECK(event_loop::now() - started >= 400ms - timer_slack);
}

/// A caller behind a link of 200 KB/s whose answers have 100 KB, and whose requests time out after 100 ms.
struct slow_answer_fixture : link_fixture {
    std::unique_ptr<http2::client> client;
    std::optional<http2::response> answer;
    error reason;
    bool is_done = false;

    void call(duration arrival_limit) {
        server->on_request = [](http2::connection_id, const http2::request&,
                                const http2::server::responder& respond) {
            respond(http2::response{200, std::string(100'000, 'x')});
        };
        control({{"bytes_per_s", 200'000}});
        http2::client_settings settings;
        settings.server = relay->address();
        settings.arrival_limit = arrival_limit;
        client = std::make_unique<http2::client>(loop, settings);
        client->send({"GET", "/", ""}, 100ms,
                     [this](std::optional<http2::response> reply, const error& failure) {
                         answer = std::move(reply);
                         reason = failure;
                         is_done = true;
                     });
    }
    void wait_for_answer() {
        REQUIRE(loop.run_until([this] { return is_done; }, 5s));
    }
};

// Guards against an answer that is thrown away although it is arriving.
TEST_CASE_FIXTURE(slow_answer_fixture, "http2_client_answer_that_arrives_slowly_is_awaited") {
    call(5s);
    wait_for_answer();
    REQUIRE(answer);
    CHECK(answer->body.size() == 100'000);
}

// Guards against a request with a deadline that is held beyond it.
TEST_CASE_FIXTURE(slow_answer_fixture, "http2_client_without_arrival_limit_ends_at_the_timeout") {
    call(0s);
    wait_for_answer();
    CHECK(reason.code == error_code::timed_out);
    CHECK(reason.allowed != "0 bytes received");
}

// Guards against a server that falls silent in the middle of an answer.
TEST_CASE_FIXTURE(slow_answer_fixture, "http2_client_answer_that_stops_arriving_is_given_up") {
    call(5s);
    loop.run_until([this] { return client->bytes_received() > 20'000; }, 2s);
    control({{"backward", false}});
    const time_point blocked_at = event_loop::now();
    wait_for_answer();
    CHECK(reason.code == error_code::timed_out);
    CHECK(event_loop::now() - blocked_at < 2s);
}
