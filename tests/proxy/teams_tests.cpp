#include "tests/proxy/simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr duration lease = 5s;
const std::string club_key = "k-club-4711";
const std::string rider_key = "k-rider-0815";

/// Four proxies in two zones with two teams. Proxies that are started again limit the use of keys.
class teams_fixture {
public:
    teams_fixture() {
        deployment.key_lease = lease;
        deployment.teams = {{"club", {club_key}}, {"riders", {rider_key}}};
        deployment.configure(2);
        for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
            deployment.kill(proxy);
            deployment.start(proxy);
        }
        deployment.run_for(6s);
    }

    /// Takes the key of the team "club" away.
    void take_club_key_away() {
        (*deployment.teams)["club"].clear();
        deployment.configure(++version);
    }

    /// Cuts a proxy from the store and from the other proxies.
    void isolate(std::size_t proxy) {
        deployment.store.cut_hosts.insert(simulated_deployment::host_name(proxy));
        deployment.cut_from_proxies(proxy, true);
    }

    [[nodiscard]] bool has_run(const std::string& id) const { return deployment.run_for_team.count(id) > 0; }

    [[nodiscard]] bool is_logged(const std::string& text) const {
        return std::any_of(deployment.log_lines.begin(), deployment.log_lines.end(),
                           [&text](const std::string& line) { return line.find(text) != std::string::npos; });
    }

    static constexpr std::size_t proxies = 4;
    std::uint64_t version = 2;
    simulated_deployment deployment{proxies};
};

} // namespace

TEST_CASE_FIXTURE(teams_fixture, "statement_of_a_caller_with_a_key_runs_for_its_team") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "own", club_key);
    const std::unique_ptr<simulated_client> rider = deployment.try_connect(0, "own", rider_key);
    REQUIRE(club != nullptr);
    REQUIRE(rider != nullptr);
    const std::string write = club->send("WRITE a 1");
    deployment.run_for(200ms);
    const std::string read = rider->send("READ a");
    deployment.run_for(200ms);
    CHECK(club->outcome(write) == statement_outcome::done);
    CHECK(rider->outcome(read) == statement_outcome::done);
    CHECK(deployment.run_for_team[write] == "club");
    CHECK(deployment.run_for_team[read] == "riders");
}

TEST_CASE_FIXTURE(teams_fixture, "caller_with_an_unknown_key_or_none_is_denied") {
    CHECK(deployment.try_connect(0, "own", "k-nobody") == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::denied);
    CHECK(deployment.try_connect(0, "own") == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::denied);
}

TEST_CASE_FIXTURE(teams_fixture, "public_route_serves_callers_without_a_key") {
    deployment.public_databases = {"bounded"};
    deployment.configure(++version);
    deployment.run_for(2s);
    const std::unique_ptr<simulated_client> anyone = deployment.try_connect(1, "bounded");
    REQUIRE(anyone != nullptr);
    const std::string read = anyone->send("READ a");
    deployment.run_for(200ms);
    CHECK(anyone->outcome(read) == statement_outcome::done);
    CHECK(deployment.run_for_team[read].empty());
}

TEST_CASE_FIXTURE(teams_fixture, "key_that_was_taken_away_runs_nothing_once_the_configuration_has_arrived") {
    const std::unique_ptr<simulated_client> idle = deployment.try_connect(0, "own", club_key);
    const std::unique_ptr<simulated_client> open = deployment.try_connect(1, "latest", club_key);
    open->send("BEGIN");
    const std::string written = open->send("WRITE a 1");
    deployment.run_for(200ms);
    REQUIRE(open->outcome(written) == statement_outcome::done);
    take_club_key_away();
    deployment.run_for(2s);
    const std::string read = idle->send("READ a");
    const std::string commit = open->send("COMMIT");
    deployment.run_for(500ms);
    CHECK(idle->outcome(read) == statement_outcome::denied);
    CHECK(open->outcome(commit) == statement_outcome::denied);
    CHECK_FALSE(has_run(read));
    CHECK_FALSE(has_run(commit));
    CHECK_FALSE(idle->session().may_stay());
}

TEST_CASE_FIXTURE(teams_fixture, "statement_that_waits_is_refused_when_its_key_goes") {
    // No instance can be reached, so the statement waits.
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        deployment.cut(0, id, true);
    }
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    deployment.configure(++version, true, 8000ms);
    deployment.run_for(2s);
    const std::string read = club->send("READ a");
    take_club_key_away();
    deployment.run_for(2s);
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        deployment.cut(0, id, false);
    }
    deployment.run_for(8s);
    CHECK(club->result(read) != nullptr);
    CHECK_FALSE(has_run(read));
}

