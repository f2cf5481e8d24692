#include "simulated_fleet.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Time within which a configuration must be in effect, on the deployments with such links.
constexpr duration apply_limit = 5s;
/// Link of the smallest hosts, 10 Mbit/s.
constexpr double small_link = 1.25e6;
constexpr std::size_t daemons_of_zone = 27;
constexpr std::size_t many_routes = 1470;

using names = std::vector<std::string>;

/// A zone of small hosts whose configuration has few routes.
struct small_links_fixture {
    simulated_fleet fleet{1, daemons_of_zone};
    std::vector<std::string> order = fleet.order("z0");

    small_links_fixture() {
        REQUIRE(fleet.failed_requests() == 0);
        fleet.link_bytes_per_s = small_link;
        fleet.configure_routes(2, 70);
        fleet.run_for(apply_limit);
        REQUIRE(fleet.behind(2) == names{});
    }
};

/// The same zone with a configuration of many routes in effect.
struct grown_configuration_fixture : small_links_fixture {
    grown_configuration_fixture() {
        fleet.configure_routes(3, many_routes);
        fleet.run_for(30s);
        REQUIRE(fleet.behind(3) == names{});
    }
};

} // namespace

// Guards against a configuration that takes longer to spread than it may, because answers that are still
// arriving are given up and asked for again.
TEST_CASE_FIXTURE(small_links_fixture,
                  "large_state_configuration_that_grows_reaches_all_within_the_limit" * doctest::may_fail()) {
    fleet.configure_routes(3, many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(3) == names{});
    CHECK(fleet.failed_requests() == 0);
    CHECK(fleet.watchers() == 2);
}

// Guards against changes of one route that are held up by the size of all others.
TEST_CASE_FIXTURE(grown_configuration_fixture,
                  "large_state_burst_of_changes_reaches_all_within_the_limit" * doctest::may_fail()) {
    const std::uint64_t failed_before = fleet.failed_requests();
    std::uint64_t version = 3;
    for (int change = 0; change < 12; ++change) {
        fleet.configure_routes(++version, many_routes);
        fleet.run_for(330ms);
        // Each version that is older than the limit is in effect.
        CHECK(fleet.behind(version > 15 ? version - 15 : 0) == names{});
    }
    fleet.run_for(apply_limit - 330ms);
    CHECK(fleet.behind(version) == names{});
    CHECK(fleet.failed_requests() == failed_before);
    CHECK(fleet.watchers() == 2);
}
