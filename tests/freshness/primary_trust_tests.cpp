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

    void add(term_number term, time_point received_at) {
        commits.add(term, received_at, [this](bool result) { confirmed = result; });
    }
};

} // namespace

// Guards against confirming a commit to a client although its primary may have been superseded.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_wait_until_trust_covers_the_acknowledgement") {
    add(3, time_point{10s});
    trust.confirm(time_point{10s} - 400ms);
    commits.resolve(3, trust);
    CHECK(!confirmed);
    trust.confirm(time_point{10s} - 399ms);
    commits.resolve(3, trust);
    CHECK(confirmed == true);
    CHECK(commits.empty());
}

// Guards against a client that waits indefinitely for a commit of a replaced primary, and against rejecting a
// commit of a newer primary.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_of_an_older_term_are_not_confirmed") {
    add(3, time_point{10s});
    commits.resolve(2, trust);
    CHECK(!confirmed);
    commits.resolve(4, trust);
    CHECK(confirmed == false);
    CHECK(commits.empty());
}
