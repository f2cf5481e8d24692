#include "gentianhill/caller/caller_message.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct request_fixture {
    caller_limits limits;
    error reason;
    nlohmann::json body = nlohmann::json{{"group", "wheeldb-1"}, {"sql", "SELECT 1"}, {"read_only", true}};
};

} // namespace

// A request without a deadline must get the default one; otherwise it could wait indefinitely.
TEST_CASE_FIXTURE(request_fixture, "statement_request_without_deadline_gets_default") {
    const std::optional<statement_request> request = parse_statement_request(body, limits, reason);
    REQUIRE(request);
    CHECK(request->deadline == limits.default_deadline);
    CHECK(request->consistency == read_consistency::session);
}

// Each kind of invalid field must be rejected with an error that names the field.
TEST_CASE_FIXTURE(request_fixture, "statement_request_bad_field_is_refused_with_its_name") {
    struct invalid_field_case {
        const char* field;
        nlohmann::json value;
        error_code code;
    };
    const std::vector<invalid_field_case> cases{
        {"group", 7, error_code::bad_type},
        {"sql", "", error_code::out_of_range},
        {"params", "text", error_code::bad_type},
        {"params", nlohmann::json::array({nlohmann::json::object()}), error_code::bad_type},
        {"deadline_ms", 0, error_code::out_of_range},
        {"deadline_ms", 60'001, error_code::out_of_range},
        {"max_age_ms", -1, error_code::out_of_range},
        {"consistency", "eventual", error_code::bad_value},
        {"read_only", "yes", error_code::bad_type},
        {"deadline", 5, error_code::unknown_field},
    };
    for (const invalid_field_case& test_case : cases) {
        nlohmann::json changed = body;
        changed[test_case.field] = test_case.value;
        error failed;
        CHECK_FALSE(parse_statement_request(changed, limits, failed));
        CHECK(failed.code == test_case.code);
        CHECK(failed.field == test_case.field);
    }
}

// Without its issue time the age of a key is unknown, and with it how long the key prevents a second run.
TEST_CASE_FIXTURE(request_fixture, "statement_request_key_without_issue_time_is_refused") {
    body["read_only"] = false;
    body["key"] = "order-1";
    CHECK_FALSE(parse_statement_request(body, limits, reason));
    CHECK(reason.field == "issued_at");
}

// An answer with an unknown outcome must not look like a refusal, which says that the request did not run.
TEST_CASE("caller_answer_unknown_outcome_is_gateway_timeout") {
    const caller_answer answer =
        caller_answer::unknown_outcome(error{error_code::timed_out, "instance", "wheeldb-1a", ""});
    CHECK(answer.http_status() == 504);
    CHECK(answer.to_json()["status"] == "outcome_unknown");
    CHECK_FALSE(answer.to_json().contains("rows"));
}
