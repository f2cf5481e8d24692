#include "gentianhill/proxy/proxy_instance.h"

#include <doctest/doctest.h>

#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Transport whose instance is the test.
class scripted_link : public instance_link {
public:
    explicit scripted_link(std::vector<scripted_link*>& links) {
        links.push_back(this);
        send = [this](const instance_command& command) { sent.push_back(command.kind); };
    }

    void open() { on_open({}); }
    bool answer(const instance_answer& next) {
        instance_answer copied = next;
        return on_answer(copied);
    }

    std::vector<command_kind> sent;
};

instance_answer make_answer(const std::string& signature, std::uint64_t position = 7) {
    instance_answer answer;
    answer.result.signature = signature;
    answer.result.position = log_position{1, position};
    return answer;
}

instance_answer make_busy(std::uint64_t position = 7) {
    instance_answer answer = make_answer("", position);
    answer.result.outcome = statement_outcome::busy;
    return answer;
}

instance_answer make_status() {
    instance_answer answer = make_answer("");
    answer.status = instance_status{};
    return answer;
}

struct pooled_connection_fixture {
    time_point clock = time_point{} + 100s;
    logger log{log_settings{}};
    instance_network network;
    std::vector<scripted_link*> links;
    std::unique_ptr<proxy_instance> instance;
    session_state session;
    std::vector<statement_outcome> outcomes;

    pooled_connection_fixture() {
        network.open = [this](const endpoint&, const std::string&, const std::string&, const std::string&) {
            return std::make_unique<scripted_link>(links);
        };
        log.sink = [](std::string_view) {};
        listed_instance listed;
        listed.id = "i-1";
        instance = std::make_unique<proxy_instance>(listed, network, log, instance_pool_settings{},
                                                    [this] { return clock; });
    }

    pooled_connection& open_and_take() {
        REQUIRE(instance->open_more(1, ""));
        links.back()->open();
        return take();
    }
    pooled_connection& take() {
        pooled_connection* taken = instance->take(session, "");
        REQUIRE(taken != nullptr);
        return *taken;
    }
    void send(pooled_connection& connection, command_kind kind, bool changes_data = false) {
        instance_command command;
        command.kind = kind;
        command.changes_data = changes_data;
        connection.send(command,
                        [this](instance_answer& answer) { outcomes.push_back(answer.result.outcome); });
    }
    void pass(duration length) {
        clock += length;
        instance->tick();
    }
};

} // namespace

// Guards against a false promise: the copy of a refusal that is taken for the answer to a write that runs.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "pooled_connection_write_refused_by_a_copy_gets_its_true_answer") {
    pooled_connection& connection = open_and_take();
    send(connection, command_kind::write, true);
    CHECK(links.back()->answer(make_busy()));
    send(connection, command_kind::write, true);
    CHECK_FALSE(links.back()->answer(make_busy()));
    CHECK(outcomes.size() == 1);
    CHECK(links.back()->answer(make_answer("s1")));
    CHECK(outcomes == std::vector<statement_outcome>{statement_outcome::busy, statement_outcome::done});
    CHECK(instance->repeats_answers());
}

// Guards against a write that waits for its timeout although the instance has refused it.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "pooled_connection_write_refused_again_is_answered_after_the_hold") {
    pooled_connection& connection = open_and_take();
    send(connection, command_kind::write, true);
    CHECK(links.back()->answer(make_busy()));
    send(connection, command_kind::write, true);
    CHECK_FALSE(links.back()->answer(make_busy()));
    pass(50ms);
    CHECK(outcomes.size() == 1);
    pass(60ms);
    CHECK(outcomes == std::vector<statement_outcome>{statement_outcome::busy, statement_outcome::busy});
    CHECK(connection.needs_setup());
    CHECK_FALSE(instance->repeats_answers());
}

