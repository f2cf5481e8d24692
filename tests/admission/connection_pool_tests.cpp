#include "gentianhill/admission/connection_pool.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

using namespace gentianhill;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using connection_id = connection_pool::connection_id;

struct pool_fixture {
    error reason;
    time_point now{seconds{50}};
    connection_pool_settings settings;
    connection_pool pool{settings};

    connection_id open_one() {
        const std::optional<connection_id> id = pool.try_begin_open(100, now);
        REQUIRE(id);
        REQUIRE(pool.mark_opened(*id, now));
        return *id;
    }
};

/// Expected state of a connection, tracked independently of the pool.
struct expected_connection {
    bool is_clean = true;
    bool exchange_in_progress = false;
    bool in_transaction = false;
};

} // namespace

// Guards against exceeding the connection limit, and against reusing a connection with an unfinished or
// mismatched exchange or an open transaction, over random sequences of calls.
TEST_CASE_FIXTURE(pool_fixture, "pool_random_sequences_keep_the_limit_and_reuse_only_clean_connections") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random{seed};
        settings.limit = 6;
        pool = connection_pool{settings};
        std::set<connection_id> opening;
        std::map<connection_id, expected_connection> busy;
        std::set<connection_id> closing;
        int acquired = 0;
        for (int step = 0; step < 40000; ++step) {
            now += duration{random() % 5000};
            const std::uint64_t choice = random() % 10;
            const bool random_bool = random() % 2 == 0;
            if (choice == 0) {
                const std::optional<connection_id> id = pool.try_begin_open(random() % 5, now);
                if (id) {
                    REQUIRE(opening.insert(*id).second);
                }
            } else if (choice == 1 && !opening.empty()) {
                const connection_id id = *opening.begin();
                opening.erase(id);
                if (random() % 8 == 0) {
                    REQUIRE(pool.mark_open_failed(id, now, 0.5));
                } else if (!pool.mark_opened(id, now)) {
                    closing.insert(id);
                }
            } else if (choice <= 3) {
                const std::optional<connection_id> id = pool.acquire(reason);
                if (id) {
                    REQUIRE(busy.emplace(*id, expected_connection{}).second);
                    REQUIRE(closing.count(*id) == 0);
                    ++acquired;
                }
            } else if (choice <= 5 && !busy.empty()) {
                const std::map<connection_id, expected_connection>::iterator found = busy.begin();
                expected_connection& expected = found->second;
                if (expected.exchange_in_progress) {
                    const bool matched = random() % 8 != 0;
                    REQUIRE(pool.end_exchange(found->first, matched));
                    expected.exchange_in_progress = false;
                    expected.is_clean = expected.is_clean && matched;
                } else if (expected.is_clean) {
                    REQUIRE(pool.begin_exchange(found->first));
                    expected.exchange_in_progress = true;
                } else {
                    REQUIRE_FALSE(pool.begin_exchange(found->first));
                }
            } else if (choice == 6 && !busy.empty()) {
                const std::map<connection_id, expected_connection>::iterator found = busy.begin();
                expected_connection& expected = found->second;
                if (expected.in_transaction) {
                    REQUIRE(pool.unpin(found->first) == !expected.exchange_in_progress);
                    expected.in_transaction = expected.exchange_in_progress;
                } else {
                    REQUIRE(pool.pin(found->first));
                    expected.in_transaction = true;
                }
            } else if (choice <= 8 && !busy.empty()) {
                const connection_id id = busy.begin()->first;
                const expected_connection expected = busy.begin()->second;
                busy.erase(id);
                if (pool.release(id, random_bool, now)) {
                    REQUIRE((random_bool && expected.is_clean && !expected.exchange_in_progress &&
                             !expected.in_transaction));
                } else {
                    closing.insert(id);
                }
            } else if (!closing.empty()) {
                REQUIRE(pool.mark_closed(*closing.begin(), now));
                closing.erase(closing.begin());
            }
            if (step % 5000 == 0) {
                random_bool ? pool.drain() : pool.resume();
            }
            const connection_counts counts = pool.counts(now);
            REQUIRE(counts.total() <= settings.limit);
            REQUIRE(counts.opening <= settings.max_opening);
            REQUIRE(counts.opening == opening.size());
            REQUIRE(counts.busy + counts.pinned == busy.size());
            REQUIRE(counts.closing == closing.size());
        }
        CHECK(acquired > 1000);
    }
}

