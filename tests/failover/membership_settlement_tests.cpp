#include "gentianhill/failover/membership_settlement.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr term_number term = 3;
constexpr log_position stated{term, 20};

/// Members that have not been settled since `departed_at`.
struct membership_settlement_fixture {
    time_point departed_at{100s};
    time_point asked_at = departed_at + 1s;
    time_point lost_at = departed_at + 2s;
    membership_settlement settlement;

    membership_settlement_fixture() { settlement.unsettle(departed_at); }

    void settle_by_replica() {
        settlement.on_primary_position(stated, asked_at);
        REQUIRE(settlement.on_replica_position(stated, false));
    }
};

} // namespace

// Guards against a group that stays unsettled for ever once its primary has left.
TEST_CASE_FIXTURE(membership_settlement_fixture,
                  "membership_settlement_lost_primary_is_settled_by_its_term") {
    settle_by_replica();
    settlement.unsettle_without_primary(term, lost_at);
    CHECK(!settlement.is_settled());
    CHECK(settlement.needs_promoted_term(term));
    CHECK(settlement.on_no_newer_term(term, lost_at + 1ms));
    CHECK(settlement.is_settled_without_primary());
    CHECK(settlement.settled_position() == stated);
}

// Guards against a promotion record that was read before the departure, or that is about another term.
TEST_CASE_FIXTURE(membership_settlement_fixture,
                  "membership_settlement_lost_primary_earlier_record_is_ignored") {
    settle_by_replica();
    settlement.unsettle_without_primary(term, lost_at);
    CHECK(!settlement.on_no_newer_term(term, lost_at - 1ms));
    CHECK(!settlement.on_no_newer_term(term + 1, lost_at + 1ms));
    CHECK(!settlement.is_settled());
}

// Guards against a commit that was received by the first of two departed members only.
TEST_CASE_FIXTURE(membership_settlement_fixture,
                  "membership_settlement_replica_left_after_primary_stays_unsettled") {
    settle_by_replica();
    settlement.unsettle_without_primary(term, lost_at);
    SUBCASE("before the record was read") {}
    SUBCASE("after the record was read") {
        REQUIRE(settlement.on_no_newer_term(term, lost_at + 1ms));
    }
    settlement.unsettle(lost_at + 2ms);
    CHECK(!settlement.needs_promoted_term(term));
    CHECK(!settlement.on_no_newer_term(term, lost_at + 3ms));
}

// Guards against a settlement that rests on the log of the primary itself, which goes with it.
TEST_CASE_FIXTURE(membership_settlement_fixture,
                  "membership_settlement_held_by_lost_primary_only_stays_unsettled") {
    SUBCASE("it has settled the group after it had stepped down") {
        REQUIRE(settlement.on_former_primary(stated, asked_at, true));
    }
    SUBCASE("it has reached its own position") {
        settlement.on_primary_position(stated, asked_at);
        REQUIRE(settlement.on_replica_position(stated, true));
    }
    SUBCASE("another daemon has settled the group") {
        settlement.settle();
    }
    settlement.unsettle_without_primary(term, lost_at);
    CHECK(!settlement.needs_promoted_term(term));
    CHECK(!settlement.on_no_newer_term(term, lost_at + 1ms));
}

// Guards against the second loss of the same primary, whose entry shows a restart before it is removed.
TEST_CASE_FIXTURE(membership_settlement_fixture,
                  "membership_settlement_primary_restarted_and_removed_is_settled") {
    settle_by_replica();
    settlement.unsettle_without_primary(term, lost_at);
    SUBCASE("the record was not read in between") {}
    SUBCASE("the record was read in between") {
        REQUIRE(settlement.on_no_newer_term(term, lost_at + 1ms));
    }
    settlement.unsettle_without_primary(term, lost_at + 2ms);
    CHECK(settlement.on_no_newer_term(term, lost_at + 3ms));
}
