#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr duration write_pause = 5ms;
constexpr duration failover_target = 13s;

/// A client of the first daemon writes all the while; the second daemon promotes.
struct promotion_members_fixture {
    simulated_deployment deployment{2};
    std::unique_ptr<simulated_client> client = deployment.connect(0, "latest");
    std::size_t confirmed = 0;

    promotion_members_fixture() {
        client->on_done = [this](const std::string& id) {
            ++confirmed;
            deployment.service.confirm(id);
        };
        write_for(2s);
        REQUIRE(confirmed > 0);
    }

    void write_for(duration length) {
        const duration step = std::min(length, write_pause);
        for (duration passed{0}; passed < length; passed += step) {
            if (client->unanswered() == 0) {
                client->send("WRITE a 1");
            }
            deployment.run_for(step);
        }
    }

    std::size_t count_promotions_started(std::size_t daemon) const {
        return static_cast<std::size_t>(std::count_if(
            deployment.log_lines.begin(), deployment.log_lines.end(), [daemon](const std::string& line) {
                return line.rfind(simulated_deployment::host_name(daemon), 0) == 0 &&
                       line.find(" promotion_started ") != std::string::npos;
            }));
    }

    /// Cuts a daemon from the store and from the other daemon.
    void cut_from_store(std::size_t daemon, bool is_cut) {
        deployment.cut_from_proxies(daemon, is_cut);
        if (is_cut) {
            deployment.store.cut_hosts.insert(simulated_deployment::host_name(daemon));
        } else {
            deployment.store.cut_hosts.erase(simulated_deployment::host_name(daemon));
        }
    }
};

/// The second daemon is cut from the store while the first one replaces the primary by a newcomer, whose
/// entry then lapses.
struct unseen_release_fixture : public promotion_members_fixture {
    /// Sorts before the other ids, so that of equal logs its own is chosen.
    const std::string newcomer = "i-0";

    unseen_release_fixture() {
        cut_from_store(1, true);
        deployment.service.add(newcomer);
        deployment.list(newcomer, false);
        write_for(1s);
        deployment.list("i-1", true);
        for (int step = 0; step < 1000 && !deployment.service.is_primary(newcomer); ++step) {
            write_for(write_pause);
        }
        REQUIRE(deployment.service.leader() == newcomer);
        deployment.list("i-1", true);
        deployment.list(newcomer, false);
        write_for(4s);
    }
};

} // namespace

// Guards against LOST of review/11: commits that are confirmed through a replica which a promotion has left
// out as the old primary, because an old entry claims the lead.
TEST_CASE_FIXTURE(unseen_release_fixture, "promotion_members_former_primary_that_follows_loses_no_commit") {
    deployment.unlist(newcomer);
    // The claim is made in the first moment in which the store answers, before the watch has brought changes.
    const std::size_t started = count_promotions_started(1);
    for (int step = 0; step < 5000 && count_promotions_started(1) == started; ++step) {
        write_for(1ms);
    }
    REQUIRE(count_promotions_started(1) > started);
    cut_from_store(1, false);
    write_for(2s);
    CHECK(deployment.service.violations().empty());
}

namespace {

/// The first daemon is cut from the store and goes on believing i-3, whose entry lapses although it lives.
/// The second daemon, which has settled the group without it, does not reach the primary.
struct lapsed_replica_fixture : public promotion_members_fixture {
    /// Longer than entries that have lapsed are kept, and than the settlement of the group takes.
    static constexpr duration settlement_time = 3500ms;
    /// Longer than any daemon may believe an instance that has departed.
    static constexpr duration departure_time = 9s;

    void lapse() {
        cut_from_store(0, true);
        deployment.unlist("i-3");
    }
    /// The second daemon settles the group by the primary, which then ends.
    void check_primary_is_replaced_once_reached() {
        deployment.cut(1, "i-1", false);
        write_for(1s);
        deployment.service.set_up("i-1", false);
        write_for(failover_target);
        CHECK(deployment.service.promotions() == 1);
        CHECK(deployment.service.violations().empty());
    }
    void cut_second_daemon_from_primary() {
        write_for(settlement_time);
        deployment.cut(1, "i-1", true);
    }
};

} // namespace

// Guards against LOST of review/14: commits that are confirmed through a replica which a promotion has not
// fenced, because its entry has lapsed although it lives.
TEST_CASE_FIXTURE(lapsed_replica_fixture, "promotion_members_lapsed_replica_that_lives_loses_no_commit") {
    lapse();
    cut_second_daemon_from_primary();
    write_for(6s);
    CHECK(deployment.service.promotions() > 0);
    CHECK(deployment.service.violations().empty());
}

