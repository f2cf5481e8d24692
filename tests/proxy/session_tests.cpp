#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <set>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct session_fixture {
    simulated_deployment deployment{1};
    std::unique_ptr<simulated_client> client = deployment.connect(0, "own");

    /// Number of bytes of a statement's text with which the client's next message has the maximum length.
    [[nodiscard]] std::size_t longest_text() const {
        return message_limit - ("QUERY " + client->next_id() + " ").size();
    }
    /// Makes a statement's text or a field as long as given, of a start that is repeated.
    [[nodiscard]] static std::string padded(std::string start, std::size_t length) {
        const char fill = start.back();
        start.resize(length, fill);
        return start;
    }
};

} // namespace

// Guards against statements outside a transaction that are answered without running on an instance.
TEST_CASE_FIXTURE(session_fixture, "session_read_and_write_return_instance_signature") {
    const std::string written = client->send("WRITE a 1");
    const std::string read = client->send("READ a");
    deployment.run_for(200ms);
    CHECK(client->outcome(written) == statement_outcome::done);
    CHECK(client->result(written)->signature == "signed-" + written);
    CHECK(client->outcome(read) == statement_outcome::done);
    CHECK(client->result(read)->rows == std::vector<std::string>{"row-" + read});
}

// Guards against a statement that runs with the values of another session on a pooled connection.
TEST_CASE_FIXTURE(session_fixture, "session_statements_on_pooled_connections_run_with_own_values") {
    std::unique_ptr<simulated_client> other = deployment.connect(0, "own");
    std::map<std::string, std::map<std::string, std::string>> values_by_id;
    deployment.service.on_run = [&values_by_id](const standins::model_command& command,
                                                const standins::model_connection& connection) {
        values_by_id[command.id] = connection.values;
    };
    client->set("language", "ja");
    other->set("unit", "mm");
    for (int round = 0; round < 5; ++round) {
        const std::string mine = client->send("READ a");
        const std::string theirs = other->send("READ b");
        deployment.run_for(100ms);
        CHECK(values_by_id[mine] == std::map<std::string, std::string>{{"language", "ja"}});
        CHECK(values_by_id[theirs] == std::map<std::string, std::string>{{"unit", "mm"}});
    }
}

// Guards against a client running another client's prepared statement of the same name.
TEST_CASE_FIXTURE(session_fixture, "session_same_prepared_name_in_two_sessions_runs_own_statement") {
    std::unique_ptr<simulated_client> other = deployment.connect(0, "own");
    std::map<std::string, std::string> shape_by_id;
    deployment.service.on_run = [&shape_by_id](const standins::model_command& command,
                                               const standins::model_connection& connection) {
        if (command.kind == command_kind::execute) {
            shape_by_id[command.id] = connection.prepared.at(command.name).first;
        }
    };
    client->prepare("s1", "rims", false);
    other->prepare("s1", "hubs", false);
    const std::string mine = client->execute("s1", "item");
    const std::string theirs = other->execute("s1", "item");
    deployment.run_for(200ms);
    CHECK(client->outcome(mine) == statement_outcome::done);
    CHECK(other->outcome(theirs) == statement_outcome::done);
    CHECK(shape_by_id[mine] == "rims");
    CHECK(shape_by_id[theirs] == "hubs");
}

// Guards against sending an instance a name that was never prepared or was deallocated.
TEST_CASE_FIXTURE(session_fixture, "session_execute_of_unknown_name_is_refused") {
    const std::string unknown = client->execute("nothing", "item");
    deployment.run_for(50ms);
    CHECK(client->outcome(unknown) == statement_outcome::no_statement);
}

// Guards against a connection that returns to the pool with the open transaction of a client that
// disconnected.
TEST_CASE_FIXTURE(session_fixture, "session_client_disconnect_in_transaction_rolls_back") {
    client->send("BEGIN");
    client->send("WRITE a 1");
    deployment.run_for(100ms);
    client->leave();
    std::unique_ptr<simulated_client> next = deployment.connect(0, "own");
    std::vector<std::string> ids;
    constexpr int writes = 10;
    ids.reserve(writes);
    for (int round = 0; round < writes; ++round) {
        ids.push_back(next->send("WRITE b 2"));
    }
    deployment.run_for(1s);
    for (const std::string& id : ids) {
        CHECK(next->outcome(id) == statement_outcome::done);
    }
    CHECK(deployment.service.acknowledged().size() == ids.size());
}

