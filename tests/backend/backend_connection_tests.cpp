#include "gentianhill/backend/backend_connection.h"
#include "gentianhill/backend/idempotency.h"
#include "gentianhill/core/object_reader.h"
#include "gentianhill/http2/server.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Connects to a local HTTP/2 server that acts as an instance; `script` returns its response to each request.
struct scripted_instance_fixture {
    event_loop loop;
    std::unique_ptr<http2::server> server;
    std::unique_ptr<backend_connection> connection;
    std::function<http2::response(const nlohmann::json&)> script;
    int next_id = 1;

    scripted_instance_fixture() {
        http2::server_settings settings;
        settings.listen = endpoint{"127.0.0.1", 0};
        server = std::make_unique<http2::server>(loop, settings);
        server->on_request = [this](http2::connection_id, const http2::request& request,
                                    const http2::server::responder& respond) {
            respond(script(nlohmann::json::parse(request.body)));
        };
        error reason;
        REQUIRE(server->listen(reason));
        connection = std::make_unique<backend_connection>(
            loop, endpoint{"127.0.0.1", server->port()},
            backend_identity{"kyushu-a-1/1", [this] { return "kyushu-a-1/" + std::to_string(next_id++); },
                             "db-1"});
    }

    struct outcome {
        bool done = false;
        std::optional<database_answer> answer;
        backend_failure failure;
    };

    outcome call() {
        return call("/v1/execute", execute_request{1, {{"SELECT 1", {}}}, true, false}.to_json());
    }

    outcome call(const std::string& path, const nlohmann::json& body) {
        const std::shared_ptr<outcome> result = std::make_shared<outcome>();
        connection->call(path, body, 1s,
                         [result](std::optional<database_answer> answer, const backend_failure& failure) {
                             result->done = true;
                             result->answer = std::move(answer);
                             result->failure = failure;
                         });
        REQUIRE(loop.run_until([&result] { return result->done; }, 3s));
        return *result;
    }

    static nlohmann::json complete_answer(const nlohmann::json& request_id) {
        return nlohmann::json{
            {"request_id", request_id}, {"results", {{{"rows", {{1}}}}}}, {"log_term", 3}, {"position", 17}};
    }
};

} // namespace

// An answer to another request must not be returned as the answer to this one.
TEST_CASE_FIXTURE(scripted_instance_fixture,
                  "backend_connection_mismatched_answer_fails_and_breaks_connection") {
    script = [](const nlohmann::json&) { return http2::response{200, complete_answer("other/1").dump()}; };
    const outcome result = call();
    CHECK_FALSE(result.answer);
    CHECK(result.failure.reason.code == error_code::mismatched_answer);
    CHECK(result.failure.progress == request_progress::sent);
    CHECK_FALSE(connection->is_usable());
}

// A truncated answer must not be accepted as a complete one.
TEST_CASE_FIXTURE(scripted_instance_fixture,
                  "backend_connection_truncated_answer_fails_and_breaks_connection") {
    script = [](const nlohmann::json& request) {
        std::string body = complete_answer(request["request_id"]).dump();
        body.resize(body.size() / 2);
        return http2::response{200, body};
    };
    const outcome result = call();
    CHECK(result.failure.reason.code == error_code::bad_json);
    CHECK(result.failure.progress == request_progress::sent);
    CHECK_FALSE(connection->is_usable());
}

// A refusal without an error code does not prove that the request did not run and must not count as such.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_error_without_code_counts_as_sent") {
    script = [](const nlohmann::json& request) {
        return http2::response{500, nlohmann::json{{"request_id", request["request_id"]}}.dump()};
    };
    const outcome result = call();
    CHECK(result.failure.progress == request_progress::sent);
    CHECK_FALSE(connection->is_usable());
}

// Guards against a commit reported as not run when the instance itself does not know whether it ran.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_error_of_unknown_outcome_counts_as_sent") {
    error_code code = error_code::none;
    SUBCASE("none") {
        code = error_code::none;
    }
    SUBCASE("outcome_unknown") {
        code = error_code::outcome_unknown;
    }
    SUBCASE("timed_out") {
        code = error_code::timed_out;
    }
    SUBCASE("connection_lost") {
        code = error_code::connection_lost;
    }
    SUBCASE("deadline_exceeded") {
        code = error_code::deadline_exceeded;
    }
    SUBCASE("bad_answer") {
        code = error_code::bad_answer;
    }
    script = [code](const nlohmann::json& request) {
        return http2::response{500, nlohmann::json{{"request_id", request["request_id"]},
                                                   {"error", to_json(error{code, "", "", ""})}}
                                        .dump()};
    };
    const outcome result = call("/v1/commit", nlohmann::json{{"term", 3}});
    CHECK_FALSE(result.answer);
    CHECK(result.failure.reason.failed());
    CHECK(result.failure.progress == request_progress::sent);
    CHECK_FALSE(connection->is_usable());
}

