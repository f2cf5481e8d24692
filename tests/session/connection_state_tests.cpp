#include "gentianhill/session/connection_state.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace gentianhill;

namespace {

struct connection_fixture {
    session_state session;
    connection_state connection;

    void apply_all(const prepared_statement* needed = nullptr) {
        for (const setup_step& step : connection.plan(session, needed)) {
            connection.apply(step);
        }
    }
};

} // namespace

// Guards against setup commands that are sent although the connection already has the session's values.
TEST_CASE_FIXTURE(connection_fixture, "connection_state_matching_values_plan_is_empty") {
    session.set_value("zone", "tokyo");
    CHECK(connection.plan(session, nullptr).size() == 1);
    apply_all();
    CHECK(connection.plan(session, nullptr).empty());
    CHECK(connection.matches_values(session));
}

// Guards against a value of a previous session that stays in effect on a reused connection.
TEST_CASE_FIXTURE(connection_fixture, "connection_state_value_of_other_session_is_cleared_by_reset") {
    session.set_value("zone", "tokyo");
    apply_all();
    const session_state other;
    const std::vector<setup_step> steps = connection.plan(other, nullptr);
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].kind == setup_kind::reset);
}

// Guards against executing a prepared statement that a reset has removed from the connection.
TEST_CASE_FIXTURE(connection_fixture, "connection_state_reset_prepares_statement_again") {
    const prepared_statement shape{"rims", false};
    session.set_value("zone", "tokyo");
    apply_all(&shape);
    CHECK(connection.plan(session, &shape).empty());
    const session_state other;
    const std::vector<setup_step> steps = connection.plan(other, &shape);
    REQUIRE(steps.size() == 2);
    CHECK(steps[1].kind == setup_kind::prepare);
}

// Guards against an unbounded number of prepared statements on a connection.
TEST_CASE_FIXTURE(connection_fixture, "connection_state_max_prepared_reached_is_reset") {
    for (std::size_t i = 0; i < connection_state::max_prepared; ++i) {
        const prepared_statement shape{"shape" + std::to_string(i), false};
        apply_all(&shape);
    }
    const prepared_statement extra{"extra", true};
    const std::vector<setup_step> steps = connection.plan(session, &extra);
    REQUIRE(steps.size() == 2);
    CHECK(steps[0].kind == setup_kind::reset);
}

// Guards against two different prepared statements that share a name on an instance connection.
TEST_CASE("shared_statement_name_differs_for_each_shape_and_mode") {
    CHECK(shared_statement_name({"a b", false}) != shared_statement_name({"a_b", false}));
    CHECK(shared_statement_name({"a", false}) != shared_statement_name({"a", true}));
    CHECK(shared_statement_name({"a_20b", false}) != shared_statement_name({"a b", false}));
}

// Guards against a name that makes a statement too long for a message, and against long shapes that share a
// name.
TEST_CASE("shared_statement_name_of_a_long_shape_is_short_and_differs_for_each_shape_and_mode") {
    constexpr std::size_t max_name_bytes = 67;
    constexpr std::size_t max_length = 300;
    std::set<std::string> names;
    std::size_t shapes = 0;
    for (std::size_t length = 1; length <= max_length; ++length) {
        for (const char fill : {'a', '_', '#', '\n', '\0', '\xff'}) {
            for (const bool writes : {false, true}) {
                const std::string name = shared_statement_name({std::string(length, fill), writes});
                CHECK(name.size() <= max_name_bytes);
                CHECK(name.find_first_not_of(
                          "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_") ==
                      std::string::npos);
                names.insert(name);
                ++shapes;
            }
        }
    }
    CHECK(names.size() == shapes);
    const std::string shape(100, '#');
    CHECK(shared_statement_name({shape, true}) == shared_statement_name({shape, true}));
    // A shape that reads as the name of another one.
    CHECK(shared_statement_name({shared_statement_name({shape, true}).substr(1), true}) !=
          shared_statement_name({shape, true}));
}

// Guards against a client that exhausts memory with prepared statements.
TEST_CASE("session_state_number_of_prepared_statements_is_bounded") {
    session_state session;
    for (std::size_t i = 0; i < session_state::max_prepared; ++i) {
        REQUIRE(session.prepare("s" + std::to_string(i), {"x", false}));
    }
    CHECK(!session.prepare("one_more", {"x", false}));
    CHECK(session.prepare("s1", {"y", true}));
}
