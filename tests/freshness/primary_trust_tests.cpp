#include "gentianhill/freshness/primary_trust.h"
#include "gentianhill/freshness/unconfirmed_commits.h"
#include "gentianhill/freshness/unfenced_replica_reports.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against one replica, which a promotion has just released from its fence, being taken for a witness.
TEST_CASE("primary_trust_one_answer_prolongs_it_only_while_it_lasts") {
    primary_trust trust(400ms);
    CHECK(!trust.extend(time_point{10s}, time_point{10s} + 2ms));
    CHECK(!trust.covers(time_point{10s}));
    trust.confirm(time_point{20s});
    CHECK(trust.extend(time_point{20s} + 390ms, time_point{20s} + 399ms));
    CHECK(trust.covers(time_point{20s} + 789ms));
    CHECK(!trust.extend(time_point{20s} + 780ms, time_point{20s} + 790ms));
    CHECK(!trust.covers(time_point{20s} + 790ms));
}

// Guards against trust that rests on some of the replicas, or on an old answer of one of them.
TEST_CASE("unfenced_replica_reports_all_have_reported_since_the_oldest_of_the_latest_answers") {
    unfenced_replica_reports witnesses;
    CHECK(!witnesses.all_reported_since({}));
    CHECK(!witnesses.latest());
    witnesses.add("a", time_point{1s});
    witnesses.add("a", time_point{5s});
    witnesses.add("a", time_point{3s});
    CHECK(!witnesses.all_reported_since({"a", "b"}));
    witnesses.add("b", time_point{4s});
    CHECK(witnesses.all_reported_since({"a", "b"}) == time_point{4s});
    CHECK(witnesses.latest() == time_point{5s});
    witnesses.remove("b");
    CHECK(!witnesses.all_reported_since({"a", "b"}));
    CHECK(witnesses.all_reported_since({"a"}) == time_point{5s});
}

namespace {

struct commits_fixture {
    unconfirmed_commits commits;
    primary_trust trust{400ms};
    std::optional<bool> stands;

    void add(term_number term, time_point received_at) {
        commits.add(term, received_at, [this](bool result) { stands = result; });
    }
};

} // namespace

// Guards against a commit that a client is told of although its primary may have been superseded.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_wait_until_trust_covers_the_acknowledgement") {
    add(3, time_point{10s});
    trust.confirm(time_point{10s} - 400ms);
    commits.resolve(3, trust);
    CHECK(!stands);
    trust.confirm(time_point{10s} - 399ms);
    commits.resolve(3, trust);
    CHECK(stands == true);
    CHECK(commits.empty());
}

// Guards against a client that waits for a commit of a primary that was replaced, and against one of a newer
// primary being given up.
TEST_CASE_FIXTURE(commits_fixture, "unconfirmed_commits_of_an_older_term_do_not_stand") {
    add(3, time_point{10s});
    commits.resolve(2, trust);
    CHECK(!stands);
    commits.resolve(4, trust);
    CHECK(stands == false);
    CHECK(commits.empty());
}
