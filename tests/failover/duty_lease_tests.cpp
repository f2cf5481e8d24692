#include "gentianhill/failover/duty_lease.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Simulated store with one object and a clock that the test advances.
struct lease_fixture {
    time_point current{100s};
    std::optional<stored_object> object;
    std::uint64_t revision = 10;
    bool lose_next_answer = false;
    metadata_store store;
    logger log;

    lease_fixture() {
        log.sink = [](std::string_view) {};
        store.get = [this](store_collection, const std::string&, const metadata_store::handler& done) {
            store_answer answer;
            answer.object = object;
            answer.outcome = object ? store_outcome::done : store_outcome::not_found;
            done(answer);
        };
        store.put = [this](store_collection, const stored_object& written,
                           const metadata_store::handler& done) {
            store_answer answer;
            if (written.revision != (object ? object->revision : 0)) {
                answer.outcome = store_outcome::conflict;
                done(answer);
                return;
            }
            object = written;
            object->revision = ++revision;
            answer.outcome = lose_next_answer ? store_outcome::unknown : store_outcome::done;
            answer.object = lose_next_answer ? std::nullopt : object;
            lose_next_answer = false;
            done(answer);
        };
    }

    std::unique_ptr<duty_lease> make(const std::string& holder, const std::string& incarnation,
                                     const duty_lease_settings& settings = {}) {
        std::unique_ptr<duty_lease> lease =
            std::make_unique<duty_lease>(store, log, settings, holder, incarnation);
        lease->now = [this] { return current; };
        return lease;
    }

    static std::optional<std::uint64_t> claim(duty_lease& lease, claim_refusal* refusal = nullptr) {
        std::optional<std::uint64_t> granted;
        lease.claim("test", 2, [&](std::optional<std::uint64_t> token, claim_refusal reason) {
            granted = token;
            if (refusal != nullptr) {
                *refusal = reason;
            }
        });
        return granted;
    }
};

} // namespace

// Guards against two daemons that hold the duty at the same time.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_held_by_another_is_refused_until_it_is_released") {
    const std::unique_ptr<duty_lease> first = make("a", "1");
    const std::unique_ptr<duty_lease> second = make("b", "1");
    REQUIRE(claim(*first));
    claim_refusal refusal = claim_refusal::none;
    CHECK(!claim(*second, &refusal));
    CHECK(refusal == claim_refusal::held_by_other);
    first->release(2);
    const std::optional<std::uint64_t> token = claim(*second);
    REQUIRE(token);
    CHECK(*token > first->token());
}

// Guards against a holder that acts after its claim has expired, and against a takeover before that.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_tenure_ends_before_another_may_take_over") {
    const std::unique_ptr<duty_lease> first = make("a", "1");
    const std::unique_ptr<duty_lease> second = make("b", "1");
    REQUIRE(claim(*first));
    const time_point claimed = current;
    CHECK(!claim(*second));
    while (first->is_held()) {
        CHECK(!claim(*second));
        current += 100ms;
    }
    CHECK(current - claimed == duty_lease_settings{}.tenure);
    CHECK(!claim(*second));
    current = claimed + duty_lease_settings{}.takeover_after;
    CHECK(claim(*second));
    CHECK(!first->is_held());
}

// The claim takes effect in the store but the answer is lost. Guards against a claim that no daemon uses.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_lost_answer_is_read_back") {
    const std::unique_ptr<duty_lease> lease = make("a", "1");
    lose_next_answer = true;
    const std::optional<std::uint64_t> token = claim(*lease);
    REQUIRE(token);
    CHECK(*token == object->revision);
    CHECK(lease->is_held());
}

// Guards against a fencing token that decreases after the object was deleted.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_object_deleted_token_still_increases") {
    const std::unique_ptr<duty_lease> lease = make("a", "1");
    const std::optional<std::uint64_t> first = claim(*lease);
    object.reset();
    const std::optional<std::uint64_t> second = claim(*lease);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(*second > *first);
}

// Guards against a restarted daemon that waits for the claim of its previous process to expire, and against
// the same token for both processes.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_restart_under_the_same_name_claims_at_once_with_a_new_token") {
    const std::unique_ptr<duty_lease> before = make("a", "1");
    const std::optional<std::uint64_t> first = claim(*before);
    const std::unique_ptr<duty_lease> after = make("a", "2");
    const std::optional<std::uint64_t> second = claim(*after);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(*second > *first);
}

// Guards against claims by different holders in quicker succession than the platform allows.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_claim_by_another_holder_waits_for_the_spacing") {
    duty_lease_settings settings;
    settings.turn_spacing = 3s;
    const std::unique_ptr<duty_lease> first = make("a", "1", settings);
    const std::unique_ptr<duty_lease> second = make("b", "1", settings);
    REQUIRE(claim(*first));
    first->release(2);
    claim_refusal refusal = claim_refusal::none;
    CHECK(!claim(*second, &refusal));
    CHECK(refusal == claim_refusal::spacing);
    current += 3s;
    CHECK(claim(*second));
}

// Guards against a malformed object that is treated as an unclaimed duty.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_malformed_object_counts_as_held") {
    object = stored_object{"failover", 7, nlohmann::json::array({1, 2})};
    const std::unique_ptr<duty_lease> lease = make("a", "1");
    claim_refusal refusal = claim_refusal::none;
    CHECK(!claim(*lease, &refusal));
    CHECK(refusal == claim_refusal::held_by_other);
}

// Guards against a daemon that trusts a primary although a promotion has been started, and against a claim
// for one group that erases the recorded term of another.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_recorded_terms_include_started_promotions") {
    const std::unique_ptr<duty_lease> lease = make("a", "1");
    const auto read = [&lease](const std::string& group) {
        std::optional<term_number> result;
        lease->read_promoted_term(group, [&result](std::optional<term_number> term) { result = term; });
        return result;
    };
    CHECK(read("test") == term_number{0});
    REQUIRE(claim(*lease));
    CHECK(read("test") == term_number{2});
    lease->release(2);
    lease->claim("other", 7, [](std::optional<std::uint64_t>, claim_refusal) {});
    CHECK(read("other") == term_number{7});
    CHECK(read("test") == term_number{2});
    lease->release(std::nullopt);
    CHECK(read("other") == term_number{0});
    CHECK(read("test") == term_number{2});
}

// Guards against a holder that claims the duty again while requests from its previous claim may be in flight.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_abandoned_cannot_be_claimed_before_the_takeover_time") {
    const std::unique_ptr<duty_lease> first = make("a", "1");
    const std::unique_ptr<duty_lease> second = make("b", "1");
    REQUIRE(claim(*first));
    CHECK(!claim(*second));
    first->abandon();
    CHECK(!first->is_held());
    CHECK(!claim(*first));
    CHECK(!claim(*second));
    current += duty_lease_settings{}.takeover_after;
    CHECK(claim(*first));
}
