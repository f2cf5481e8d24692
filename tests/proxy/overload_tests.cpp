#include "client_load.h"

#include <doctest/doctest.h>

#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t proxies = 3;
constexpr duration work = 20ms;
constexpr std::size_t slots = 4;
/// Statements per second that the three instances can run.
constexpr double capacity = 3 * 4 / 0.020;

/// Three proxies and three instances with few slots; writers of high priority beside readers of a lower one.
struct overload_fixture {
    simulated_deployment deployment{proxies};
    client_load readers{deployment, proxies, {"bounded", "READ a", 0.7 * capacity}};
    client_load writers{deployment, proxies, {"latest", "WRITE a 1", 30}};

    overload_fixture() {
        deployment.service.set_capacity(slots, work);
        run(2s);
        reset_counts();
    }

    void run(duration length) {
        constexpr duration step = 5ms;
        for (duration passed{0}; passed < length; passed += step) {
            writers.step();
            readers.step();
            deployment.clock.run_for(step);
        }
    }

    void reset_counts() {
        readers.reset_counts();
        writers.reset_counts();
    }
};

} // namespace

// Guards the load that the other cases rise from.
TEST_CASE_FIXTURE(overload_fixture, "overload_below_capacity_serves_all_in_time") {
    run(3s);
    CHECK(readers.share_in_time() > 0.99);
    CHECK(writers.share_in_time() > 0.99);
    CHECK(readers.refusals() == 0);
}

// Load: readers of low worth at 2.5 times beside few writers. Guards against writers that wait behind
// readers, readers that are held until their timeout, and slots that stay free because of refusals.
TEST_CASE_FIXTURE(overload_fixture, "overload_of_readers_serves_writers_and_fills_the_slots") {
    readers.set_rate(2.5 * 0.7 * capacity);
    run(1s);
    reset_counts();
    run(4s);
    CHECK(writers.share_in_time() > 0.97);
    CHECK(static_cast<double>(readers.done() + writers.done()) > 0.9 * 4 * capacity);
    CHECK(static_cast<double>(readers.in_time()) > 0.5 * 4 * capacity);
    CHECK(readers.refusals() > 0);
    CHECK(readers.longest_refusal() < 850ms);
}

// Load: the readers' burst ends. Guards against a backlog that keeps the following statements late.
TEST_CASE_FIXTURE(overload_fixture, "overload_after_burst_serves_all_in_time_within_a_second") {
    readers.set_rate(2.5 * 0.7 * capacity);
    run(4s);
    readers.set_rate(0.7 * capacity);
    run(1s);
    reset_counts();
    run(2s);
    CHECK(readers.share_in_time() > 0.97);
    CHECK(writers.share_in_time() > 0.97);
}

// Load: all daemons restarted at full load.
TEST_CASE_FIXTURE(overload_fixture, "overload_after_restart_of_all_proxies_serves_within_two_seconds") {
    readers.disconnect();
    writers.disconnect();
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
        deployment.kill(proxy);
    }
    deployment.run_for(500ms);
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
        deployment.start(proxy);
    }
    // Clients can connect once the proxies have read the configuration.
    deployment.run_for(300ms);
    readers.disconnect();
    writers.disconnect();
    run(2s);
    reset_counts();
    run(2s);
    CHECK(readers.share_done() > 0.9);
    CHECK(writers.share_done() > 0.9);
}

// Load: the busiest zone is cut off with an instance and its proxy, whose clients turn to the others.
TEST_CASE_FIXTURE(overload_fixture, "overload_by_loss_of_a_zone_serves_writers_and_what_has_room") {
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
        deployment.cut(proxy, "i-3", true);
    }
    run(1s);
    reset_counts();
    run(3s);
    CHECK(writers.share_in_time() > 0.95);
    CHECK(static_cast<double>(readers.done() + writers.done()) > 0.85 * 3 * capacity * 2 / 3);
}

// Load: a third of the daemons is without the store at full load.
TEST_CASE_FIXTURE(overload_fixture, "overload_with_a_third_without_store_serves_as_before") {
    deployment.store.cut_hosts.insert(simulated_deployment::host_name(0));
    run(1s);
    reset_counts();
    run(4s);
    CHECK(writers.share_done() > 0.97);
    CHECK(readers.share_done() > 0.97);
}

// Load: an instance fails the statements of this zone alone.
TEST_CASE_FIXTURE(overload_fixture, "overload_beside_failing_replica_reads_elsewhere") {
    deployment.service.set_failing("i-3", true);
    readers.set_rate(0.4 * capacity);
    std::size_t repeated = 0;
    run(1s);
    reset_counts();
    const std::size_t logged = deployment.log_lines.size();
    run(2s);
    for (std::size_t line = logged; line < deployment.log_lines.size(); ++line) {
        repeated += deployment.log_lines[line].find("attempt_failed") != std::string::npos ? 1 : 0;
    }
    CHECK(readers.share_in_time() > 0.97);
    // Three proxies probe it five times a second.
    CHECK(repeated <= 40);
}

// Load: clients rest inside transactions and hold every connection to the primary. Guards against writers
// that wait for the idle limit of 3 s.
TEST_CASE("overload_by_idle_transactions_ends_them_for_waiting_statements") {
    simulated_deployment deployment{proxies};
    std::vector<std::unique_ptr<simulated_client>> resting;
    for (int count = 0; count < 12; ++count) {
        resting.push_back(deployment.connect(0, "latest"));
        resting.back()->send("BEGIN");
        resting.back()->send("WRITE a 1");
    }
    deployment.run_for(300ms);
    std::unique_ptr<simulated_client> writer = deployment.connect(0, "latest");
    const std::string waiting = writer->send("WRITE b 1");
    // The port of the clients calls this regularly.
    for (duration passed{0}; passed < 700ms; passed += 25ms) {
        deployment.run_for(25ms);
        for (const std::unique_ptr<simulated_client>& client : resting) {
            client->session().tick();
        }
    }
    CHECK(writer->outcome(waiting) == statement_outcome::done);
    std::size_t aborted = 0;
    for (const std::unique_ptr<simulated_client>& client : resting) {
        const std::string next = client->send("WRITE a 2");
        deployment.run_for(25ms);
        const statement_result* result = client->result(next);
        aborted += result != nullptr && result->outcome == statement_outcome::aborted ? 1 : 0;
    }
    // No more are ended than statements waited.
    CHECK(aborted >= 1);
    CHECK(aborted <= 3);
    CHECK(deployment.service.violations().empty());
}

// Guards against ending transactions of which nobody wants the connection.
TEST_CASE("idle_transactions_while_connections_are_free_may_rest") {
    simulated_deployment deployment{proxies};
    std::unique_ptr<simulated_client> resting = deployment.connect(0, "latest");
    resting->send("BEGIN");
    resting->send("WRITE a 1");
    deployment.run_for(2500ms);
    const std::string commit = resting->send("COMMIT");
    deployment.run_for(300ms);
    CHECK(resting->outcome(commit) == statement_outcome::done);
}
