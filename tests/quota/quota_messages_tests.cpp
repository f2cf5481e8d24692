#include "gentianhill/quota/quota_messages.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct message_fixture {
    message_fixture() {
        request.daemon = "d-1";
        request.incarnation = "d-1-7";
        request.running = 90s;
        request.number = 12;
        request.teams = {{"team-a", {2.5, 7}, 3.25, 1, 1.5, 0.5}};
        answer.daemon = "d-2";
        answer.outcome = shares_outcome::extended;
        answer.allocator = "d-2";
        answer.claim = 5;
        answer.shares = {{"team-a", {2.5, 7}, 1.25, true}};
    }

    shares_request request;
    shares_answer answer;
    error reason;
};

} // namespace

TEST_CASE_FIXTURE(message_fixture, "quota_messages_written_and_read_keep_their_content") {
    const std::optional<shares_request> read = shares_request::from_json(request.to_json(), reason);
    REQUIRE(read);
    CHECK(read->number == 12);
    CHECK(read->running == 90s);
    REQUIRE(read->teams.size() == 1);
    CHECK(read->teams[0].share == quota_share{2.5, 7});
    CHECK(read->teams[0].level == 3.25);
    CHECK(read->teams[0].in_use == 1);
    CHECK(read->teams[0].returned == 0.5);
    const std::optional<shares_answer> answered = shares_answer::from_json(answer.to_json(), reason);
    REQUIRE(answered);
    CHECK(answered->outcome == shares_outcome::extended);
    CHECK(answered->claim == 5);
    CHECK(answered->shares[0].tokens == 1.25);
    CHECK(answered->shares[0].is_lowered);
}

// Guards against shares that grow by rounding on their way between daemons.
TEST_CASE_FIXTURE(message_fixture, "quota_messages_numbers_rounded_shares_do_not_grow") {
    answer.shares[0].share = {1.0009, 2.9999};
    CHECK(shares_answer::from_json(answer.to_json(), reason)->shares[0].share == quota_share{1, 2.999});
    request.teams[0].share = {1.0001, 2.0001};
    CHECK(shares_request::from_json(request.to_json(), reason)->teams[0].share == quota_share{1.001, 2.001});
}

// Guards against a daemon that applies what another one has not meant.
TEST_CASE_FIXTURE(message_fixture, "quota_messages_malformed_ones_are_refused_with_a_type") {
    const std::vector<std::pair<std::function<void(nlohmann::json&)>, error_code>> changes{
        {[](nlohmann::json& value) { value.erase("daemon"); }, error_code::missing_field},
        {[](nlohmann::json& value) { value["number"] = -1; }, error_code::out_of_range},
        {[](nlohmann::json& value) { value["teams"] = "none"; }, error_code::bad_type},
        {[](nlohmann::json& value) { value["teams"][0]["rate"] = -0.5; }, error_code::out_of_range},
        {[](nlohmann::json& value) { value["teams"][0]["capacity"] = 1e300; }, error_code::out_of_range},
        {[](nlohmann::json& value) { value["teams"][0]["returned"] = "all"; }, error_code::bad_type},
        {[](nlohmann::json& value) { value["teams"][0]["team"] = std::string(1000, 'x'); },
         error_code::out_of_range},
        {[](nlohmann::json& value) {
             value["teams"] = nlohmann::json::array();
             for (int count = 0; count < 401; ++count) {
                 value["teams"].push_back(nlohmann::json::object());
             }
         },
         error_code::out_of_range},
    };
    for (const auto& [change, expected] : changes) {
        nlohmann::json value = request.to_json();
        change(value);
        reason = {};
        CHECK_FALSE(shares_request::from_json(value, reason));
        CHECK(reason.code == expected);
    }
    nlohmann::json value = answer.to_json();
    value["outcome"] = "perhaps";
    reason = {};
    CHECK_FALSE(shares_answer::from_json(value, reason));
    CHECK(reason.code == error_code::bad_value);
    reason = {};
    CHECK_FALSE(tokens_request::from_json({{"daemon", "d"}, {"team", "t"}, {"needed", 1.5}}, reason));
    CHECK(reason.code == error_code::bad_type);
    reason = {};
    CHECK_FALSE(holdings_request::from_json(nlohmann::json::array(), reason));
    CHECK(reason.code == error_code::bad_type);
}
