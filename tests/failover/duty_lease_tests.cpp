#include "gentianhill/failover/duty_lease.h"
#include "tests/simulation/simulated_store.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Simulated store with one object and a clock that the test advances.
struct lease_fixture {
    time_point current{100s};
    std::optional<stored_object> object;
    std::uint64_t revision = 10;
    bool lose_next_answer = false;
    bool refuses_writes = false;
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
            if (refuses_writes) {
                answer.outcome = store_outcome::refused;
                done(answer);
                return;
            }
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
    first->abandon(true);
    CHECK(!first->is_held());
    CHECK(!claim(*first));
    CHECK(!claim(*second));
    current += duty_lease_settings{}.takeover_after;
    CHECK(claim(*first));
}

// Guards against a term that counts as promoted for good although no call was made, so that nobody can tell
// that the former primary holds every commit.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_abandoned_without_a_call_restores_the_recorded_term") {
    const std::unique_ptr<duty_lease> lease = make("a", "1");
    std::optional<term_number> recorded;
    const auto read = [&] {
        lease->read_promoted_term("test", [&recorded](std::optional<term_number> term) { recorded = term; });
        return recorded;
    };
    REQUIRE(claim(*lease));
    SUBCASE("the call may take effect") {
        lease->abandon(true);
        CHECK(read() == term_number{2});
    }
    SUBCASE("no call was made") {
        lease->abandon(false);
        CHECK(read() == term_number{0});
        CHECK(object->content.at("active").get<bool>());
    }
    SUBCASE("the store refuses the write at first") {
        refuses_writes = true;
        lease->abandon(false);
        CHECK(read() == term_number{2});
        refuses_writes = false;
        lease->tick();
        CHECK(read() == term_number{2});
        current += 1s;
        lease->tick();
        CHECK(read() == term_number{0});
    }
    SUBCASE("the daemon claims again before the store has taken the write") {
        refuses_writes = true;
        lease->abandon(false);
        refuses_writes = false;
        current += duty_lease_settings{}.takeover_after;
        REQUIRE(claim(*lease));
        lease->release(std::nullopt);
        CHECK(read() == term_number{0});
    }
}

// Guards against a duty that stays claimed because the store was away when it was released.
TEST_CASE_FIXTURE(lease_fixture, "duty_lease_release_is_repeated_until_the_store_answers") {
    const std::unique_ptr<duty_lease> first = make("a", "1");
    const std::unique_ptr<duty_lease> second = make("b", "1");
    REQUIRE(claim(*first));
    refuses_writes = true;
    first->release(2);
    refuses_writes = false;
    CHECK(!claim(*second));
    current += 1s;
    first->tick();
    CHECK(claim(*second));
}

namespace {

/// Lease holders on a store that is restored from a copy.
struct restored_store_fixture {
    simulated_clock clock;
    simulated_store store{clock};
    std::map<std::string, metadata_store> ports;
    logger log;
    /// While set, writes are held back here instead of being sent.
    bool holds_writes = false;
    std::vector<std::function<void()>> held_writes;

    restored_store_fixture() {
        log.sink = [](std::string_view) {};
        // The first copy is made of a store with some history.
        store.write(store_collection::configuration, "main", 1);
    }

    std::unique_ptr<duty_lease> make(const std::string& holder, const std::string& incarnation = "1") {
        metadata_store& port = ports[holder + incarnation];
        port = store.make_port(holder);
        port.put = [this, put = port.put](store_collection which, const stored_object& object,
                                          const metadata_store::handler& done) {
            if (holds_writes) {
                held_writes.push_back([put, which, object, done] { put(which, object, done); });
            } else {
                put(which, object, done);
            }
        };
        std::unique_ptr<duty_lease> lease =
            std::make_unique<duty_lease>(port, log, duty_lease_settings{}, holder, incarnation);
        lease->now = [this] { return clock.now(); };
        return lease;
    }

    /// Claims and waits for the answer; 0 if the claim was refused.
    std::uint64_t claim(duty_lease& lease) {
        const std::shared_ptr<std::uint64_t> granted = start_claim(lease);
        clock.run_for(call_time);
        return *granted;
    }

    static std::shared_ptr<std::uint64_t> start_claim(duty_lease& lease) {
        std::shared_ptr<std::uint64_t> granted = std::make_shared<std::uint64_t>(0);
        lease.claim("test", 2, [granted](std::optional<std::uint64_t> token, claim_refusal) {
            *granted = token.value_or(0);
        });
        return granted;
    }

    void claim_and_release(duty_lease& lease) {
        REQUIRE(claim(lease) > 0);
        lease.release(2);
        clock.run_for(call_time);
    }

    /// Claims until it is granted; returns the time that it took.
    duration time_to_claim(duty_lease& lease) {
        const time_point start = clock.now();
        while (claim(lease) == 0 && clock.now() - start < 4 * takeover_after) {
            clock.run_for(20ms);
        }
        return clock.now() - start;
    }