TEST_CASE_FIXTURE(teams_fixture, "isolated_proxy_runs_nothing_for_keys_once_its_configuration_is_too_old") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    const std::unique_ptr<simulated_client> open = deployment.try_connect(0, "latest", club_key);
    deployment.run_for(1s);
    isolate(0);
    take_club_key_away();
    // Within the lease the key may still be used; the transaction must not outlive it.
    deployment.run_for(1s);
    open->send("BEGIN");
    const std::string written = open->send("WRITE b 2");
    deployment.run_for(300ms);
    CHECK(open->outcome(written) == statement_outcome::done);
    deployment.run_for(lease);
    const std::string read = club->send("READ a");
    const std::string commit = open->send("COMMIT");
    deployment.run_for(500ms);
    CHECK(club->outcome(read) == statement_outcome::busy);
    CHECK(open->outcome(commit) == statement_outcome::aborted);
    CHECK_FALSE(has_run(read));
    CHECK_FALSE(has_run(commit));
    // A doubtful key is not refused as if it were wrong.
    CHECK(deployment.try_connect(0, "latest", rider_key) == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::busy);
    CHECK(deployment.try_connect(0, "latest", "k-nobody") == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::busy);
    CHECK_FALSE(deployment.at(0).is_ready());
}

TEST_CASE_FIXTURE(teams_fixture, "proxy_whose_own_way_to_the_store_is_lost_goes_on_by_its_zone") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(2, "latest", club_key);
    deployment.store.cut_hosts.insert(simulated_deployment::host_name(2));
    deployment.run_for(3 * lease);
    const std::string read = club->send("READ a");
    deployment.run_for(300ms);
    CHECK(club->outcome(read) == statement_outcome::done);
    take_club_key_away();
    deployment.run_for(3s);
    const std::string late = club->send("READ a");
    deployment.run_for(300ms);
    CHECK_FALSE(has_run(late));
}

TEST_CASE_FIXTURE(teams_fixture, "suspended_proxy_runs_nothing_for_a_key_that_was_taken_away_meanwhile") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    deployment.run_for(1s);
    deployment.clock.freeze(simulated_deployment::host_name(0));
    take_club_key_away();
    deployment.run_for(lease + 1s);
    deployment.clock.wake(simulated_deployment::host_name(0));
    const std::string read = club->send("READ a");
    deployment.run_for(300ms);
    CHECK_FALSE(has_run(read));
}

TEST_CASE_FIXTURE(teams_fixture,
                  "proxy_that_starts_while_the_store_is_down_uses_keys_no_longer_than_the_lease") {
    deployment.store.is_down = true;
    deployment.has_seed = true;
    deployment.kill(0);
    deployment.start(0);
    deployment.run_for(2s);
    // It has the configuration from another proxy, with the age that this one states.
    const std::unique_ptr<simulated_client> early = deployment.try_connect(0, "latest", club_key);
    CHECK(early != nullptr);
    deployment.run_for(lease);
    CHECK(deployment.try_connect(0, "latest", club_key) == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::busy);
    deployment.store.is_down = false;
    deployment.run_for(4s);
    CHECK(deployment.try_connect(0, "latest", club_key) != nullptr);
}

TEST_CASE_FIXTURE(teams_fixture, "restored_store_does_not_bring_a_key_back") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    const std::shared_ptr<const simulated_store::copy> before = deployment.store.take_copy();
    take_club_key_away();
    deployment.run_for(2s);
    deployment.store.restore(*before);
    deployment.run_for(6s);
    const std::string read = club->send("READ a");
    deployment.run_for(300ms);
    CHECK_FALSE(has_run(read));
    CHECK(deployment.try_connect(0, "latest", club_key) == nullptr);
}

TEST_CASE_FIXTURE(teams_fixture, "configuration_without_teams_opens_no_route") {
    deployment.teams.reset();
    deployment.configure(++version);
    deployment.run_for(2s);
    CHECK(deployment.try_connect(0, "latest") == nullptr);
    CHECK(deployment.last_refusal == statement_outcome::denied);
}

TEST_CASE_FIXTURE(teams_fixture, "key_that_moves_to_another_team_runs_on_connections_of_that_team") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    const std::string before = club->send("WRITE a 1");
    deployment.run_for(300ms);
    deployment.teams = {{"club", {}}, {"riders", {club_key}}};
    deployment.configure(++version);
    deployment.run_for(2s);
    const std::string after = club->send("WRITE a 2");
    deployment.run_for(300ms);
    CHECK(deployment.run_for_team[before] == "club");
    CHECK(deployment.run_for_team[after] == "riders");
}

TEST_CASE_FIXTURE(teams_fixture, "key_appears_in_no_log_line") {
    const std::unique_ptr<simulated_client> club = deployment.try_connect(0, "latest", club_key);
    club->send("WRITE a 1");
    CHECK(deployment.try_connect(1, "latest", "k-nobody") == nullptr);
    deployment.run_for(1s);
    take_club_key_away();
    deployment.run_for(2s);
    club->send("READ a");
    deployment.run_for(1s);
    CHECK_FALSE(is_logged(club_key));
    CHECK_FALSE(is_logged(rider_key));
    CHECK_FALSE(is_logged("k-nobody"));
    CHECK(is_logged("session_refused"));
}
