#include "gentianhill/quota/grant_holder.h"
#include "gentianhill/quota/token_bucket.h"
#include "gentianhill/quota/zone_counter.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct bucket_fixture {
    time_point now{100s};
    token_bucket bucket;
};

struct counter_fixture {
    counter_fixture() {
        counter.whole = [](const std::string&) { return std::optional(quota_share{20, 20}); };
        request.daemon = "d-2";
        request.team = "team-a";
        request.needed = 1;
        request.arrivals = 1;
    }

    shares_answer answer(shares_outcome outcome, std::uint64_t claim, const quota_share& share) {
        shares_answer result;
        result.daemon = "d-3";
        result.outcome = outcome;
        result.claim = claim;
        result.shares = {{"team-a", share, share.capacity, false}};
        return result;
    }

    void lease(const quota_share& share, std::uint64_t claim = 1) {
        static_cast<void>(counter.on_request(request, now));
        static_cast<void>(counter.make_request(now));
        CHECK(counter.on_answer(answer(shares_outcome::assigned, claim, share), now, now));
    }

    time_point now{100s};
    quota_settings settings;
    zone_counter counter{settings, "d-1", "d-1-1", now};
    tokens_request request;
};

struct holder_fixture {
    holder_fixture() {
        holder.now = [this] { return now; };
        holder.ask = [this](const tokens_request& request) { asked.push_back(request); };
    }

    void admit() {
        holder.admit("team-a", [this](quota_refusal refusal) { decisions.push_back(refusal); });
    }

    void give(std::int64_t tokens, tokens_outcome outcome = tokens_outcome::granted) {
        tokens_answer answer;
        answer.daemon = "d-1";
        answer.outcome = outcome;
        answer.tokens = tokens;
        holder.on_answer("team-a", now, answer);
    }

    time_point now{100s};
    quota_settings settings;
    grant_holder holder{settings};
    std::vector<tokens_request> asked;
    std::vector<quota_refusal> decisions;
};

} // namespace

TEST_CASE_FIXTURE(bucket_fixture, "token_bucket_new_share_starts_empty_and_fills_up_to_its_capacity") {
    bucket.set_share({10, 5}, now);
    CHECK(bucket.take(1, 500ms, now) == 0);
    now += 100ms;
    CHECK(bucket.take(3, 500ms, now) == 1);
    now += 10s;
    CHECK(bucket.take(100, 500ms, now) == 5);
}

// Guards against a burst of twice the capacity: what was given out may be spent just before the bucket is
// full.
TEST_CASE_FIXTURE(bucket_fixture, "token_bucket_tokens_in_use_occupy_the_capacity") {
    bucket.set_share({1000, 5}, now);
    now += 1s;
    CHECK(bucket.take(5, 500ms, now) == 5);
    now += 499ms;
    CHECK(bucket.take(5, 500ms, now) == 0);
    now += 10ms;
    CHECK(bucket.take(5, 500ms, now) == 5);
}

TEST_CASE_FIXTURE(bucket_fixture, "token_bucket_lowered_share_returns_what_it_has_no_room_for") {
    bucket.set_share({10, 10}, now);
    now += 2s;
    CHECK(bucket.take(4, 500ms, now) == 4);
    CHECK(bucket.set_share({1, 3}, now) == doctest::Approx(6));
    CHECK(bucket.effective_share(now).capacity == 4);
    now += 600ms;
    CHECK(bucket.effective_share(now).capacity == 3);
}

TEST_CASE_FIXTURE(counter_fixture, "zone_counter_lease_counts_from_the_request") {
    static_cast<void>(counter.on_request(request, now));
    static_cast<void>(counter.make_request(now));
    const time_point asked_at = now;
    now += 200ms;
    CHECK(counter.on_answer(answer(shares_outcome::assigned, 1, {10, 5}), asked_at, now));
    now = asked_at + settings.share_lease - 1ms;
    CHECK(counter.on_request(request, now).tokens == 1);
    now += 1ms;
    CHECK(counter.on_request(request, now).outcome == tokens_outcome::unassigned);
}

// Guards against an answer that was on its way while the process was suspended.
TEST_CASE_FIXTURE(counter_fixture, "zone_counter_late_answer_is_not_applied") {
    static_cast<void>(counter.on_request(request, now));
    static_cast<void>(counter.make_request(now));
    const time_point asked_at = now;
    now += settings.allocator_timeout + 1ms;
    CHECK_FALSE(counter.on_answer(answer(shares_outcome::assigned, 1, {10, 5}), asked_at, now));
    CHECK(counter.on_request(request, now).outcome == tokens_outcome::unassigned);
}

TEST_CASE_FIXTURE(counter_fixture, "zone_counter_reported_to_a_new_allocator_drops_answers_of_the_former") {
    lease({10, 5}, 3);
    CHECK(counter.report(4, now).size() == 1);
    static_cast<void>(counter.make_request(now));
    CHECK_FALSE(counter.on_answer(answer(shares_outcome::assigned, 3, {20, 20}), now, now));
    CHECK(counter.report(4, now).front().share == quota_share{10, 5});
}

// Guards against an extension of a share that the former allocator has given to others since.
TEST_CASE_FIXTURE(counter_fixture, "zone_counter_extension_after_the_end_of_the_lease_is_not_applied") {
    lease({10, 5});
    now += settings.share_lease - 100ms;
    static_cast<void>(counter.make_request(now));
    const time_point asked_at = now;
    now += 50ms;
    CHECK(counter.on_answer(answer(shares_outcome::extended, 2, {10, 5}), asked_at, now));
    now = asked_at + settings.share_lease - 100ms;
    static_cast<void>(counter.make_request(now));
    const time_point asked_again_at = now;
    now += 150ms;
    CHECK_FALSE(counter.on_answer(answer(shares_outcome::extended, 2, {10, 5}), asked_again_at, now));
    CHECK(counter.on_request(request, now).outcome == tokens_outcome::unassigned);
}

TEST_CASE_FIXTURE(counter_fixture, "zone_counter_team_without_limit_takes_no_memory") {
    counter.whole = [](const std::string&) { return std::optional<quota_share>(); };
    CHECK(counter.on_request(request, now).outcome == tokens_outcome::unassigned);
    CHECK_FALSE(counter.next_request_at(now));
}

TEST_CASE_FIXTURE(holder_fixture, "grant_holder_operation_with_a_token_does_not_wait") {
    admit();
    REQUIRE(asked.size() == 1);
    CHECK(asked.front().needed == 1);
    give(3);
    CHECK(decisions == std::vector<quota_refusal>{quota_refusal::none});
    admit();
    CHECK(decisions.size() == 2);
}

TEST_CASE_FIXTURE(holder_fixture, "grant_holder_tokens_end_with_their_time") {
    admit();
    give(3);
    now += settings.grant_life;
    admit();
    CHECK(decisions.size() == 1);
    CHECK(holder.waiting() == 1);
}

// Guards against operations of a team at its limit that wait until their deadline.
TEST_CASE_FIXTURE(holder_fixture, "grant_holder_at_the_limit_refuses_at_once_or_after_the_longest_wait") {
    for (int count = 0; count < 10; ++count) {
        admit();
    }
    for (int failure = 0; failure < 4; ++failure) {
        give(0, tokens_outcome::exhausted);
        now += 30ms;
        holder.tick();
    }
    CHECK(holder.waiting() == 1);
    admit();
    CHECK(decisions.size() == 10);
    now += settings.max_wait;
    holder.tick();
    CHECK(holder.waiting() == 0);
    CHECK(decisions.back() == quota_refusal::exhausted);
}
