#include "gentianhill/ownership/hand_on_messages.h"

#include <doctest/doctest.h>

#include <string>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct message_fixture {
    time_point sent_at{100s};
    time_point received_at{500s};
    hand_on_request request;

    message_fixture() {
        request.kind = hand_on_kind::run;
        request.daemon = "d-1";
        request.incarnation = "f00d";
        request.client_statement = {statement_kind::execute,     "id", "", "p",
                                    std::string("a\0\xff b", 5), false};
        request.prepared = prepared_statement{"shape", true};
        request.values = session_state::value_map{{"zone", "a b"}};
        request.received_at = sent_at - 3ms;
        request.team = "team";
        request.configuration_version = 7;
        request.selected_route = std::make_shared<const route>(
            route{"r", "db", "group", consistency_level::read_your_writes, 800ms, 200ms, 2, 1500ms});
        request.in_transaction = true;
        request.begin_id = "begin";
        request.begun_at = sent_at - 20ms;
        request.session_position = log_position{3, 1207};
        request.fresh_after = sent_at - 1s;
    }
    std::optional<hand_on_request> exchange(const std::string& bytes) const {
        error reason;
        std::optional<hand_on_request> read = hand_on_request::decode(bytes, received_at, reason);
        CHECK(read.has_value() == !reason.failed());
        return read;
    }
};

} // namespace

// Guards against a statement that arrives changed, also with bytes that are no text.
TEST_CASE_FIXTURE(message_fixture, "hand_on_request_exchanged_statement_and_session_are_unchanged") {
    const std::optional<hand_on_request> read = exchange(request.encode(sent_at));
    REQUIRE(read);
    CHECK(read->client_statement.argument == request.client_statement.argument);
    CHECK(read->client_statement.id == "id");
    CHECK(read->prepared == request.prepared);
    CHECK(read->values == request.values);
    CHECK(read->team == "team");
    CHECK(read->selected_route->group == "group");
    CHECK(read->selected_route->timeout == 800ms);
    CHECK(read->begin_id == "begin");
    CHECK(read->session_position == request.session_position);
}

// Guards against times of another host's clock: only ages pass, so a read may become fresher but not staler.
TEST_CASE_FIXTURE(message_fixture, "hand_on_request_exchanged_times_count_back_from_the_receipt") {
    const std::optional<hand_on_request> read = exchange(request.encode(sent_at));
    REQUIRE(read);
    CHECK(read->received_at == received_at - 3ms);
    CHECK(read->begun_at == received_at - 20ms);
    CHECK(read->fresh_after == received_at - 1s);
    request.fresh_after = time_point{};
    CHECK(exchange(request.encode(sent_at))->fresh_after == time_point{});
}

// Guards against a message that is read in part, or that reads beyond its end.
TEST_CASE_FIXTURE(message_fixture, "hand_on_request_cut_off_anywhere_is_not_valid") {
    const std::string whole = request.encode(sent_at);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(!exchange(whole.substr(0, length)));
    }
    CHECK(!exchange(whole + "x"));
}

// Guards against a handle that outlives the process that gave it.
TEST_CASE_FIXTURE(message_fixture, "hand_on_request_exchanged_incarnation_of_the_owner_is_unchanged") {
    request.kind = hand_on_kind::end;
    request.handle = 3;
    request.owner_incarnation = "cafe";
    const std::optional<hand_on_request> read = exchange(request.encode(sent_at));
    REQUIRE(read);
    CHECK(read->handle == 3);
    CHECK(read->owner_incarnation == "cafe");
}

// Guards against peers of another version, and values without a meaning.
TEST_CASE_FIXTURE(message_fixture, "hand_on_request_with_unknown_values_is_not_valid") {
    std::string other_version = request.encode(sent_at);
    other_version[0] = 1;
    CHECK(!exchange(other_version));
    std::string other_kind = request.encode(sent_at);
    other_kind[1] = 9;
    CHECK(!exchange(other_kind));
    request.client_statement.kind = statement_kind::set_value;
    CHECK(!exchange(request.encode(sent_at)));
}

TEST_CASE_FIXTURE(message_fixture, "hand_on_answer_exchanged_rows_and_signature_are_unchanged") {
    hand_on_answer answer;
    answer.daemon = "d-2";
    answer.incarnation = "cafe";
    answer.handle = 1U << 20U;
    answer.result.rows = {"a", "", std::string("\0\xfe", 2)};
    answer.result.signature = "7.1f3";
    answer.result.state = transaction_state::open;
    answer.result.position = log_position{1, 2};
    const std::string whole = answer.encode();
    error reason;
    const std::optional<hand_on_answer> read = hand_on_answer::decode(whole, reason);
    REQUIRE(read);
    CHECK(read->handle == answer.handle);
    CHECK(read->incarnation == "cafe");
    CHECK(read->result.rows == answer.result.rows);
    CHECK(read->result.signature == answer.result.signature);
    CHECK(read->result.state == transaction_state::open);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(!hand_on_answer::decode(whole.substr(0, length), reason));
    }
}
