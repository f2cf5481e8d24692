#include "gentianhill/teams/key_lease.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct lease_fixture {
    key_lease lease{5s};
    time_point start{100s};
};

} // namespace

TEST_CASE_FIXTURE(lease_fixture, "key_lease_without_a_confirmed_configuration_covers_nothing") {
    CHECK_FALSE(lease.covers(start));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key_lease_covers_statements_received_up_to_its_limit_after_the_confirmed_moment") {
    lease.confirm(start);
    CHECK(lease.covers(start + 5s));
    CHECK_FALSE(lease.covers(start + 5s + 1us));
    // A statement that was received earlier stays covered while it waits.
    CHECK(lease.covers(start - 1s));
}

TEST_CASE_FIXTURE(lease_fixture, "key_lease_keeps_the_newest_moment_when_answers_arrive_out_of_order") {
    lease.confirm(start + 2s);
    lease.confirm(start);
    CHECK(lease.confirmed_at() == start + 2s);
    CHECK(lease.covers(start + 7s));
}

TEST_CASE_FIXTURE(lease_fixture, "key_lease_without_a_limit_covers_everything") {
    const key_lease unlimited{0s};
    CHECK_FALSE(unlimited.is_limited());
    CHECK(unlimited.covers(start));
}
