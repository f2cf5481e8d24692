#include "gentianhill/core/rendezvous.h"
#include "simulated_deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Three proxies of one zone, which hand statements on. `owner` is the first in the order of the group,
/// `second` the one that follows, and `asker` has the client.
struct owner_fixture {
    simulated_deployment deployment{3, 1, true};
    std::vector<std::string> order =
        rendezvous_order("orders", {simulated_deployment::host_name(0), simulated_deployment::host_name(1),
                                    simulated_deployment::host_name(2)});
    std::size_t owner = index_of(order[0]);
    std::size_t second = index_of(order[1]);
    std::size_t asker = index_of(order[2]);
    std::unique_ptr<simulated_client> client = deployment.connect(asker, "own");

    static std::size_t index_of(const std::string& name) {
        return static_cast<std::size_t>(name.back() - '0');
    }
    statement_outcome run(const std::string& text, duration wait = 300ms) {
        const std::string id = client->send(text);
        deployment.run_for(wait);
        return client->outcome(id);
    }
    /// Opens a transaction of the client with one write in it.
    void open_transaction() {
        CHECK(run("BEGIN") == statement_outcome::done);
        CHECK(run("WRITE a 1") == statement_outcome::done);
    }
    bool is_logged(std::size_t proxy, const std::string& event) const {
        return std::any_of(deployment.log_lines.begin(), deployment.log_lines.end(),
                           [&](const std::string& line) {
                               return line.rfind(simulated_deployment::host_name(proxy), 0) == 0 &&
                                      line.find(event) != std::string::npos;
                           });
    }
};

} // namespace

// Guards against connections that grow with the daemons of a zone: only the owner of a group opens them.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_statements_of_other_daemons_use_its_connections") {
    const std::size_t opened = deployment.opened_connections;
    for (int count = 0; count < 20; ++count) {
        CHECK(run("READ a", 50ms) == statement_outcome::done);
        CHECK(run("WRITE a 1", 100ms) == statement_outcome::done);
    }
    CHECK(deployment.messages_handed_on[owner] >= 40);
    CHECK(deployment.messages_handed_on[second] == 0);
    CHECK(deployment.opened_connections - opened <= 6);
}

// Guards against a session whose values, prepared statements or position are lost on the way.
TEST_CASE_FIXTURE(owner_fixture,
                  "statement_owner_session_with_values_and_prepared_statement_runs_with_both") {
    client->set("zone", "a b");
    client->prepare("p", "shape", true);
    const std::string executed = client->execute("p", "x 1");
    deployment.run_for(300ms);
    CHECK(client->outcome(executed) == statement_outcome::done);
    CHECK(run("READ x") == statement_outcome::done);
    CHECK(deployment.messages_handed_on[owner] >= 2);
}

// Guards against a message that the owner's transport refuses, after which a write would be in doubt.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_write_of_large_session_runs_at_the_daemon_of_its_client") {
    for (int count = 0; count < 3; ++count) {
        client->set("value-" + std::to_string(count), std::string(500'000, 'v'));
    }
    deployment.run_for(100ms);
    const std::size_t before = deployment.messages_handed_on[owner];
    CHECK(run("WRITE a 1", 1s) == statement_outcome::done);
    CHECK(deployment.messages_handed_on[owner] == before);
}

// Guards against a transaction that is spread over connections, or that sees another one's end.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_transaction_is_committed_at_the_owner") {
    open_transaction();
    CHECK(run("READ a") == statement_outcome::done);
    CHECK(run("COMMIT") == statement_outcome::done);
    CHECK(client->session().is_idle());
    open_transaction();
    CHECK(run("ROLLBACK") == statement_outcome::done);
    CHECK(run("WRITE a 2") == statement_outcome::done);
    CHECK(!deployment.at(owner).has_hosted_statements());
}

// Guards against a connection that a client's departure leaves in its transaction.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_client_that_leaves_ends_its_transaction_there") {
    open_transaction();
    CHECK(deployment.at(owner).has_hosted_statements());
    client->leave();
    deployment.run_for(100ms);
    CHECK(!deployment.at(owner).has_hosted_statements());
}

