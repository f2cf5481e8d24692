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
TEST_CASE_FIXTURE(small_links_fixture, "large_state_configuration_that_grows_reaches_all_within_the_limit") {
    fleet.configure_routes(3, many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(3) == names{});
    CHECK(fleet.failed_requests() == 0);
    CHECK(fleet.watchers() == 2);
}

// Guards against changes of one route that are held up by the size of all others.
TEST_CASE_FIXTURE(grown_configuration_fixture, "large_state_burst_of_changes_reaches_all_within_the_limit") {
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

// Guards against a zone of many hosts whose sources can't send the configuration to all in time.
TEST_CASE("large_state_configuration_that_grows_reaches_a_hundred_daemons_within_the_limit") {
    simulated_fleet fleet(1, 100);
    fleet.link_bytes_per_s = small_link;
    fleet.configure_routes(2, 70);
    fleet.run_for(apply_limit);
    REQUIRE(fleet.behind(2) == names{});
    const std::uint64_t failed_before = fleet.failed_requests();
    fleet.configure_routes(3, many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(3) == names{});
    CHECK(fleet.failed_requests() == failed_before);
    CHECK(fleet.watchers() == 2);
}

// Guards against a configuration that the store takes and the links of a zone can't carry in time.
TEST_CASE("large_state_largest_object_of_the_store_reaches_a_hundred_daemons_within_the_limit") {
    constexpr std::size_t largest_object_bytes = 1U << 20U;
    simulated_fleet fleet(1, 100);
    fleet.link_bytes_per_s = small_link;
    fleet.configure_routes(2, 5000);
    const std::size_t bytes =
        fleet.store.find(store_collection::configuration, "main")->content.dump().size();
    REQUIRE(bytes > largest_object_bytes * 9 / 10);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(2) == names{});
    CHECK(fleet.watchers() == 2);
}

// Guards against a change of one route that costs each link as much as the whole configuration: the changes
// of a burst, three a second, must leave most of the links of the sources to statements.
TEST_CASE_FIXTURE(grown_configuration_fixture, "large_state_change_of_one_route_costs_little_of_the_links") {
    fleet.configure_routes(4, many_routes);
    fleet.run_for(2s);
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto& [name, bytes] : fleet.bytes_sent) {
        before += bytes;
    }
    fleet.configure_routes(5, many_routes);
    fleet.run_for(330ms);
    for (const auto& [name, bytes] : fleet.bytes_sent) {
        after += bytes;
    }
    CHECK(fleet.behind(5) == names{});
    const double share = static_cast<double>(after - before) / (2 * small_link * 0.33);
    CHECK(share < 0.1);
}

// Guards against a second growth that is held up by the first one.
TEST_CASE_FIXTURE(small_links_fixture, "large_state_two_growths_within_three_seconds_reach_all") {
    fleet.configure_routes(3, many_routes);
    fleet.run_for(2s);
    fleet.configure_routes(4, 2 * many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(4) == names{});
    CHECK(fleet.regressions == names{});
}

// Guards against receivers that are left without a source when theirs ends, freezes, is cut off or stops by
// plan in the middle of a transfer.
TEST_CASE("large_state_source_lost_in_the_middle_of_a_transfer_leaves_nobody_behind") {
    const std::vector<std::function<void(simulated_fleet&, const std::string&)>> losses{
        [](simulated_fleet& fleet, const std::string& name) { fleet.kill(name); },
        [](simulated_fleet& fleet, const std::string& name) { fleet.freeze(name); },
        [](simulated_fleet& fleet, const std::string& name) { fleet.cut_hosts.insert(name); },
        [](simulated_fleet& fleet, const std::string& name) { fleet.stop(name); }};
    for (std::size_t loss = 0; loss < losses.size(); ++loss) {
        for (const duration after : {30ms, 80ms, 150ms, 250ms}) {
            CAPTURE(loss);
            CAPTURE(after.count());
            small_links_fixture fixture;
            simulated_fleet& fleet = fixture.fleet;
            fleet.configure_routes(3, many_routes);
            fleet.run_for(after);
            losses[loss](fleet, fixture.order[0]);
            fleet.run_for(apply_limit - after);
            names late = fleet.behind(3);
            std::erase(late, fixture.order[0]);
            CHECK(late == names{});
            CHECK(fleet.regressions == names{});
        }
    }
}

// Guards against receivers that are suspended in their turn and hold up the others, or never go on
// themselves.
TEST_CASE_FIXTURE(small_links_fixture, "large_state_receivers_suspended_in_their_turn_delay_nobody") {
    fleet.configure_routes(3, many_routes);
    fleet.run_for(60ms);
    for (std::size_t index = 2; index < order.size(); index += 2) {
        fleet.freeze(order[index]);
    }
    fleet.run_for(apply_limit - 60ms);
    CHECK(fleet.behind(3) == names{});
    fleet.configure_routes(4, many_routes);
    fleet.run_for(10s);
    for (const std::string& name : order) {
        fleet.wake(name);
    }
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(4) == names{});
    CHECK(fleet.regressions == names{});
}

