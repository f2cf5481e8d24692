#include "gentianhill/freshness/primary_trust.h"
#include "gentianhill/freshness/unconfirmed_commits.h"
#include "gentianhill/freshness/unfenced_replica_reports.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// A promotion lifts its fences when it takes effect. Guards against taking the answer of one such replica as
// evidence for the old primary.
TEST_CASE("primary_trust_single_answer_extends_it_only_while_valid") {
    primary_trust trust(400ms);
    CHECK(!trust.extend(time_point{10s}, time_point{10s} + 2ms));
    CHECK(!trust.covers(time_point{10s}));
    trust.confirm(time_point{20s});
    CHECK(trust.extend(time_point{20s} + 390ms, time_point{20s} + 399ms));
    CHECK(trust.covers(time_point{20s} + 789ms));
    CHECK(!trust.extend(time_point{20s} + 780ms, time_point{20s} + 790ms));
    CHECK(!trust.covers(time_point{20s} + 790ms));
}

// Guards against trust based on only some of the replicas, or on an outdated answer of one of them.
TEST_CASE("unfenced_replica_reports_all_reported_since_is_the_oldest_latest_request") {
    unfenced_replica_reports reports;
    CHECK(!reports.all_reported_since({}));
    CHECK(!reports.latest());
    reports.add("a", time_point{1s});
    reports.add("a", time_point{5s});
    reports.add("a", time_point{3s});
    CHECK(!reports.all_reported_since({"a", "b"}));
    reports.add("b", time_point{4s});
    CHECK(reports.all_reported_since({"a", "b"}) == time_point{4s});
    CHECK(reports.latest() == time_point{5s});
    reports.remove("b");
    CHECK(!reports.all_reported_since({"a", "b"}));
    CHECK(reports.all_reported_since({"a"}) == time_point{5s});
}

namespace {

struct commits_fixture {
    unconfirmed_commits commits;
    primary_trust trust{400ms};
    std::optional<bool> confirmed;

    void add(log_position position, time_point acknowledged_at) {
        commits.add(position, acknowledged_at - 5ms, acknowledged_at, acknowledged_at + 20ms,
                    [this](bool result) { confirmed = result; });
    }
};

} // namespace

// Guards against confirming a commit to a client although its primary may have been superseded.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_wait_until_trust_covers_the_receipt") {
    add({3, 7}, time_point{10s});
    CHECK(commits.on_received({3, 7}, time_point{10s}) == time_point{10s} - 5ms);
    trust.confirm(time_point{10s} - 400ms);
    commits.resolve(3, trust);
    CHECK(!confirmed);
    trust.confirm(time_point{10s} - 399ms);
    commits.resolve(3, trust);
    CHECK(confirmed == true);
    CHECK(commits.empty());
}

// Guards against confirming a commit that only a replica holds that no promotion asks.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_wait_until_a_replica_has_received_them") {
    add({3, 7}, time_point{10s});
    trust.confirm(time_point{10s});
    commits.resolve(3, trust);
    CHECK(!confirmed);
    CHECK(commits.ask_at() == time_point{10s} + 20ms);
    CHECK(!commits.on_received({3, 6}, time_point{10s} + 1ms));
    CHECK(!commits.on_received({4, 9}, time_point{10s} + 1ms));
    commits.resolve(3, trust);
    CHECK(!confirmed);
    CHECK(commits.on_received({3, 8}, time_point{10s} + 2ms));
    CHECK(!commits.ask_at());
    commits.resolve(3, trust);
    CHECK(confirmed == true);
}

// Guards against a client that waits until its deadline for a commit that no replica can show.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_not_received_in_time_are_not_confirmed") {
    add({3, 7}, time_point{10s});
    commits.fail_not_received_before(time_point{10s});
    CHECK(!confirmed);
    commits.fail_not_received_before(time_point{10s} + 1ms);
    CHECK(confirmed == false);
    CHECK(commits.empty());
}

// Guards against a client that waits indefinitely for a commit of a replaced primary, and against rejecting a
// commit of a newer primary.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_of_an_older_term_are_not_confirmed") {
    add({3, 7}, time_point{10s});
    commits.resolve(2, trust);
    CHECK(!confirmed);
    commits.resolve(4, trust);
    CHECK(confirmed == false);
    CHECK(commits.empty());
}
