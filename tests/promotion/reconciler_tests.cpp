#include "gentianhill/promotion/reconciler.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct reconciler_fixture {
    group_view view{{"wheeldb",
                     {{"a", {"127.0.0.1", 1}, "kyushu-a", 35, 5},
                      {"b", {"127.0.0.1", 2}, "kyushu-b", 35, 5},
                      {"c", {"127.0.0.1", 3}, "kyushu-c", 35, 5}}},
                    {},
                    {}};

    static time_point at(int milliseconds) { return time_point{} + std::chrono::milliseconds{milliseconds}; }

    void receive_report(const std::string& instance, term_number accepted, int sent_ms,
                        bool initialised = true) {
        instance_report report;
        report.instance = instance;
        report.accepted_term = accepted;
        report.is_primary = instance == "a";
        report.primary = initialised && accepted == 3 ? std::string{"a"} : std::string{};
        report.last_entry = {accepted, 4};
        report.initialised = initialised;
        report.requested_at = at(sent_ms);
        report.received_at = at(sent_ms + 2);
        view.apply(report);
    }
};

} // namespace

// Guards against an instance of an older term that is never requested to follow the primary.
TEST_CASE_FIXTURE(reconciler_fixture, "reconciler_older_instance_is_told_to_follow") {
    CHECK(reconcile(view).follow_requests.empty());
    receive_report("a", 3, 0);
    receive_report("b", 2, 0);
    receive_report("c", 3, 0);
    const reconciliation result = reconcile(view);
    REQUIRE(result.follow_requests.size() == 1);
    CHECK(result.follow_requests[0].instance == "b");
    CHECK(result.follow_requests[0].term == 3);
    CHECK(result.follow_requests[0].primary_address.port == 1);
    CHECK_FALSE(result.follow_requests[0].admit);
}

// Guards against an instance that a failed attempt fenced and that stays unusable without being reported.
TEST_CASE_FIXTURE(reconciler_fixture, "reconciler_instance_above_the_primary_is_reported") {
    receive_report("a", 3, 0);
    receive_report("b", 5, 0);
    const reconciliation result = reconcile(view);
    CHECK(result.follow_requests.empty());
    CHECK(result.ahead_of_primary == std::vector<std::string>{"b"});
}

// Guards against admitting an instance based on reports from before its loss of state, or without a majority.
TEST_CASE_FIXTURE(reconciler_fixture, "reconciler_lost_state_is_admitted_by_newer_majority_only") {
    receive_report("a", 3, 10);
    receive_report("b", 3, 10);
    receive_report("c", 0, 20, false);
    CHECK(reconcile(view).waiting_for_admission == std::vector<std::string>{"c"});
    CHECK_FALSE(reconcile(view).follow_requests.at(0).admit);
    receive_report("a", 3, 22);
    CHECK_FALSE(reconcile(view).follow_requests.at(0).admit);
    receive_report("b", 3, 21);
    CHECK_FALSE(reconcile(view).follow_requests.at(0).admit);
    receive_report("b", 3, 22);
    CHECK(reconcile(view).follow_requests.at(0).admit);
    CHECK(reconcile(view).waiting_for_admission.empty());
}

// Guards against admitting an instance under a term that may already be superseded.
TEST_CASE_FIXTURE(reconciler_fixture, "reconciler_higher_term_seen_blocks_admission") {
    receive_report("a", 3, 30);
    receive_report("c", 0, 20, false);
    receive_report("b", 4, 30);
    CHECK_FALSE(reconcile(view).follow_requests.at(0).admit);
}
