#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/routing/route_table.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct catalog_fixture {
    instance_catalog catalog;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    time_point start{10s};

    catalog_fixture() {
        catalog.on_change = [this](const listed_instance& listed) { changed.push_back(listed.id); };
        catalog.on_remove = [this](const listed_instance& listed) { removed.push_back(listed.id); };
    }

    static listed_instance make_instance(const std::string& id) {
        listed_instance listed;
        listed.id = id;
        listed.group = "orders";
        return listed;
    }
};

} // namespace

// Guards against removing live instances whose entries expired while the store was unreachable.
TEST_CASE_FIXTURE(catalog_fixture, "instance_catalog_entry_back_within_the_grace_period_is_kept") {
    catalog.apply_list({make_instance("a"), make_instance("b")}, start);
    catalog.apply_list({make_instance("a")}, start + 1s);
    CHECK(catalog.has_missing());
    catalog.expire(start + 2s);
    catalog.upsert(make_instance("b"));
    catalog.expire(start + 10s);
    CHECK(removed.empty());
    CHECK(changed == std::vector<std::string>{"a", "b"});
}

// Guards against using an instance forever after it has left.
TEST_CASE_FIXTURE(catalog_fixture, "instance_catalog_entry_missing_for_the_grace_period_is_removed") {
    catalog.apply_list({make_instance("a")}, start);
    catalog.mark_missing("a", start);
    catalog.expire(start + instance_catalog::grace_period - 1ms);
    CHECK(removed.empty());
    catalog.expire(start + instance_catalog::grace_period);
    CHECK(removed == std::vector<std::string>{"a"});
}

// Guards against reverting to an old configuration that arrives late.
TEST_CASE("route_table_lower_or_equal_version_changes_nothing") {
    route_table table;
    proxy_configuration newer;
    newer.version = 7;
    newer.routes["orders"] = std::make_shared<route>();
    CHECK(table.apply(newer));
    proxy_configuration older;
    older.version = 6;
    CHECK(!table.apply(older));
    older.version = 7;
    CHECK(!table.apply(older));
    CHECK(table.find("orders") != nullptr);
    CHECK(table.find("nothing") == nullptr);
}
