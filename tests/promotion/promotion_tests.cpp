#include "gentianhill/promotion/promotion.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gentianhill;

namespace {

struct promotion_fixture {
    group_configuration configuration{"orders-db",
                                      {{"a", {"127.0.0.1", 1}, "kingston-a", 30, 2},
                                       {"b", {"127.0.0.1", 2}, "kingston-b", 30, 2},
                                       {"c", {"127.0.0.1", 3}, "may-pen", 30, 2}}};
    std::size_t peers = 0;
    std::optional<term_number> claim = 7;
    std::vector<std::string> sent;
    std::optional<promotion_result> result;
    promotion attempt{configuration, {}, hooks()};

    static time_point at(int milliseconds) { return time_point{} + std::chrono::milliseconds{milliseconds}; }

    promotion_hooks hooks() {
        promotion_hooks value;
        value.ask_peers = [this] { return peers; };
        value.query_status = [this](const std::string& name) { sent.push_back("status " + name); };
        value.take_claim = [this](term_number above) {
            return claim && *claim > above ? claim : std::nullopt;
        };
        value.fence = [this](const std::string& name, term_number) { sent.push_back("fence " + name); };
        value.promote = [this](const std::string& name, term_number) { sent.push_back("promote " + name); };
        value.follow = [this](const std::string& name, term_number, const std::string& primary) {
            sent.push_back("follow " + name + " " + primary);
        };
        value.on_finished = [this](const promotion_result& ended) { result = ended; };
        return value;
    }
    static instance_report report(const std::string& name, term_number accepted, std::uint64_t position,
                                  int sent_ms) {
        instance_report value;
        value.instance = name;
        value.accepted_term = accepted;
        value.last_entry = {6, position};
        value.state_id = name;
        value.requested_at = at(sent_ms);
        return value;
    }
    void status(const std::string& name, term_number accepted, std::uint64_t position, int ms) {
        attempt.on_status_answer(name, report(name, accepted, position, ms), error{}, at(ms));
    }
    void fenced(const std::string& name, std::uint64_t position, int ms) {
        attempt.on_fence_answer(name, report(name, 7, position, ms), error{}, at(ms));
    }
    /// Brings the attempt to the fencing phase at 1 ms.
    void start_fencing() {
        attempt.start(6, 0, at(0));
        status("b", 6, 5, 1);
        status("c", 6, 9, 1);
        REQUIRE(attempt.phase() == promotion_phase::fencing);
        sent.clear();
    }
};

using strings = std::vector<std::string>;

} // namespace

// Guards against promoting an instance whose log lacks confirmed entries, and against a skipped step.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_fenced_majority_promotes_highest_log_and_finishes") {
    start_fencing();
    fenced("b", 5, 2);
    fenced("c", 9, 3);
    CHECK(sent == strings{"fence a", "status b", "status c"});
    status("b", 7, 5, 4);
    sent.clear();
    status("c", 7, 9, 4);
    CHECK(sent == strings{"promote c"});
    attempt.on_promote_answer("c", true, error{}, at(5));
    CHECK(sent == strings{"promote c", "follow a c", "follow b c"});
    attempt.observe_confirmed({6, 9}, at(6));
    CHECK(attempt.is_running());
    attempt.observe_confirmed({7, 10}, at(7));
    REQUIRE(result.has_value());
    CHECK(result->failure == promotion_failure::none);
    CHECK(result->primary == "c");
    CHECK(result->times.detected == at(0));
    CHECK(result->times.claimed == at(1));
    CHECK(result->times.fenced == at(4));
    CHECK(result->times.promoted == at(5));
    CHECK(result->times.confirmed == at(7));
}

// Guards against counting the fence answer of a state that was lost afterwards: c answered the fence, lost
// its state and was admitted again before b accepted the term, so no majority held the term at the same time.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_state_lost_after_fence_is_not_counted") {
    start_fencing();
    fenced("c", 9, 2);
    fenced("b", 5, 3);
    status("b", 7, 5, 4);
    sent.clear();
    SUBCASE("seen as uninitialised") {
        instance_report lost = report("c", 0, 0, 4);
        lost.initialised = false;
        attempt.on_status_answer("c", lost, error{}, at(5));
    }
    SUBCASE("seen at the older term") {
        status("c", 6, 9, 4);
    }
    SUBCASE("seen with another state that accepted the term again") {
        instance_report other = report("c", 7, 9, 4);
        other.state_id = "c2";
        attempt.on_status_answer("c", other, error{}, at(5));
    }
    CHECK(attempt.phase() == promotion_phase::fencing);
    CHECK(sent == strings{"fence a", "fence c"});
}

