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

// Guards against a path on which plain statements do not reach an instance at all.
TEST_CASE_FIXTURE(session_fixture, "session_read_and_write_are_answered_with_the_signature_of_an_instance") {
    const std::string written = client->send("WRITE a 1");
    const std::string read = client->send("READ a");
    deployment.run_for(200ms);
    CHECK(client->outcome(written) == statement_outcome::done);
    CHECK(client->result(written)->signature == "signed-" + written);
    CHECK(client->outcome(read) == statement_outcome::done);
    CHECK(client->result(read)->rows == std::vector<std::string>{"row-" + read});
}

// Guards against a statement that runs with the values of another session on a shared connection.
TEST_CASE_FIXTURE(session_fixture, "session_values_are_exactly_its_own_wherever_its_statements_run") {
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

// Guards against equal names of two clients running each other's prepared statement.
TEST_CASE_FIXTURE(session_fixture, "session_prepared_name_used_by_two_clients_runs_each_ones_shape") {
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

// Guards against a name that was never prepared, or was forgotten, reaching an instance.
TEST_CASE_FIXTURE(session_fixture, "session_execution_of_an_unknown_name_is_refused_as_not_run") {
    const std::string unknown = client->execute("nothing", "item");
    deployment.run_for(50ms);
    CHECK(client->outcome(unknown) == statement_outcome::no_statement);
}

// Guards against an instance connection that is given back inside the transaction of a client that left.
TEST_CASE_FIXTURE(session_fixture, "session_client_that_leaves_in_a_transaction_leaves_nothing_behind") {
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

// Guards against statements of one transaction on different connections.
TEST_CASE_FIXTURE(session_fixture, "session_transaction_stays_on_one_connection_until_its_commit") {
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

// Guards against idle transactions that hold scarce connections for ever.
TEST_CASE_FIXTURE(session_fixture, "session_transaction_idle_beyond_the_limit_is_ended_and_says_so") {
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

// Guards against an empty transaction being committed without any instance's word for it.
TEST_CASE_FIXTURE(session_fixture, "session_commit_of_an_empty_transaction_carries_a_signature") {
    client->send("BEGIN");
    const std::string commit = client->send("COMMIT");
    deployment.run_for(200ms);
    CHECK(client->outcome(commit) == statement_outcome::done);
    CHECK(!client->result(commit)->signature.empty());
}

// Guards against a write in a transaction that was announced to read only.
TEST_CASE_FIXTURE(session_fixture, "session_write_in_a_reading_transaction_is_refused") {
    client->send("BEGIN READ");
    const std::string write = client->send("WRITE a 1");
    deployment.run_for(100ms);
    CHECK(client->outcome(write) == statement_outcome::read_only);
    CHECK(client->result(write)->state == transaction_state::failed);
}

// Guards against a removed route that is still served, and against a version that goes back.
TEST_CASE_FIXTURE(session_fixture, "session_route_removed_by_a_newer_version_is_unknown_and_stays_so") {
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