    static constexpr duration call_time = 20ms;
    static constexpr duration takeover_after = duty_lease_settings{}.takeover_after;
};

} // namespace

// Guards against two holders of the duty, of which the first claimed it before the store was restored.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_claim_lost_in_a_restore_is_not_given_to_another") {
    const std::unique_ptr<duty_lease> first = make("a");
    const std::unique_ptr<duty_lease> second = make("b");
    claim_and_release(*second);
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    const std::uint64_t token = claim(*first);
    const time_point claimed_at = clock.now();
    REQUIRE(token > 0);
    store.restore(*copy);
    const duration waited = time_to_claim(*second);
    CHECK(waited >= takeover_after);
    CHECK(waited <= takeover_after + 100ms);
    CHECK(clock.now() - claimed_at >= takeover_after);
    CHECK(!first->is_held());
    CHECK(second->token() > token);
}

// Guards against a daemon that starts just after a restore and takes a duty that another still holds, also
// under the name of its own earlier process, and against a longer wait than for a claim that is not released.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_daemon_started_after_a_restore_waits_once") {
    const std::unique_ptr<duty_lease> earlier = make("b");
    claim_and_release(*earlier);
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    const std::unique_ptr<duty_lease> first = make("a");
    REQUIRE(claim(*first) > 0);
    store.restore(*copy);
    const std::unique_ptr<duty_lease> restarted = make("b", "2");
    const duration waited = time_to_claim(*restarted);
    CHECK(waited >= takeover_after);
    CHECK(waited <= takeover_after + 100ms);
    restarted->release(2);
    clock.run_for(call_time);
    // The claim in the present era shows that earlier ones are over.
    const std::unique_ptr<duty_lease> late = make("c");
    CHECK(time_to_claim(*late) <= 2 * call_time + 20ms);
}

// Guards against a fencing token that falls or is given out twice when the revisions of the store go back.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_token_rises_over_restores") {
    SUBCASE("low revisions") {}
    // At such a store no claim must be refused for its revision either.
    SUBCASE("revisions that start at the time of day, in microseconds") {
        store.skip_revisions(1'796'000'000'000'000);
    }
    const std::unique_ptr<duty_lease> lease = make("a");
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    std::uint64_t last = 0;
    for (int restore = 0; restore < 3; ++restore) {
        for (int claims = 0; claims < 3 - restore; ++claims) {
            REQUIRE(time_to_claim(*lease) < 2 * takeover_after);
            CHECK(lease->token() > last);
            CHECK(lease->token() < std::uint64_t{1} << 63U);
            last = lease->token();
            lease->release(2);
            clock.run_for(call_time);
        }
        store.restore(*copy);
    }
}

// Guards against a claim that rests on a read of before a restore and is granted because the store has the
// same revision again.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_claim_written_after_a_restore_is_not_granted") {
    const std::unique_ptr<duty_lease> lease = make("a");
    claim_and_release(*lease);
    holds_writes = true;
    const std::shared_ptr<std::uint64_t> granted = start_claim(*lease);
    clock.run_for(call_time);
    REQUIRE(held_writes.size() == 1);
    store.restore(*store.take_copy());
    held_writes.front()();
    clock.run_for(call_time);
    CHECK(*granted == 0);
    CHECK(!lease->is_held());
}

// Guards against a claim whose answer was lost and that is read back from a copy.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_claim_read_back_after_a_restore_is_not_granted") {
    const std::unique_ptr<duty_lease> lease = make("a");
    claim_and_release(*lease);
    store.lost_answers = 1;
    const std::shared_ptr<std::uint64_t> granted = start_claim(*lease);
    clock.run_for(call_time);
    store.restore(*store.take_copy());
    clock.run_for(2s);
    CHECK(*granted == 0);
    CHECK(!lease->is_held());
}

// Guards against a write of before a restore that replaces the claim of the present holder, which has the
// revision that the write names.
TEST_CASE_FIXTURE(restored_store_fixture,
                  "duty_lease_delayed_write_does_not_replace_a_claim_after_a_restore") {
    const std::unique_ptr<duty_lease> delayed = make("a");
    const std::unique_ptr<duty_lease> holder = make("b");
    const std::unique_ptr<duty_lease> other = make("c");
    claim_and_release(*holder);
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    claim_and_release(*holder);
    holds_writes = true;
    start_claim(*delayed);
    clock.run_for(call_time);
    REQUIRE(held_writes.size() == 1);
    holds_writes = false;
    const std::uint64_t reused = store.revision();
    store.restore(*copy);
    claim(*other);
    claim(*holder);
    clock.run_for(takeover_after);
    while (store.revision() + 1 < reused) {
        store.write(store_collection::configuration, "main", 1);
    }
    REQUIRE(claim(*holder) > 0);
    REQUIRE(store.revision() == reused);
    held_writes.front()();
    clock.run_for(call_time);
    CHECK(holder->is_held());
    CHECK(claim(*other) == 0);
    CHECK(!delayed->is_held());
}