// Guards against an old status answer or a late fence answer that completes a round of checks it does not
// belong to.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_answers_from_outside_the_round_do_not_complete_it") {
    start_fencing();
    fenced("b", 5, 2);
    fenced("c", 9, 3);
    status("b", 7, 5, 4);
    fenced("a", 9, 5);
    status("a", 7, 9, 6);
    status("c", 7, 9, 2);
    CHECK(attempt.phase() == promotion_phase::checking);
    attempt.tick(at(203));
    status("a", 7, 9, 204);
    CHECK(attempt.phase() == promotion_phase::checking);
    status("b", 7, 5, 204);
    CHECK(attempt.phase() == promotion_phase::promoting);
}

// Guards against a daemon that reaches only a minority and raises the terms of its instances, which then stop
// following the primary.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_minority_reachable_fences_nothing") {
    attempt.start(6, 0, at(0));
    status("b", 6, 5, 1);
    attempt.tick(at(300));
    REQUIRE(result.has_value());
    CHECK(result->failure == promotion_failure::no_majority);
    CHECK(sent == strings{"status a", "status b", "status c"});
}

// Guards against counting an instance that lost its state in the fencing majority.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_uninitialised_instance_is_not_counted_in_majority") {
    start_fencing();
    fenced("b", 5, 2);
    instance_report lost = report("c", 7, 0, 2);
    lost.initialised = false;
    attempt.on_fence_answer("c", lost, error{}, at(3));
    CHECK(attempt.phase() == promotion_phase::fencing);
    attempt.tick(at(2001));
    CHECK(result->failure == promotion_failure::no_majority);
}

// Guards against unnecessary promotions while a daemon in another zone sees confirmed writes.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_peer_saw_commit_ends_the_attempt") {
    peers = 2;
    attempt.start(6, 0, at(0));
    status("b", 6, 5, 1);
    status("c", 6, 9, 1);
    attempt.on_peer_opinion("kingston-b", false, at(2));
    CHECK(attempt.phase() == promotion_phase::asking);
    attempt.on_peer_opinion("may-pen", true, at(3));
    CHECK(result->failure == promotion_failure::peer_saw_commit);
}

// Guards against waiting for unreachable peers without limit, and against coordinators that act
// simultaneously.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_silent_peers_delay_by_ask_timeout_and_rank") {
    peers = 2;
    attempt.start(6, 2, at(0));
    status("b", 6, 5, 1);
    status("c", 6, 9, 1);
    attempt.tick(at(299));
    CHECK(attempt.phase() == promotion_phase::asking);
    attempt.tick(at(300));
    CHECK(attempt.phase() == promotion_phase::waiting_rank);
    attempt.tick(at(2299));
    CHECK(attempt.phase() == promotion_phase::waiting_rank);
    attempt.tick(at(2300));
    CHECK(attempt.phase() == promotion_phase::fencing);
}

// Guards against an attempt that continues after another attempt raised the term.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_higher_term_ends_the_attempt") {
    start_fencing();
    SUBCASE("rejected fence") {
        attempt.on_fence_answer("b", report("b", 9, 5, 2), error{error_code::stale_term, "", "", ""}, at(2));
    }
    SUBCASE("seen elsewhere") {
        attempt.observe_term(8, at(2));
    }
    SUBCASE("rejected promote") {
        fenced("b", 5, 2);
        fenced("c", 9, 3);
        status("b", 7, 5, 4);
        status("c", 7, 9, 4);
        attempt.on_promote_answer("c", false, error{error_code::stale_term, "", "", ""}, at(5));
    }
    REQUIRE(result.has_value());
    CHECK(result->failure == promotion_failure::superseded);
}

// Guards against a second primary in one term when the answer to the promote request is lost.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_lost_answer_repeats_at_the_same_instance_only") {
    start_fencing();
    fenced("b", 5, 2);
    fenced("c", 9, 3);
    status("b", 7, 5, 4);
    status("c", 7, 9, 4);
    sent.clear();
    attempt.tick(at(504));
    CHECK(sent == strings{"promote c"});
    attempt.tick(at(1504));
    CHECK(result->failure == promotion_failure::promote_failed);
}

// Guards against an attempt that continues without a reserved term.
TEST_CASE_FIXTURE(promotion_fixture, "promotion_without_claim_fails_with_no_claim") {
    claim.reset();
    attempt.start(6, 0, at(0));
    status("b", 6, 5, 1);
    status("c", 6, 9, 1);
    CHECK(result->failure == promotion_failure::no_claim);
    CHECK(to_string(result->failure) == "no_claim");
    CHECK(to_string(attempt.phase()) == "failed");
}
