#include "gentianhill/proxy/failover_driver.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against two concurrent promotions by one daemon: they would share one claim of the failover duty,
// and the end of one would record its term for the group of the other.
TEST_CASE("failover_driver_reading_recorded_members_is_running") {
    time_point current{100s};
    logger log;
    log.sink = [](std::string_view) {};
    metrics registry;
    proxy_counters counters(registry);
    instance_network network;
    metadata_store store;
    duty_lease lease(store, log, duty_lease_settings{}, "daemon", "1");
    database_group group("orders", network, log, counters, database_group_settings{},
                         [&current] { return current; });
    failover_port port;
    std::function<void(const std::optional<std::vector<std::string>>&)> answer;
    port.recorded_members = [&answer](const std::string&, const auto& done) { answer = done; };
    failover_driver driver(group, lease, port, log, failover_settings{}, 0);
    REQUIRE(!group.is_settled());
    current += 10s;
    driver.tick(true);
    REQUIRE(answer);
    CHECK(driver.is_running());
    answer(std::nullopt);
    CHECK(!driver.is_running());
}

// Guards against confirming a commit without a log position, acknowledged by a former primary, on the basis
// of the trust in its successor.
TEST_CASE("database_group_commit_without_position_from_former_primary_is_not_confirmed") {
    time_point current{100s};
    logger log;
    log.sink = [](std::string_view) {};
    metrics registry;
    proxy_counters counters(registry);
    instance_network network;
    const std::function<time_point()> clock = [&current] { return current; };
    database_group group("orders", network, log, counters, database_group_settings{}, clock);
    group_limits limits;
    limits.sync_replicas = 1;
    group.set_limits(limits, 1);
    listed_instance listed;
    listed.id = "i-1";
    proxy_instance former(listed, network, log, instance_pool_settings{}, clock);
    std::optional<bool> confirmed;
    group.confirm_commit(former, statement_result{}, current, 200ms,
                         [&confirmed](bool result) { confirmed = result; });
    CHECK(confirmed == false);
}
