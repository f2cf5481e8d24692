#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <set>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct session_fixture {
    simulated_deployment deployment{1};
    std::unique_ptr<simulated_client> client = deployment.connect(0, "own");
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