// Guards against a false promise of an instance that is found to repeat answers while a refusal is held, and
// against a refusal that is passed on after its connection has ended.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "pooled_connection_refusal_held_when_answers_repeat_ends_the_connection") {
    pooled_connection& connection = open_and_take();
    bool is_lost = false;
    connection.on_lost = [&is_lost] { is_lost = true; };
    send(connection, command_kind::read);
    CHECK(links.back()->answer(make_answer("s1")));
    send(connection, command_kind::write, true);
    CHECK(links.back()->answer(make_busy()));
    send(connection, command_kind::write, true);
    CHECK_FALSE(links.back()->answer(make_busy()));
    CHECK_FALSE(links.back()->answer(make_answer("s1")));
    REQUIRE(instance->repeats_answers());
    pass(110ms);
    CHECK(is_lost);
    pass(110ms);
    CHECK(outcomes == std::vector<statement_outcome>{statement_outcome::done, statement_outcome::busy});
}

// Guards against rows of an earlier read that are taken for those of the next one after a refusal was a copy.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "pooled_connection_after_a_repeated_refusal_rests_and_is_set_up") {
    pooled_connection& connection = open_and_take();
    send(connection, command_kind::read);
    CHECK(links.back()->answer(make_busy()));
    send(connection, command_kind::read);
    CHECK(links.back()->answer(make_busy()));
    CHECK(outcomes.size() == 2);
    instance->return_to_pool(connection);
    CHECK(instance->take(session, "") == nullptr);
    pass(110ms);
    pooled_connection& again = take();
    REQUIRE(again.needs_setup());
    const std::vector<setup_step> steps = again.setup.plan_some(session, nullptr);
    REQUIRE(steps.size() == 1);
    // The answer to the read before comes first, and can't be that of a setup command.
    send(again, command_kind::reset);
    CHECK_FALSE(links.back()->answer(make_answer("s1")));
    CHECK_FALSE(again.is_open());
    CHECK(outcomes.size() == 2);
    CHECK(instance->repeats_answers());
}

// Guards against a status row of an earlier call that is taken for a new one.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "proxy_instance_that_repeats_answers_gets_each_status_call_on_a_new_connection") {
    pooled_connection& connection = open_and_take();
    send(connection, command_kind::read);
    CHECK(links.back()->answer(make_answer("s1")));
    CHECK_FALSE(links.back()->answer(make_answer("s1")));
    REQUIRE(instance->repeats_answers());
    instance->return_to_pool(connection);
    for (int call = 0; call < 2; ++call) {
        pooled_connection* asked = instance->take_for_status_call();
        if (asked == nullptr) {
            links.back()->open();
            asked = instance->take_for_status_call();
        }
        REQUIRE(asked != nullptr);
        CHECK_FALSE(asked->history().has_status());
        send(*asked, command_kind::status);
        CHECK(links.at(asked == &connection ? 0 : links.size() - 1)->answer(make_status()));
        if (asked->is_used()) {
            instance->return_to_pool(*asked);
        }
    }
    CHECK(outcomes.size() == 3);
}

// Guards against status calls that stop for ever when one of them is not answered.
TEST_CASE_FIXTURE(pooled_connection_fixture,
                  "proxy_instance_status_call_without_an_answer_makes_way_for_another") {
    pooled_connection& connection = open_and_take();
    send(connection, command_kind::read);
    CHECK(links.back()->answer(make_answer("s1")));
    CHECK_FALSE(links.back()->answer(make_answer("s1")));
    REQUIRE(instance->repeats_answers());
    CHECK(instance->take_for_status_call() == nullptr);
    links.back()->open();
    pooled_connection* asked = instance->take_for_status_call();
    REQUIRE(asked != nullptr);
    send(*asked, command_kind::status);
    CHECK(instance->take_for_status_call() == nullptr);
    pass(400ms);
    CHECK(instance->take_for_status_call() == nullptr);
    links.back()->open();
    CHECK(instance->take_for_status_call() != nullptr);
}