// Guards against the late response to one caller being delivered to the next user of the connection.
TEST_CASE_FIXTURE(pool_fixture, "release_unfinished_mismatched_or_in_transaction_must_be_closed") {
    const connection_id unfinished = open_one();
    CHECK(pool.acquire(reason) == unfinished);
    CHECK(pool.begin_exchange(unfinished));
    CHECK_FALSE(pool.begin_exchange(unfinished));
    CHECK_FALSE(pool.release(unfinished, true, now));
    CHECK(pool.state_of(unfinished) == connection_state::closing);
    const connection_id mismatched = open_one();
    CHECK(pool.acquire(reason) == mismatched);
    CHECK(pool.begin_exchange(mismatched));
    CHECK(pool.end_exchange(mismatched, false));
    CHECK_FALSE(pool.release(mismatched, true, now));
    const connection_id pinned = open_one();
    CHECK(pool.acquire(reason) == pinned);
    CHECK(pool.pin(pinned));
    CHECK_FALSE(pool.release(pinned, true, now));
    CHECK_FALSE(pool.acquire(reason));
    CHECK(reason.code == error_code::no_free_slot);
}

// Guards against exceeding the limit of the instance by opening a connection before it has noticed the close
// of the old one.
TEST_CASE_FIXTURE(pool_fixture, "try_begin_open_after_close_waits_for_the_grace_period") {
    settings.limit = 1;
    pool = connection_pool{settings};
    const connection_id id = open_one();
    CHECK(pool.mark_closed(id, now));
    CHECK_FALSE(pool.state_of(id));
    CHECK_FALSE(pool.mark_closed(id, now));
    CHECK_FALSE(pool.try_begin_open(5, now + settings.close_grace - duration{1}));
    CHECK_FALSE(pool.acquire(reason));
    CHECK(reason.code == error_code::connection_limit);
    now += settings.close_grace;
    // The same holds after a failed connection attempt, which the instance may have accepted.
    const std::optional<connection_id> late = pool.try_begin_open(5, now);
    REQUIRE(late);
    CHECK(pool.mark_open_failed(*late, now, 0.0));
    CHECK_FALSE(pool.try_begin_open(5, now + settings.close_grace - duration{1}));
    CHECK(pool.try_begin_open(5, now + settings.close_grace));
}

// Guards against all daemons reconnecting at the same time after a failover.
TEST_CASE_FIXTURE(pool_fixture, "failed_connection_attempts_back_off_with_jitter_until_one_succeeds") {
    const auto fail = [this](double jitter) {
        const std::optional<connection_id> id = pool.try_begin_open(5, now);
        REQUIRE(id);
        REQUIRE(pool.mark_open_failed(*id, now, jitter));
        const duration pause = pool.open_not_before() - now;
        CHECK_FALSE(pool.try_begin_open(5, pool.open_not_before() - duration{1}));
        now = pool.open_not_before();
        return pause;
    };
    CHECK(fail(0.0) == milliseconds{25});
    CHECK(fail(0.5) == milliseconds{75});
    CHECK(fail(0.0) == milliseconds{100});
    for (int attempt = 0; attempt < 40; ++attempt) {
        CHECK(fail(0.99) <= settings.backoff_max);
    }
    open_one();
    CHECK(fail(0.0) == milliseconds{25});
}

// Guards against sending work to a leaving instance, and against connections left open after a drain or a
// lowered limit.
TEST_CASE_FIXTURE(pool_fixture, "drain_acquires_and_opens_nothing_and_closes_all") {
    const connection_id first = open_one();
    const connection_id second = open_one();
    CHECK(pool.acquire(reason) == second);
    const std::optional<connection_id> late = pool.try_begin_open(100, now);
    pool.drain();
    CHECK_FALSE(pool.acquire(reason));
    CHECK(reason.code == error_code::leaving);
    CHECK_FALSE(pool.try_begin_open(100, now));
    CHECK(pool.try_begin_close(now) == first);
    CHECK_FALSE(pool.try_begin_close(now));
    CHECK_FALSE(pool.release(second, true, now));
    CHECK_FALSE(pool.mark_opened(*late, now));
    CHECK(pool.counts(now).closing == 3);
    pool.resume();
    open_one();
    pool.set_limit(0);
    CHECK(pool.try_begin_close(now));
}

// Guards against an empty pool after a time without traffic, and against idle connections that are never
// closed.
TEST_CASE_FIXTURE(pool_fixture, "idle_connections_beyond_the_idle_limit_shrink_to_min_idle") {
    settings.min_idle = 2;
    pool = connection_pool{settings};
    const connection_id first = open_one();
    CHECK(pool.try_begin_open(0, now));
    CHECK_FALSE(pool.try_begin_open(0, now));
    const connection_id second = open_one();
    const connection_id third = open_one();
    CHECK_FALSE(pool.try_begin_close(now + settings.idle_limit - duration{1}));
    CHECK(pool.try_begin_close(now + settings.idle_limit) == first);
    CHECK_FALSE(pool.try_begin_close(now + settings.idle_limit));
    CHECK(pool.state_of(second) == connection_state::idle);
    CHECK(pool.state_of(third) == connection_state::idle);
}
