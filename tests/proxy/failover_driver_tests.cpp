#include "gentianhill/proxy/failover_driver.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against two promotions of one daemon at the same time: they would share one claim of the duty, and
// the end of one would record its term for the group of the other.
TEST_CASE("failover_driver_that_asks_for_the_members_counts_as_running") {
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

// Guards against a commit without a position, from an instance that leads no longer, being judged by the
// trust in its successor.
TEST_CASE("database_group_commit_of_another_instance_without_a_position_is_not_confirmed") {
    time_point current{100s};
    logger log;
    log.sink = [](std::string_view) {};
    metrics registry;
    proxy_counters counters(registry);
    instance_network network;
    const std::function<time_point()> clock = [&current] { return current; };
    database_group group("orders", network, log, counters, database_group_settings{}, clock);
    group_limits rule;
    rule.sync_replicas = 1;
    group.set_rule(rule, 1);
    listed_instance listed;
    listed.id = "i-1";
    proxy_instance former(listed, network, log, instance_pool_settings{}, clock);
    std::optional<bool> stands;
    group.confirm_commit(former, statement_result{}, current, [&stands](bool result) { stands = result; });
    CHECK(stands == false);
}