// Guards against a refusal, or a statement that waits, because the owner has ended before it was sent.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_killed_before_the_statement_next_in_order_runs_it") {
    CHECK(run("READ a") == statement_outcome::done);
    deployment.kill(owner);
    CHECK(run("WRITE a 1") == statement_outcome::done);
    CHECK(run("READ a") == statement_outcome::done);
    CHECK(deployment.messages_handed_on[second] > 0);
}

// Guards against a promise that a write has not run although it may have.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_killed_with_write_in_flight_write_is_in_doubt") {
    CHECK(run("READ a") == statement_outcome::done);
    const std::string id = client->send("WRITE a 1");
    deployment.clock.run_for(1ms);
    deployment.kill(owner);
    deployment.run_for(100ms);
    CHECK(client->outcome(id) == statement_outcome::in_doubt);
}

// Guards against an error for a read that can be repeated at another daemon.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_killed_with_read_in_flight_read_is_repeated") {
    CHECK(run("READ a") == statement_outcome::done);
    const std::string id = client->send("READ a");
    deployment.clock.run_for(1ms);
    deployment.kill(owner);
    deployment.run_for(300ms);
    CHECK(client->outcome(id) == statement_outcome::done);
}

// Guards against a transaction that goes on elsewhere without its first statements, and a commit whose
// promise is not true.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_killed_between_statements_commit_is_aborted") {
    open_transaction();
    deployment.kill(owner);
    CHECK(run("COMMIT") == statement_outcome::aborted);
    CHECK(run("WRITE a 2") == statement_outcome::done);
}

TEST_CASE_FIXTURE(owner_fixture, "statement_owner_killed_with_commit_in_flight_commit_is_in_doubt") {
    open_transaction();
    const std::string id = client->send("COMMIT");
    deployment.clock.run_for(1ms);
    deployment.kill(owner);
    deployment.run_for(100ms);
    CHECK(client->outcome(id) == statement_outcome::in_doubt);
}

// Guards against statements that wait for a suspended owner until their timeout of 1 s.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_frozen_reads_go_to_the_next_within_half_of_the_timeout") {
    CHECK(run("READ a") == statement_outcome::done);
    deployment.clock.freeze(order[0]);
    CHECK(run("READ a", 500ms) == statement_outcome::done);
    CHECK(run("WRITE a 1", 200ms) == statement_outcome::done);
    deployment.clock.wake(order[0]);
    deployment.run_for(1500ms);
    const std::size_t before = deployment.messages_handed_on[second];
    CHECK(run("READ a") == statement_outcome::done);
    CHECK(deployment.messages_handed_on[second] == before);
}

// Guards against a write that runs twice because its answer is missing.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_silent_write_is_in_doubt_and_not_repeated") {
    CHECK(run("READ a") == statement_outcome::done);
    deployment.mute_proxies.insert(owner);
    CHECK(run("WRITE a 1", 600ms) == statement_outcome::in_doubt);
    CHECK(run("READ a", 600ms) == statement_outcome::done);
}

// Guards against an owner that is given up because one statement takes long.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_with_slow_instance_is_kept") {
    CHECK(run("READ a") == statement_outcome::done);
    for (const std::string& id : deployment.service.ids()) {
        deployment.cut(owner, id, true);
    }
    client->send("WRITE a 1");
    deployment.run_for(1200ms);
    CHECK(!is_logged(asker, "owner_unavailable"));
}

// Guards against refusals while all daemons of the zone are cut off from each other.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_none_reached_statements_run_in_the_reserve") {
    deployment.cut_from_proxies(owner, true);
    deployment.cut_from_proxies(second, true);
    deployment.cut_from_proxies(asker, true);
    CHECK(run("READ a", 1000ms) == statement_outcome::done);
    CHECK(run("WRITE a 1", 500ms) == statement_outcome::done);
    open_transaction();
    CHECK(run("COMMIT") == statement_outcome::done);
}

