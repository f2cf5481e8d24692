#include "tests/quota/quota_fleet.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Limit of a team that usually asks `usual` operations a second.
team_rate limit_for(double usual) {
    return {1.6 * usual, 1.6 * usual};
}

/// The size of a deployment: 27 daemons in 3 zones, few large teams and many small ones.
struct load_fixture {
    load_fixture() {
        for (const std::map<std::string, double>::value_type& entry : usual) {
            fleet.limit(entry.first, limit_for(entry.second));
        }
        // Traffic starts some seconds after the daemons.
        fleet.run_for(10s);
    }

    void load_all() {
        for (const std::map<std::string, double>::value_type& entry : usual) {
            fleet.spread(fleet.names(), entry.first, entry.second);
        }
    }

    void check_windows() {
        for (const std::map<std::string, double>::value_type& entry : usual) {
            CAPTURE(entry.first);
            CHECK(fleet.most_in_window(entry.first) <= fleet.allowed(fleet.limits.at(entry.first)));
        }
    }

    quota_fleet fleet{3, 9};
    std::map<std::string, double> usual{{"large", 250}, {"middle", 40}, {"small", 12}, {"tiny", 1.4}};
};

} // namespace

TEST_CASE_FIXTURE(load_fixture, "quota_load_even_teams_below_their_limit_lose_at_most_one_percent") {
    load_all();
    fleet.run_for(3s);
    fleet.reset_counts();
    fleet.run_for(20s);
    for (const std::map<std::string, double>::value_type& entry : usual) {
        CAPTURE(entry.first);
        MESSAGE(entry.first, " refused ", fleet.refused_part(entry.first), " within 1 ms ",
                fleet.prompt_part(entry.first, 1ms));
        CHECK(fleet.refused_part(entry.first) <= 0.01);
    }
    MESSAGE("messages ", fleet.messages, " between zones ", fleet.zone_messages, " bytes ", fleet.zone_bytes,
            " store calls ", fleet.store.calls);
    check_windows();
}
