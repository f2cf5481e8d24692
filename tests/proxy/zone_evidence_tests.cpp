#include "gentianhill/core/rendezvous.h"
#include "simulated_deployment.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Three proxies of one zone. One of them collects the evidence about the group; `other` is not that one.
struct zone_fixture {
    simulated_deployment deployment{3, 1};
    std::string source_name =
        rendezvous_order("orders", {simulated_deployment::host_name(0), simulated_deployment::host_name(1),
                                    simulated_deployment::host_name(2)})
            .front();
    std::size_t source = static_cast<std::size_t>(source_name.back() - '0');
    std::size_t other = source == 0 ? 1 : 0;

    std::size_t evidence_requests() { return deployment.relayed[relay_request_kind::evidence]; }
    /// Runs reads of a database for a while; returns how many were served.
    int served_reads(std::size_t proxy, const std::string& database, int count) {
        std::unique_ptr<simulated_client> client = deployment.connect(proxy, database);
        int served = 0;
        for (int read = 0; read < count; ++read) {
            const std::string id = client->send("READ a");
            deployment.run_for(200ms);
            const statement_result* result = client->result(id);
            served += result != nullptr && result->outcome == statement_outcome::done ? 1 : 0;
        }
        return served;
    }
};

} // namespace

// Guards against status calls that grow with the daemons of a zone: one of them asks for all.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_reads_at_another_daemon_are_served_by_its_evidence") {
    CHECK(served_reads(other, "latest", 10) == 10);
    CHECK(served_reads(other, "bounded", 10) == 10);
    CHECK(evidence_requests() > 0);
}

// Guards against reads that fail because the daemon that collects the evidence is lost.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_source_killed_reads_are_served") {
    deployment.kill(source);
    CHECK(served_reads(other, "latest", 10) == 10);
    CHECK(served_reads(other, "own", 10) == 10);
}

// Guards against reads that wait for a suspended daemon, and against trust that it passes on when it wakes.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_source_frozen_reads_are_served") {
    CHECK(served_reads(other, "latest", 3) == 3);
    deployment.clock.freeze(source_name);
    CHECK(served_reads(other, "latest", 10) == 10);
    deployment.clock.wake(source_name);
    CHECK(served_reads(other, "latest", 10) == 10);
}

// Guards against reads that fail because the daemons of the zone are cut off from each other.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_daemons_cut_from_each_other_ask_the_instances") {
    deployment.cut_from_proxies(source, true);
    CHECK(served_reads(other, "latest", 10) == 10);
    CHECK(served_reads(source, "latest", 10) == 10);
}

// Guards against evidence from a daemon that cannot reach the instances itself.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_source_cut_from_instances_reads_are_served") {
    for (const std::string& id : deployment.service.ids()) {
        deployment.cut(source, id, true);
    }
    deployment.run_for(2s);
    CHECK(served_reads(other, "latest", 10) == 10);
}

// Guards against writes that are confirmed on the word of another daemon although the primary is replaced.
TEST_CASE_FIXTURE(zone_fixture, "zone_evidence_writes_across_a_failover_are_not_lost") {
    std::unique_ptr<simulated_client> client = deployment.connect(other, "own");
    deployment.service.set_up("i-1", false);
    for (int write = 0; write < 40; ++write) {
        client->send("WRITE a 1");
        deployment.run_for(100ms);
    }
    CHECK(deployment.service.promotions() == 1);
    CHECK(deployment.service.violations().empty());
    const std::string last = client->send("WRITE a 2");
    deployment.run_for(500ms);
    CHECK(client->outcome(last) == statement_outcome::done);
}
