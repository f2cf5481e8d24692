#include "gentianhill/consistency/position_tracker.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct tracker_fixture {
    position_tracker tracker{{"a", "b", "c"}, {}};

    static time_point at(int milliseconds) { return time_point{} + std::chrono::milliseconds{milliseconds}; }

    static instance_report report(const std::string& instance, term_number accepted, log_position last,
                                  int sent_ms = 0) {
        instance_report result;
        result.instance = instance;
        result.accepted_term = accepted;
        result.last_entry = last;
        result.term_start = 1;
        result.requested_at = at(sent_ms);
        result.received_at = at(sent_ms + 1);
        return result;
    }
    bool apply(const std::string& instance, term_number accepted, log_position last, int sent_ms = 0) {
        return tracker.apply(report(instance, accepted, last, sent_ms));
    }
};

} // namespace

// Guards against confirming an entry that only the primary holds.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_minority_report_confirms_nothing") {
    apply("a", 1, {1, 9});
    CHECK(tracker.confirmed() == log_position{});
    apply("b", 1, {1, 7});
    CHECK(tracker.confirmed() == log_position{1, 7});
    CHECK(tracker.is_confirmed({1, 7}));
    CHECK_FALSE(tracker.is_confirmed({1, 8}));
}

// Guards against counting reports of different terms together: b accepted term 2 and may hold another entry
// at 9.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_reports_of_two_terms_confirm_nothing") {
    apply("a", 1, {1, 9});
    apply("b", 2, {2, 9});
    CHECK(tracker.confirmed() == log_position{});
}

// Guards against counting entries of an older term that an instance holds at a newer accepted term, which a
// later primary may still replace.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_log_of_older_term_confirms_nothing") {
    apply("a", 2, {1, 9});
    apply("b", 2, {1, 9});
    CHECK(tracker.confirmed() == log_position{});
}

// Guards against counting an instance that lost its entries, also when its earlier answers arrive late.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_uninitialised_instance_is_not_counted") {
    instance_report lost = report("b", 1, {1, 9}, 10);
    lost.initialised = false;
    tracker.apply(lost);
    apply("a", 1, {1, 9}, 10);
    CHECK(tracker.confirmed() == log_position{});
    CHECK_FALSE(apply("b", 1, {1, 9}, 9));
    CHECK(tracker.confirmed() == log_position{});
    CHECK(apply("b", 1, {1, 9}, 12));
    CHECK(tracker.confirmed() == log_position{1, 9});
}

// Guards against ignoring an instance forever after it was admitted again at a lower term than before.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_new_state_may_report_lower_term") {
    instance_report before = report("b", 5, {1, 9});
    before.state_id = "first";
    tracker.apply(before);
    instance_report after = report("b", 4, {4, 3}, 10);
    after.state_id = "second";
    CHECK(tracker.apply(after));
    CHECK_FALSE(tracker.apply(before));
    CHECK(tracker.current_term() == 4);
}

// Guards against positions that decrease when answers arrive out of order.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_late_answer_does_not_lower_position") {
    apply("a", 2, {2, 9}, 10);
    apply("a", 2, {2, 7}, 11);
    CHECK(tracker.report_of("a")->last_entry == log_position{2, 9});
    CHECK_FALSE(apply("a", 1, {1, 20}, 20));
    CHECK(tracker.current_term() == 2);
}

// Guards against routing writes to a superseded primary, and against losing the primary when only a minority
// is fenced.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_primary_lasts_until_majority_has_higher_term") {
    instance_report primary = report("a", 1, {1, 9});
    primary.is_primary = true;
    tracker.apply(primary);
    CHECK(tracker.primary() == "a");
    apply("b", 2, {1, 9});
    CHECK(tracker.primary() == "a");
    CHECK(tracker.primary_term() == 1);
    CHECK(tracker.current_term() == 2);
    apply("c", 2, {1, 9});
    CHECK_FALSE(tracker.primary().has_value());
    instance_report follower = report("b", 2, {2, 10}, 5);
    follower.primary = "c";
    tracker.apply(follower);
    CHECK(tracker.primary() == "c");
    CHECK(tracker.primary_term() == 2);
}

// Guards against reporting an entry as lost that a later primary still has, and against missing a lost entry.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_entry_above_confirmed_newer_start_is_lost") {
    instance_report newer = report("b", 2, {2, 8});
    newer.term_start = 8;
    tracker.apply(newer);
    CHECK_FALSE(tracker.is_lost({1, 9}));
    newer.instance = "c";
    tracker.apply(newer);
    CHECK(tracker.is_lost({1, 9}));
    CHECK(tracker.is_lost({1, 8}));
    CHECK_FALSE(tracker.is_lost({1, 7}));
}

// Guards against accepting new writes while earlier ones are not confirmed by a majority.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_stalled_write_is_not_confirming_until_progress") {
    apply("a", 1, {1, 5});
    tracker.on_write_executed({1, 5}, at(0));
    CHECK(tracker.is_confirming(at(1000)));
    CHECK_FALSE(tracker.is_confirming(at(1001)));
    apply("b", 1, {1, 4}, 1100);
    CHECK(tracker.is_confirming(at(2000)));
    CHECK_FALSE(tracker.is_confirming(at(2200)));
    apply("b", 1, {1, 5}, 2300);
    CHECK(tracker.is_confirming(at(9000)));
}

// Guards against a majority time that advances with a newer answer of a single instance.
TEST_CASE_FIXTURE(tracker_fixture, "position_tracker_majority_seen_at_is_second_newest_request") {
    apply("a", 1, {1, 5}, 40);
    CHECK_FALSE(tracker.majority_seen_at(1).has_value());
    apply("b", 1, {1, 5}, 10);
    apply("c", 1, {1, 5}, 20);
    CHECK(tracker.majority_seen_at(1) == at(20));
    CHECK(tracker.reachable(at(1012)).size() == 2);
}
