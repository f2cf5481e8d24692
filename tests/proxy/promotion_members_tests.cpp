#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr duration write_pause = 5ms;

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