// Guards against a stampede when all daemons start with a large configuration, and against one that is late.
TEST_CASE_FIXTURE(grown_configuration_fixture, "large_state_restart_of_all_has_it_within_the_limit") {
    const std::uint64_t calls_before = fleet.store.calls;
    for (const std::string& name : order) {
        fleet.kill(name);
    }
    fleet.run_for(1s);
    for (const std::string& name : order) {
        fleet.start(name);
    }
    fleet.run_for(1s);
    fleet.configure_routes(4, many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(4) == names{});
    CHECK(fleet.watchers() == 2);
    // Each daemon reads and writes a few objects; two of them also watch the collections.
    constexpr std::size_t calls_of_daemon = 6;
    constexpr std::size_t calls_of_watchers = 48;
    CHECK(fleet.store.calls - calls_before <= daemons_of_zone * calls_of_daemon + calls_of_watchers);
}

// Guards against parts of two eras that are put together, and against one configuration of each.
TEST_CASE("large_state_store_restored_in_the_middle_of_a_transfer_gives_the_restored_one") {
    for (const duration after : {30ms, 80ms, 150ms, 250ms}) {
        CAPTURE(after.count());
        small_links_fixture fixture;
        simulated_fleet& fleet = fixture.fleet;
        const std::shared_ptr<const simulated_store::copy> copy = fleet.store.take_copy();
        fleet.configure_routes(3, many_routes);
        fleet.run_for(after);
        fleet.store.restore(*copy);
        fleet.configure_routes(4, many_routes + 100);
        fleet.run_for(apply_limit);
        CHECK(fleet.behind(4) == names{});
        const std::string expected =
            fleet.store.find(store_collection::configuration, "main")->content.dump();
        for (const std::string& name : fleet.names()) {
            REQUIRE(fleet.configuration_of(name).dump() == expected);
        }
    }
}

// Guards against a source whose parts are not valid: what is in effect stays, and others deliver.
TEST_CASE_FIXTURE(grown_configuration_fixture,
                  "large_state_source_with_malformed_parts_leaves_nobody_behind") {
    const std::vector<std::function<void(std::string&)>> corruptions{
        [](std::string& part) { part.clear(); }, [](std::string& part) { part.back() ^= 1; },
        [](std::string& part) { part.resize(part.size() / 2); },
        [](std::string& part) { part[part.size() / 2] ^= 0x40; }};
    std::uint64_t version = 3;
    for (const std::function<void(std::string&)>& corruption : corruptions) {
        fleet.corrupt_parts[order[0]] = corruption;
        fleet.configure_routes(++version, many_routes);
        fleet.run_for(apply_limit);
        CHECK(fleet.behind(version) == names{});
        CHECK(fleet.regressions == names{});
    }
}

// Guards against daemons of the former version, which know no references, that get no configuration from
// others, or none from them, in a rolling upgrade.
TEST_CASE("large_state_daemons_of_both_versions_follow_each_other") {
    simulated_fleet fleet(1, 8);
    const names order = fleet.order("z0");
    for (const std::size_t former : {1U, 4U, 6U}) {
        fleet.kill(order[former]);
        fleet.without_references.insert(order[former]);
        fleet.start(order[former]);
    }
    fleet.run_for(apply_limit);
    fleet.configure_routes(2, many_routes);
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(2) == names{});
    CHECK(fleet.watchers() == 2);
    CHECK(fleet.regressions == names{});
}

// Guards against a zone that was cut from the store and takes long to catch up with a configuration that has
// grown meanwhile.
TEST_CASE_FIXTURE(small_links_fixture, "large_state_zone_that_was_cut_off_catches_up") {
    fleet.store.cut_hosts.insert(order.begin(), order.end());
    fleet.run_for(8s);
    fleet.configure_routes(3, many_routes);
    fleet.run_for(2s);
    fleet.configure_routes(4, many_routes);
    fleet.run_for(2s);
    fleet.store.cut_hosts.clear();
    // The bound holds for hosts that have been in touch with the store for as long as a silence may last.
    fleet.run_for(4s + apply_limit);
    CHECK(fleet.behind(4) == names{});
    CHECK(fleet.regressions == names{});
}

// Guards against daemons that start while the configuration is large and the store is down.
TEST_CASE_FIXTURE(grown_configuration_fixture,
                  "large_state_daemons_restarted_with_store_down_take_it_from_others") {
    fleet.store.is_down = true;
    fleet.run_for(1s);
    for (std::size_t index = order.size() / 2; index < order.size(); ++index) {
        fleet.kill(order[index]);
        fleet.start(order[index]);
    }
    fleet.run_for(apply_limit);
    CHECK(fleet.behind(3) == names{});
}