// Guards against statements of one transaction that run on different connections.
TEST_CASE_FIXTURE(session_fixture, "session_transaction_until_commit_uses_one_connection") {
    std::set<const standins::model_connection*> used;
    deployment.service.on_run = [&used](const standins::model_command&,
                                        const standins::model_connection& connection) {
        used.insert(&connection);
    };
    std::unique_ptr<simulated_client> noise = deployment.connect(0, "own");
    client->send("BEGIN");
    client->send("WRITE a 1");
    client->send("READ a");
    const std::string commit = client->send("COMMIT");
    deployment.run_for(300ms);
    CHECK(client->outcome(commit) == statement_outcome::done);
    CHECK(client->result(commit)->state == transaction_state::idle);
    CHECK(used.size() == 1);
}

// Guards against idle transactions that hold connections indefinitely.
TEST_CASE_FIXTURE(session_fixture, "session_transaction_beyond_idle_limit_is_rolled_back") {
    client->send("BEGIN");
    client->send("WRITE a 1");
    deployment.run_for(100ms);
    for (int step = 0; step < 200; ++step) {
        deployment.run_for(25ms);
        client->session().tick();
    }
    const std::string late = client->send("WRITE a 2");
    const std::string commit = client->send("COMMIT");
    deployment.run_for(100ms);
    CHECK(client->outcome(late) == statement_outcome::malformed);
    CHECK(client->outcome(commit) == statement_outcome::aborted);
    CHECK(deployment.service.acknowledged().empty());
}

// Guards against committing an empty transaction without the signature of an instance.
TEST_CASE_FIXTURE(session_fixture, "session_commit_of_empty_transaction_has_signature") {
    client->send("BEGIN");
    const std::string commit = client->send("COMMIT");
    deployment.run_for(200ms);
    CHECK(client->outcome(commit) == statement_outcome::done);
    CHECK(!client->result(commit)->signature.empty());
}

// Guards against a write in a read-only transaction.
TEST_CASE_FIXTURE(session_fixture, "session_write_in_read_only_transaction_is_refused") {
    client->send("BEGIN READ");
    const std::string write = client->send("WRITE a 1");
    deployment.run_for(100ms);
    CHECK(client->outcome(write) == statement_outcome::read_only);
    CHECK(client->result(write)->state == transaction_state::failed);
}

// Guards against serving a removed route, and against applying an older configuration version.
TEST_CASE_FIXTURE(session_fixture, "session_route_removed_by_newer_version_stays_unknown") {
    std::unique_ptr<simulated_client> bounded = deployment.connect(0, "bounded");
    deployment.configure(5, false);
    deployment.run_for(200ms);
    const std::string refused = bounded->send("READ a");
    deployment.configure(4, true);
    deployment.run_for(200ms);
    const std::string still_refused = bounded->send("READ a");
    deployment.run_for(100ms);
    CHECK(bounded->outcome(refused) == statement_outcome::unknown_database);
    CHECK(bounded->outcome(still_refused) == statement_outcome::unknown_database);
}

// Guards against a statement of a lost transaction that is refused as malformed: the client took the
// transaction for open, and a promise tells it to try again.
TEST_CASE_FIXTURE(session_fixture, "session_transaction_lost_between_statements_is_reported_as_aborted") {
    client->send("BEGIN");
    const std::string first = client->send("WRITE a 1");
    deployment.run_for(100ms);
    REQUIRE(client->outcome(first) == statement_outcome::done);
    deployment.service.set_up(deployment.service.leader(), false);
    deployment.run_for(100ms);
    const std::string next = client->send("WRITE a 2");
    const std::string after = client->send("WRITE a 3");
    const std::string commit = client->send("COMMIT");
    deployment.run_for(100ms);
    CHECK(client->outcome(next) == statement_outcome::aborted);
    CHECK(client->result(next)->state == transaction_state::failed);
    CHECK(client->outcome(after) == statement_outcome::malformed);
    CHECK(client->outcome(commit) == statement_outcome::aborted);
    CHECK(client->result(commit)->state == transaction_state::idle);
}

// Guards against a transaction that is reported twice as lost, or that stays failed, after the client has
// ended it.
TEST_CASE_FIXTURE(session_fixture,
                  "session_transaction_lost_between_statements_is_ended_by_commit_or_rollback") {
    std::string end;
    statement_outcome expected = statement_outcome::done;
    SUBCASE("commit") {
        end = "COMMIT";
        expected = statement_outcome::aborted;
    }
    SUBCASE("rollback") {
        end = "ROLLBACK";
    }
    client->send("BEGIN READ");
    const std::string first = client->send("READ a");
    deployment.run_for(100ms);
    REQUIRE(client->outcome(first) == statement_outcome::done);
    for (const std::string& id : deployment.service.ids()) {
        deployment.service.set_up(id, false);
    }
    deployment.run_for(100ms);
    const std::string ended = client->send(end);
    const std::string begin = client->send("BEGIN READ");
    deployment.run_for(10ms);
    CHECK(client->outcome(ended) == expected);
    CHECK(client->result(ended)->state == transaction_state::idle);
    CHECK(client->outcome(begin) == statement_outcome::done);
}