// Guards against refusals by a daemon that stops, and a transaction that its stop breaks off.
TEST_CASE_FIXTURE(owner_fixture,
                  "statement_owner_stops_open_transaction_commits_and_new_ones_go_to_the_next") {
    open_transaction();
    std::unique_ptr<simulated_client> other = deployment.connect(asker, "own");
    deployment.at(owner).stop();
    const std::string id = other->send("WRITE b 1");
    deployment.run_for(300ms);
    CHECK(other->outcome(id) == statement_outcome::done);
    CHECK(deployment.messages_handed_on[second] > 0);
    CHECK(run("WRITE a 2") == statement_outcome::done);
    CHECK(run("COMMIT") == statement_outcome::done);
}

// Guards against a stop that waits for a transaction of another daemon whose client rests.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_stops_resting_transaction_is_aborted_at_half_of_grace") {
    open_transaction();
    deployment.at(owner).stop();
    deployment.run_for(2900ms);
    CHECK(deployment.at(owner).has_hosted_statements());
    deployment.run_for(300ms);
    CHECK(!deployment.at(owner).has_hosted_statements());
    CHECK(run("COMMIT") == statement_outcome::aborted);
}

// Guards against a change of members that breaks an open transaction off.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_changes_open_transaction_stays_where_it_was_opened") {
    deployment.kill(owner);
    deployment.run_for(1s);
    CHECK(run("READ a") == statement_outcome::done);
    open_transaction();
    deployment.start(owner);
    deployment.run_for(2s);
    std::unique_ptr<simulated_client> other = deployment.connect(asker, "own");
    const std::size_t before = deployment.messages_handed_on[owner];
    const std::string id = other->send("READ a");
    deployment.run_for(300ms);
    CHECK(other->outcome(id) == statement_outcome::done);
    CHECK(deployment.messages_handed_on[owner] > before);
    CHECK(run("COMMIT") == statement_outcome::done);
}

// Guards against a hosted transaction that keeps its connection after its daemon has gone.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_daemon_of_the_client_killed_transaction_ends") {
    open_transaction();
    client->leave();
    deployment.on_hand_on_message = [](std::size_t, std::size_t, const std::string&) { return false; };
    deployment.kill(asker);
    deployment.run_for(3500ms);
    CHECK(!deployment.at(owner).has_hosted_statements());
}

// Guards against a message of a peer that ends more than its own request.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_malformed_message_is_refused_and_others_are_served") {
    deployment.on_hand_on_message = [done = false](std::size_t, std::size_t, std::string& message) mutable {
        message = done ? message : message.substr(0, message.size() / 2);
        done = true;
        return true;
    };
    const std::string broken = client->send("READ a");
    deployment.run_for(300ms);
    CHECK(client->result(broken) != nullptr);
    CHECK(is_logged(owner, "message_not_valid"));
    CHECK(run("READ a") == statement_outcome::done);
}

// Guards against a daemon that goes back to an older configuration on the word of another.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_route_of_older_configuration_is_refused_as_not_run") {
    deployment.on_hand_on_message = [this](std::size_t, std::size_t, std::string& message) {
        error ignored;
        std::optional<hand_on_request> request =
            hand_on_request::decode(message, deployment.clock.now(), ignored);
        if (request && request->kind == hand_on_kind::run) {
            route changed = *request->selected_route;
            changed.timeout = 900ms;
            request->selected_route = std::make_shared<const route>(changed);
            request->configuration_version = 0;
            message = request->encode(deployment.clock.now());
        }
        return true;
    };
    CHECK(run("READ a", 1000ms) == statement_outcome::done);
    CHECK(is_logged(asker, "old_configuration"));
    CHECK(!is_logged(asker, "owner_unavailable"));
}