// Guards against a release of a claim of before a restore that releases the claim of the present holder.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_release_after_a_restore_does_not_end_another_claim") {
    const std::unique_ptr<duty_lease> first = make("a");
    const std::unique_ptr<duty_lease> second = make("b");
    const std::unique_ptr<duty_lease> third = make("c");
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    REQUIRE(claim(*first) > 0);
    const std::uint64_t reused = store.revision();
    store.restore(*copy);
    REQUIRE(time_to_claim(*second) < 2 * takeover_after);
    REQUIRE(store.revision() == reused);
    first->release(2);
    clock.run_for(call_time);
    CHECK(claim(*third) == 0);
    CHECK(second->is_held());
}

// Guards against a second restore while a daemon waits for the claims of before the first one.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_second_restore_starts_the_wait_again") {
    const std::unique_ptr<duty_lease> first = make("a");
    const std::unique_ptr<duty_lease> second = make("b");
    claim_and_release(*second);
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    store.restore(*copy);
    CHECK(claim(*second) == 0);
    REQUIRE(time_to_claim(*first) < 2 * takeover_after);
    const std::uint64_t token = first->token();
    store.restore(*copy);
    const duration waited = time_to_claim(*second);
    CHECK(waited >= takeover_after);
    CHECK(waited <= takeover_after + 100ms);
    CHECK(second->token() > token);
}

// Guards against a refusal by a server in between, which states no era, that ends the wait for earlier
// claims.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_refusal_without_an_era_keeps_the_known_era") {
    store.restore(*store.take_copy());
    const std::unique_ptr<duty_lease> lease = make("a");
    REQUIRE(time_to_claim(*lease) < 2 * takeover_after);
    const std::uint64_t token = lease->token();
    lease->release(2);
    clock.run_for(call_time);
    ports["a1"].put = [](store_collection, const stored_object&, const metadata_store::handler& done) {
        store_answer refused;
        refused.outcome = store_outcome::refused;
        done(refused);
    };
    CHECK(claim(*lease) == 0);
    const metadata_store port = store.make_port("a");
    ports["a1"].put = port.put;
    CHECK(claim(*lease) > token);
    CHECK(!store.find(store_collection::duties, "failover"));
}

// Guards against a claim that is granted though a state relayed meanwhile shows that it is of an earlier era.
TEST_CASE_FIXTURE(restored_store_fixture,
                  "duty_lease_claim_answered_after_a_newer_era_is_known_is_not_granted") {
    const std::unique_ptr<duty_lease> lease = make("a");
    store.restore(*store.take_copy());
    REQUIRE(time_to_claim(*lease) < 2 * takeover_after);
    lease->release(2);
    clock.run_for(call_time);
    const std::shared_ptr<std::uint64_t> granted = start_claim(*lease);
    lease->observe_era(store.era() + 1);
    clock.run_for(call_time);
    CHECK(*granted == 0);
}

// Guards against a record that lacks a promotion of before the restore and is taken for proof that there was
// none.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_terms_of_before_a_restore_are_not_known") {
    const std::unique_ptr<duty_lease> lease = make("a");
    const auto read = [&](const std::string& group) {
        std::optional<term_number> result;
        lease->read_promoted_term(group, [&result](std::optional<term_number> term) { result = term; });
        clock.run_for(call_time);
        return result;
    };
    const std::shared_ptr<const simulated_store::copy> copy = store.take_copy();
    CHECK(read("test") == term_number{0});
    claim_and_release(*lease);
    CHECK(read("test") == term_number{2});
    store.restore(*copy);
    CHECK(!read("test"));
    CHECK(!read("other"));
    REQUIRE(time_to_claim(*lease) < 2 * takeover_after);
    CHECK(read("test") == term_number{2});
    lease->release(std::nullopt);
    clock.run_for(call_time);
    CHECK(!read("test"));
    CHECK(!read("other"));
}

// Guards against a wait that begins only with the first claim, although the daemon has long known the era.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_era_known_from_another_daemon_counts") {
    const std::unique_ptr<duty_lease> lease = make("a");
    store.restore(*store.take_copy());
    lease->observe_era(store.era());
    clock.run_for(takeover_after / 2);
    CHECK(claim(*lease) == 0);
    lease->observe_era(store.era());
    clock.run_for(takeover_after / 2);
    CHECK(claim(*lease) > 0);
}

// Guards against a duty that is never claimed again because another daemon has named an era that the store
// does not have, and against a claim without a wait after that.
TEST_CASE_FIXTURE(restored_store_fixture, "duty_lease_era_ahead_of_the_store_is_corrected") {
    const std::unique_ptr<duty_lease> lease = make("a");
    store.restore(*store.take_copy());
    lease->observe_era(store.era() + 5);
    const duration waited = time_to_claim(*lease);
    CHECK(waited >= takeover_after);
    CHECK(waited <= takeover_after + 100ms);
}