// A refused statement must not make the connection unusable.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_typed_refusal_counts_as_answered") {
    script = [](const nlohmann::json& request) {
        return http2::response{
            409, nlohmann::json{{"request_id", request["request_id"]},
                                {"error", to_json(error{error_code::stale_term, "term", "1", "2"})}}
                     .dump()};
    };
    const outcome result = call();
    CHECK(result.failure.reason.code == error_code::stale_term);
    CHECK(result.failure.progress == request_progress::answered);
    CHECK(connection->is_usable());
}

// Session tokens are made from the log position of the answer, so it must not be lost.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_complete_answer_carries_position") {
    script = [](const nlohmann::json& request) {
        return http2::response{200, complete_answer(request["request_id"]).dump()};
    };
    const outcome result = call();
    REQUIRE(result.answer);
    CHECK(result.answer->data_position == log_position{3, 17});
}

// A write or read must not be reported as done on an answer that lacks results or the position of its data.
TEST_CASE_FIXTURE(scripted_instance_fixture,
                  "backend_connection_execute_answer_not_whole_fails_and_counts_as_sent") {
    nlohmann::json changed;
    SUBCASE("no_results") {
        changed = {{"results", nullptr}};
    }
    SUBCASE("results_of_no_statement") {
        changed = {{"results", nlohmann::json::array()}};
    }
    SUBCASE("results_of_other_statements") {
        changed = {{"results", {{{"changes", 1}}, {{"changes", 1}}}}};
    }
    SUBCASE("result_is_no_object") {
        changed = {{"results", {7}}};
    }
    SUBCASE("no_log_term") {
        changed = {{"log_term", nullptr}};
    }
    SUBCASE("no_position") {
        changed = {{"position", nullptr}};
    }
    script = [changed](const nlohmann::json& request) {
        nlohmann::json body = complete_answer(request["request_id"]);
        // Removes the members that are null in the patch.
        body.merge_patch(changed);
        return http2::response{200, body.dump()};
    };
    const outcome result = call();
    CHECK_FALSE(result.answer);
    CHECK(result.failure.reason.failed());
    CHECK(result.failure.progress == request_progress::sent);
    CHECK_FALSE(connection->is_usable());
}

// A commit whose answer has no position cannot be confirmed.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_commit_answer_without_position_fails") {
    script = [](const nlohmann::json& request) {
        return http2::response{200, nlohmann::json{{"request_id", request["request_id"]}}.dump()};
    };
    const outcome result = call("/v1/commit", nlohmann::json{{"term", 3}});
    CHECK_FALSE(result.answer);
    CHECK(result.failure.progress == request_progress::sent);
}

// Guards against a fence or status that counts for one instance while another one, at the same address, has
// answered it.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_answer_of_another_instance_fails") {
    std::string found = "db-2";
    bool is_nested = true;
    SUBCASE("expected_one") {
        found = "db-1";
    }
    SUBCASE("other_in_status") {
        is_nested = true;
    }
    SUBCASE("other_in_answer_itself") {
        is_nested = false;
    }
    script = [found, is_nested](const nlohmann::json& request) {
        nlohmann::json body{{"instance", found}, {"accepted_term", 3}, {"log_term", 2},     {"position", 17},
                            {"term_start", 1},   {"role", "replica"},  {"primary", nullptr}};
        if (is_nested) {
            body = nlohmann::json{{"status", body}};
        }
        body["request_id"] = request["request_id"];
        return http2::response{200, body.dump()};
    };
    const outcome result = call("/v1/fence", nlohmann::json{{"term", 3}});
    const bool is_expected = found == "db-1";
    CHECK(result.answer.has_value() == is_expected);
    CHECK(connection->is_usable() == is_expected);
    if (!is_expected) {
        CHECK(result.failure.reason.code == error_code::mismatched_answer);
        CHECK(result.failure.progress == request_progress::sent);
    }
}

// A promotion that no instance reports must not count as made.
TEST_CASE_FIXTURE(scripted_instance_fixture, "backend_connection_promote_answer_without_status_fails") {
    script = [](const nlohmann::json& request) {
        return http2::response{200, nlohmann::json{{"request_id", request["request_id"]}}.dump()};
    };
    CHECK_FALSE(call("/v1/promote", nlohmann::json{{"term", 3}}).answer);
}

// Different requests must have different digests, also when text moves between SQL and parameters.
TEST_CASE("statements_digest_of_different_statements_differs") {
    const std::string original = statements_digest({{"INSERT INTO builds VALUES (?)", {"a"}}});
    CHECK(original == statements_digest({{"INSERT INTO builds VALUES (?)", {"a"}}}));
    CHECK(original != statements_digest({{"INSERT INTO builds VALUES (?)", {"b"}}}));
    CHECK(original != statements_digest({{"INSERT INTO builds VALUES (?)", nlohmann::json::array()}}));
}

// A malformed answer to a lookup must not be taken for an absent key.
TEST_CASE("parse_key_record_malformed_row_is_bad_answer") {
    error reason;
    CHECK_FALSE(parse_key_record(nlohmann::json::parse(R"([{"rows":[["done"]]}])"), reason));
    CHECK(reason.code == error_code::bad_answer);
    error absent;
    CHECK_FALSE(parse_key_record(nlohmann::json::parse(R"([{"rows":[]}])"), absent));
    CHECK_FALSE(absent.failed());
}