// Load: statements of all daemons of a zone at once. Guards against an owner that takes more than it can
// hold.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_many_sessions_at_once_all_are_answered") {
    std::vector<std::unique_ptr<simulated_client>> clients;
    std::vector<std::string> ids;
    for (int count = 0; count < 120; ++count) {
        clients.push_back(deployment.connect(count % 2 == 0 ? asker : second, "own"));
        ids.push_back(clients.back()->send(count % 3 == 0 ? "WRITE a 1" : "READ a"));
    }
    deployment.run_for(1200ms);
    std::size_t served = 0;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        served += clients[index]->outcome(ids[index]) == statement_outcome::done ? 1U : 0U;
    }
    CHECK(served == ids.size());
    CHECK(!deployment.at(owner).has_hosted_statements());
}

namespace {

/// The owner has started again while a client rests in a transaction there. Another client of the same daemon
/// has a transaction in the new process, under the handle that the first one had in the old process.
struct restarted_owner_fixture : public owner_fixture {
    std::unique_ptr<simulated_client> later = deployment.connect(asker, "own");

    restarted_owner_fixture() {
        open_transaction();
        deployment.kill(owner);
        deployment.start(owner);
        deployment.run_for(1500ms);
        REQUIRE(run_later("BEGIN") == statement_outcome::done);
        REQUIRE(run_later("WRITE b 1") == statement_outcome::done);
        REQUIRE(deployment.at(owner).has_hosted_statements());
    }
    statement_outcome run_later(const std::string& text) {
        const std::string id = later->send(text);
        deployment.run_for(300ms);
        return later->outcome(id);
    }
};

} // namespace

// Guards against PINNED of review/12: after a restart of the owner, statements of a client run in the
// transaction of another one, and its COMMIT commits what that one has written.
TEST_CASE_FIXTURE(restarted_owner_fixture, "statement_owner_restarted_transaction_of_before_is_aborted") {
    SUBCASE("the client goes on writing") {
        CHECK(run("WRITE a 2") == statement_outcome::aborted);
    }
    SUBCASE("the client commits") {
        CHECK(run("COMMIT") == statement_outcome::aborted);
    }
    CHECK(run_later("READ b") == statement_outcome::done);
    CHECK(run_later("COMMIT") == statement_outcome::done);
}

// Guards against the end of a transaction of before that rolls back another client's transaction.
TEST_CASE_FIXTURE(restarted_owner_fixture,
                  "statement_owner_restarted_end_of_transaction_of_before_ends_no_other") {
    SUBCASE("the client rolls back") {
        CHECK(run("ROLLBACK") == statement_outcome::done);
    }
    SUBCASE("the client leaves") {
        client->leave();
    }
    deployment.run_for(100ms);
    CHECK(run_later("COMMIT") == statement_outcome::done);
}

// Guards against an end that a daemon sends after its own restart, or that names a process which has ended.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_end_of_other_process_is_ignored") {
    open_transaction();
    std::string hand_on_request::*changed = &hand_on_request::incarnation;
    SUBCASE("of the owner") {
        changed = &hand_on_request::owner_incarnation;
    }
    SUBCASE("of the sender") {}
    deployment.on_hand_on_message = [this, changed](std::size_t, std::size_t, std::string& message) {
        error ignored;
        std::optional<hand_on_request> request =
            hand_on_request::decode(message, deployment.clock.now(), ignored);
        if (request && request->kind == hand_on_kind::end) {
            (*request).*changed += "-before";
            message = request->encode(deployment.clock.now());
        }
        return true;
    };
    client->leave();
    deployment.run_for(100ms);
    CHECK(deployment.at(owner).has_hosted_statements());
}

// Guards against an answer of another process than the transaction's that passes for a success.
TEST_CASE_FIXTURE(owner_fixture, "statement_owner_answer_of_other_process_write_is_aborted") {
    open_transaction();
    deployment.on_hand_on_answer = [](std::string& message) {
        error ignored;
        std::optional<hand_on_answer> answer = hand_on_answer::decode(message, ignored);
        if (answer) {
            answer->incarnation += "-before";
            message = answer->encode();
        }
    };
    CHECK(run("WRITE a 2") == statement_outcome::aborted);
}
