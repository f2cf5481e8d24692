#include "gentianhill/core/object_reader.h"
#include "gentianhill/http2/client.h"
#include "gentianhill/operators/operator_endpoint.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct operator_fixture {
    event_loop loop;
    operator_endpoint operators{loop, endpoint{"127.0.0.1", 0}};
    std::unique_ptr<http2::client> client;
    std::vector<ticket> submitted;
    bool draining = false;

    operator_fixture() {
        operators.hooks.groups = [] { return nlohmann::json{{"wheeldb", {{"term", 3}}}}; };
        operators.hooks.state = [] { return nlohmann::json{{"name", "bad\xff"}}; };
        operators.hooks.timeline = [](std::uint64_t since, std::size_t limit) {
            return nlohmann::json{{"since", since}, {"limit", limit}};
        };
        operators.hooks.submit_ticket = [this](const ticket& received, const operator_answer& answer) {
            submitted.push_back(received);
            answer(std::nullopt, error{error_code::number_taken, "number", "1", "2"});
        };
        operators.hooks.ticket_status = [](ticket_number number, const operator_answer& answer) {
            answer(nlohmann::json{{"number", number}}, {});
        };
        operators.hooks.outcome = [](const std::string& group, const std::string& key,
                                     const operator_answer& answer) {
            answer(nlohmann::json{{"group", group}, {"key", key}}, {});
        };
        operators.hooks.drain = [this](error& reason) {
            reason = draining ? error{error_code::draining, "", "", ""} : error{};
            return !std::exchange(draining, true);
        };
        error reason;
        REQUIRE(operators.listen(reason));
        http2::client_settings settings;
        settings.server = endpoint{"127.0.0.1", operators.port()};
        client = std::make_unique<http2::client>(loop, settings);
    }

    http2::response call(const std::string& method, const std::string& path, const std::string& body = {}) {
        std::optional<http2::response> result;
        client->send(http2::request{method, path, body}, 2s,
                     [&result](std::optional<http2::response> reply, const error& /*reason*/) {
                         result = std::move(reply);
                     });
        REQUIRE(loop.run_until([&result] { return result.has_value(); }, 5s));
        return *result;
    }

    static std::string field_of(const http2::response& reply) {
        return nlohmann::json::parse(reply.body)["error"]["field"].get<std::string>();
    }
};

} // namespace

// Guards against views that the tool cannot reach, or that invalid text stops.
TEST_CASE_FIXTURE(operator_fixture, "operator_endpoint_views_are_answered") {
    CHECK(call("GET", "/operator/v1/groups").body == R"({"wheeldb":{"term":3}})");
    CHECK(call("GET", "/operator/v1/state").status == 200);
    CHECK(call("GET", "/operator/v1/timeline?since=7&limit=5").body == R"({"limit":5,"since":7})");
    CHECK(call("GET", "/operator/v1/tickets/12/status").body == R"({"number":12})");
    CHECK(call("POST", "/operator/v1/outcome", R"({"group":"wheeldb","key":"k"})").status == 200);
}

// Guards against an invalid ticket that reaches the store.
TEST_CASE_FIXTURE(operator_fixture, "operator_endpoint_invalid_ticket_is_refused_before_the_hook") {
    const http2::response refused =
        call("POST", "/operator/v1/tickets", R"({"number":1,"author":"hana","subjects":{"team/a":{}}})");
    CHECK(refused.status == 400);
    CHECK(field_of(refused) == "subjects[team/a].weight");
    CHECK(submitted.empty());
    const http2::response taken = call("POST", "/operator/v1/tickets",
                                       R"({"number":1,"author":"hana","subjects":{"team/a":{"weight":5}}})");
    CHECK(taken.status == 409);
    CHECK(submitted.size() == 1);
}

// Guards against wrong calls that crash the daemon or get an answer without a reason.
TEST_CASE_FIXTURE(operator_fixture, "operator_endpoint_wrong_calls_get_typed_errors") {
    CHECK(call("GET", "/").status == 404);
    CHECK(call("GET", "/operator/v1/").status == 404);
    CHECK(call("GET", "/operator/v1/shares").status == 404);
    CHECK(call("DELETE", "/operator/v1/groups").status == 404);
    CHECK(call("GET", "/operator/v1/drain").status == 404);
    CHECK_FALSE(draining);
    CHECK(field_of(call("GET", "/operator/v1/timeline?since=-1")) == "since");
    CHECK(field_of(call("GET", "/operator/v1/timeline?limit=5001")) == "limit");
    CHECK(field_of(call("GET", "/operator/v1/timeline?after=1")) == "after");
    CHECK(field_of(call("GET", "/operator/v1/tickets/0")) == "number");
    CHECK(field_of(call("POST", "/operator/v1/outcome", R"({"group":"a"})")) == "key");
    CHECK(call("POST", "/operator/v1/outcome", "{").status == 400);
}

// Guards against a second drain that is reported as a new one.
TEST_CASE_FIXTURE(operator_fixture, "operator_endpoint_second_drain_is_refused") {
    CHECK(call("POST", "/operator/v1/drain").status == 200);
    CHECK(call("POST", "/operator/v1/drain").status == 409);
}