// The same while the promoting daemon does not reach the lapsed replica: it waits until no daemon believes
// it, and then for the primary, which may have acknowledged commits through it until then.
TEST_CASE_FIXTURE(lapsed_replica_fixture, "promotion_members_lapsed_replica_out_of_reach_is_waited_out") {
    lapse();
    deployment.cut(1, "i-3", true);
    cut_second_daemon_from_primary();
    write_for(3s + departure_time);
    CHECK(deployment.service.promotions() == 0);
    check_primary_is_replaced_once_reached();
}

// The same for a daemon that has started since, and knows of the lapsed replica by the record of members
// only.
TEST_CASE_FIXTURE(lapsed_replica_fixture, "promotion_members_daemon_that_started_after_the_lapse_waits") {
    lapse();
    write_for(2s);
    deployment.kill(1);
    write_for(1s);
    deployment.start(1);
    write_for(2s);
    deployment.cut(1, "i-1", true);
    write_for(3s + departure_time);
    CHECK(deployment.service.promotions() == 0);
    check_primary_is_replaced_once_reached();
}

// Guards against a failover that waits for a replica that has ended.
TEST_CASE_FIXTURE(promotion_members_fixture, "promotion_members_replica_that_has_ended_delays_no_promotion") {
    deployment.service.set_up("i-3", false);
    deployment.unlist("i-3");
    write_for(5s);
    deployment.service.set_up("i-1", false);
    write_for(5s);
    CHECK(deployment.service.promotions() == 1);
}

// Guards against a primary that is not replaced because it still leads, although its entry has lapsed.
TEST_CASE_FIXTURE(promotion_members_fixture, "promotion_members_lapsed_primary_that_leads_is_replaced") {
    deployment.unlist("i-1");
    write_for(9s);
    CHECK(deployment.service.promotions() == 1);
    CHECK(deployment.service.violations().empty());
}

// Guards against commits that a daemon with an old list confirms through a single replica, which may have
// departed.
TEST_CASE_FIXTURE(promotion_members_fixture, "promotion_members_old_list_one_replica_confirms_no_commit") {
    cut_from_store(0, true);
    write_for(9s);
    const std::size_t before = confirmed;
    write_for(1s);
    // Both replicas receive.
    CHECK(confirmed > before);
    deployment.service.set_cut("i-1", "i-2", true);
    write_for(100ms);
    const std::size_t confirmed_by_both = confirmed;
    write_for(2s);
    CHECK(confirmed == confirmed_by_both);
}

// Guards against a group that stays settled by a replica that was removed and has started again without its
// log.
TEST_CASE_FIXTURE(promotion_members_fixture,
                  "promotion_members_lapsed_replica_returns_without_log_loses_no_commit") {
    // i-3 alone receives from the primary.
    deployment.service.set_cut("i-1", "i-2", true);
    write_for(500ms);
    deployment.unlist("i-3");
    write_for(3s);
    deployment.restart_without_log("i-3");
    deployment.service.set_up("i-1", false);
    write_for(5s);
    CHECK(deployment.service.violations().empty());
}

// Guards against a primary that leaves by plan and serves too long, because a replica has left before and its
// host does not answer.
TEST_CASE_FIXTURE(promotion_members_fixture,
                  "promotion_members_primary_leaves_after_a_replica_is_replaced_at_once") {
    SUBCASE("the replica has left by plan") {
        deployment.list("i-3", true);
        write_for(1s);
    }
    SUBCASE("the replica is out of reach") {}
    for (std::size_t daemon : {0U, 1U}) {
        deployment.cut(daemon, "i-3", true);
    }
    deployment.service.set_cut("i-1", "i-3", true);
    deployment.unlist("i-3");
    write_for(3s);
    deployment.list("i-1", true);
    write_for(4s);
    CHECK(deployment.service.promotions() == 1);
    CHECK(deployment.service.violations().empty());
}

// Guards against a daemon that was suspended and believes, on its old list, a replica that has departed
// meanwhile.
TEST_CASE_FIXTURE(promotion_members_fixture,
                  "promotion_members_daemon_that_was_suspended_needs_all_replicas") {
    const std::string host = simulated_deployment::host_name(0);
    deployment.clock.freeze(host);
    deployment.run_for(9s);
    cut_from_store(0, true);
    deployment.service.set_cut("i-1", "i-2", true);
    deployment.clock.wake(host);
    // Answers of before arrive now.
    write_for(100ms);
    const std::size_t before = confirmed;
    write_for(3s);
    CHECK(confirmed == before);
    deployment.service.set_cut("i-1", "i-2", false);
    write_for(2s);
    CHECK(confirmed > before);
    CHECK(deployment.service.violations().empty());
}