// Guards against a read that the proxy makes too long for a message by the position that it adds: the
// instance ends the connection, and every retry ends another one.
TEST_CASE_FIXTURE(session_fixture, "session_read_too_long_with_its_position_is_refused_without_effect") {
    const std::string read = client->send(padded("READ a", longest_text()));
    deployment.run_for(100ms);
    CHECK(client->outcome(read) == statement_outcome::too_large);
    CHECK(client->result(read)->state == transaction_state::idle);
    CHECK(deployment.oversized_commands == 0);
    const std::string next = client->send("READ a");
    deployment.run_for(100ms);
    CHECK(client->outcome(next) == statement_outcome::done);
}

// Guards against a limit that refuses statements which need not be longer than the client's message.
TEST_CASE_FIXTURE(session_fixture, "session_statements_of_maximum_length_without_additions_are_served") {
    const std::string write = client->send(padded("WRITE a x", longest_text()));
    deployment.run_for(100ms);
    client->send("BEGIN");
    const std::string first = client->send(padded("READ a", longest_text()));
    const std::string second = client->send(padded("READ a", longest_text()));
    const std::string commit = client->send("COMMIT");
    deployment.run_for(200ms);
    CHECK(client->outcome(write) == statement_outcome::done);
    CHECK(client->outcome(first) == statement_outcome::done);
    CHECK(client->outcome(second) == statement_outcome::done);
    CHECK(client->outcome(commit) == statement_outcome::done);
    CHECK(deployment.oversized_commands == 0);
}

// Guards against a prepared statement within the limit whose shared name is longer than a message.
TEST_CASE_FIXTURE(session_fixture, "session_prepared_statement_with_long_shape_of_odd_bytes_is_served") {
    constexpr std::size_t shape_bytes = 400000;
    client->prepare("s1", padded("#", shape_bytes), false);
    client->prepare("s2", padded("#", shape_bytes) + "$", false);
    const std::string first = client->execute("s1", "item");
    const std::string second = client->execute("s2", "item");
    deployment.run_for(200ms);
    CHECK(client->outcome(first) == statement_outcome::done);
    CHECK(client->outcome(second) == statement_outcome::done);
    CHECK(deployment.oversized_commands == 0);
}

// Guards against a PREPARE that is accepted although no instance can receive it.
TEST_CASE_FIXTURE(session_fixture, "session_prepare_too_long_with_shared_name_is_refused_at_once") {
    const std::size_t shape_bytes = longest_text() - std::string("PREPARE s READ ").size();
    const std::string refused = client->prepare("s", padded("x", shape_bytes), false);
    CHECK(client->outcome(refused) == statement_outcome::too_large);
    const std::string unknown = client->execute("s", "item");
    CHECK(client->outcome(unknown) == statement_outcome::no_statement);
    deployment.run_for(100ms);
    CHECK(deployment.oversized_commands == 0);
}

// Guards against an EXECUTE that is too long under the shared name and ends the connection of its
// transaction.
TEST_CASE_FIXTURE(session_fixture, "session_execute_too_long_with_shared_name_is_refused_without_effect") {
    client->prepare("s", padded("#", 40), true);
    SUBCASE("outside of a transaction") {}
    SUBCASE("first statement of a transaction") {
        client->send("BEGIN");
    }
    SUBCASE("later statement of a transaction") {
        client->send("BEGIN");
        client->send("WRITE a 1");
    }
    deployment.run_for(100ms);
    const bool is_open = !client->session().is_idle();
    const std::size_t argument_bytes = longest_text() - std::string("EXECUTE s ").size();
    const std::string execute = client->execute("s", padded("item x", argument_bytes));
    REQUIRE(client->result(execute) != nullptr);
    CHECK(client->outcome(execute) == statement_outcome::too_large);
    CHECK(client->result(execute)->state == (is_open ? transaction_state::failed : transaction_state::idle));
    deployment.run_for(100ms);
    client->send("ROLLBACK");
    const std::string next = client->execute("s", "item x");
    deployment.run_for(200ms);
    CHECK(client->outcome(next) == statement_outcome::done);
    CHECK(deployment.service.acknowledged().size() == 1);
    CHECK(deployment.oversized_commands == 0);
}
