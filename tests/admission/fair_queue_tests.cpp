#include "gentianhill/admission/fair_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace gentianhill;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ids = std::vector<fair_queue::entry_id>;

struct queue_fixture {
    error reason;
    time_point now{seconds{100}};
    ids expired;
    fair_queue queue{{}};

    std::optional<fair_queue::entry_id> push(std::string_view team, duration time_left = seconds{60},
                                             double cost = 1.0) {
        return queue.push(team, now + time_left, cost, now, reason);
    }
    std::optional<fair_queue::entry_id> pop() { return queue.pop(now, expired); }
    double served(std::string_view team) const {
        double cost = 0.0;
        for (const team_queue_stats& share : queue.team_stats()) {
            cost += share.team == team ? share.served_cost : 0.0;
        }
        return cost;
    }
};

} // namespace

// Guards against a flooding team exceeding its fair share. With different weights and random costs, a team
// below its share gets all it asks for, and the others divide the rest by weight, within 5%.
TEST_CASE_FIXTURE(queue_fixture, "pop_tenfold_flood_keeps_max_min_shares_within_five_percent") {
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937_64 random{seed};
        std::uniform_real_distribution<double> cost{0.5, 1.5};
        fair_queue fresh{{}};
        queue = fresh;
        queue.set_team("flood", 1.0);
        queue.set_team("heavy", 2.0);
        queue.set_team("light", 1.0);
        // The capacity is 1 per ms, so the fair share per unit of weight is 0.25. "light" asks for 0.2 and
        // "flood" for 2.5, ten times its share. The remaining 0.8 is divided 1:2.
        constexpr int steps = 20000;
        double credit = 0.0;
        double light_asked = 0.0;
        for (int step = 0; step < steps; ++step) {
            now += milliseconds{1};
            for (int request = 0; request < 5; ++request) {
                static_cast<void>(push("flood", seconds{60}, cost(random) * 0.5));
                static_cast<void>(push("heavy", seconds{60}, cost(random) * 0.5));
            }
            if (step % 5 == 0) {
                const double asked = cost(random);
                light_asked += push("light", seconds{60}, asked) ? asked : 0.0;
            }
            for (credit += 1.0; credit > 0.0;) {
                const double before = served("flood") + served("heavy") + served("light");
                if (!pop()) {
                    break;
                }
                credit -= served("flood") + served("heavy") + served("light") - before;
            }
        }
        CHECK(served("light") >= 0.95 * light_asked);
        CHECK(light_asked == doctest::Approx(0.2 * steps).epsilon(0.05));
        CHECK(served("flood") == doctest::Approx((steps - light_asked) / 3).epsilon(0.05));
        CHECK(served("heavy") == doctest::Approx((steps - light_asked) * 2 / 3).epsilon(0.05));
    }
}

// Guards against a request being dequeued twice, never, or after it was refused, removed or expired.
TEST_CASE_FIXTURE(queue_fixture, "pop_random_sequences_returns_each_admitted_request_once") {
    for (const std::uint64_t seed : {7U, 8U, 9U}) {
        std::mt19937_64 random{seed};
        queue = fair_queue{{.max_length = 64, .max_team_length = 20, .execution_reserve = duration{0}}};
        const std::array<std::string, 4> teams{"a", "b", "c", "d"};
        for (const std::string& team : teams) {
            queue.set_team(team, 1.0 + static_cast<double>(random() % 3));
        }
        std::map<fair_queue::entry_id, time_point> waiting;
        int refused = 0;
        int expired_count = 0;
        for (int step = 0; step < 30000; ++step) {
            now += duration{random() % 2000};
            expired.clear();
            const std::uint64_t choice = random() % 16;
            if (choice < 9) {
                const duration time_left = milliseconds{1 + random() % 50};
                const std::optional<fair_queue::entry_id> id = push(teams[random() % 4], time_left);
                refused += id ? 0 : 1;
                if (id) {
                    REQUIRE(waiting.emplace(*id, now + time_left).second);
                }
            } else if (choice < 14) {
                const std::optional<fair_queue::entry_id> id = pop();
                if (id) {
                    REQUIRE(waiting.count(*id) == 1);
                    REQUIRE(waiting[*id] > now);
                    waiting.erase(*id);
                } else {
                    REQUIRE(waiting.size() == expired.size());
                }
            } else if (choice == 14 && !waiting.empty()) {
                const fair_queue::entry_id id = waiting.begin()->first;
                REQUIRE(queue.remove(id));
                REQUIRE_FALSE(queue.remove(id));
                waiting.erase(id);
            } else if (step % 64 == 0) {
                queue.expire(now, expired);
            }
            for (const fair_queue::entry_id id : expired) {
                REQUIRE(waiting[id] <= now);
                waiting.erase(id);
                ++expired_count;
            }
            REQUIRE(queue.size() == waiting.size());
            REQUIRE(queue.size() <= 64);
        }
        CHECK(refused > 100);
        CHECK(expired_count > 100);
    }
}

// Guards against queueing requests that can't be served before their deadline.
TEST_CASE_FIXTURE(queue_fixture, "push_expected_wait_after_deadline_is_refused_at_once") {
    queue = fair_queue{{.execution_reserve = duration{0}, .initial_service_rate = 100.0}};
    queue.set_team("wheel", 1.0);
    queue.set_team("hub", 1.0);
    for (int request = 0; request < 10; ++request) {
        REQUIRE(push("wheel"));
    }
    CHECK(queue.expected_wait("wheel") == milliseconds{100});
    CHECK_FALSE(push("wheel", milliseconds{99}));
    CHECK(reason.code == error_code::deadline_exceeded);
    CHECK(push("wheel", milliseconds{100}));
    // The other team does not wait behind these requests.
    CHECK(push("hub", milliseconds{1}));
    CHECK_FALSE(push("hub", duration{0}));
    CHECK_FALSE(push("rim"));
    CHECK(reason.code == error_code::unknown_team);
}

// Guards against dequeueing a request so late that its response would miss the deadline.
TEST_CASE_FIXTURE(queue_fixture, "pop_within_the_execution_reserve_expires_the_request") {
    queue.set_team("wheel", 1.0);
    REQUIRE(push("wheel", milliseconds{100}));
    const std::optional<fair_queue::entry_id> late = push("wheel", milliseconds{100});
    now += milliseconds{79};
    CHECK(pop());
    now += milliseconds{1};
    CHECK_FALSE(pop());
    CHECK(expired == ids{*late});
    // With a short deadline the reserve is half of the time left.
    REQUIRE(push("wheel", milliseconds{10}));
    now += milliseconds{4};
    CHECK(pop());
}

// Guards against the estimate staying at the initial rate when the resource is slower.
TEST_CASE_FIXTURE(queue_fixture, "service_rate_follows_the_pops_while_requests_wait") {
    queue.set_team("wheel", 1.0);
    for (int request = 0; request < 500; ++request) {
        REQUIRE(push("wheel", seconds{100000}));
    }
    for (int request = 0; request < 400; ++request) {
        now += milliseconds{10};
        REQUIRE(pop());
    }
    CHECK(queue.service_rate() == doctest::Approx(100.0).epsilon(0.05));
    // A stalled resource does not lower the estimate below the minimum.
    for (int request = 0; request < 90; ++request) {
        now += seconds{60};
        REQUIRE(push("wheel", seconds{100000}));
        REQUIRE(pop());
    }
    CHECK(queue.service_rate() == doctest::Approx(20.0));
}

// Guards against flooding teams filling the queue and keeping other teams out.
TEST_CASE_FIXTURE(queue_fixture, "push_three_flooding_teams_leave_room_for_a_fourth") {
    queue = fair_queue{{.max_length = 100, .max_team_length = 100}};
    for (const std::string_view team : {"a", "b", "c", "d"}) {
        queue.set_team(team, 1.0);
    }
    for (int round = 0; round < 200; ++round) {
        static_cast<void>(push("a"));
        static_cast<void>(push("b"));
        static_cast<void>(push("c"));
    }
    CHECK(reason.code == error_code::queue_full);
    int admitted = 0;
    while (push("d")) {
        ++admitted;
    }
    CHECK(admitted >= 10);
}

// Guards against an idle team accumulating credit, and against weights that have no effect.
TEST_CASE_FIXTURE(queue_fixture, "pop_team_back_from_idle_gets_no_more_than_its_share") {
    queue.set_team("steady", 1.0);
    queue.set_team("bursty", 3.0);
    for (int request = 0; request < 200; ++request) {
        REQUIRE(push("steady"));
    }
    for (int request = 0; request < 100; ++request) {
        REQUIRE(pop());
    }
    for (int request = 0; request < 100; ++request) {
        REQUIRE(push("bursty"));
    }
    for (int request = 0; request < 80; ++request) {
        REQUIRE(pop());
    }
    CHECK(served("bursty") == doctest::Approx(60.0).epsilon(0.05));
    CHECK(served("steady") == doctest::Approx(120.0).epsilon(0.05));
    CHECK_FALSE(queue.remove_team("steady"));
    while (pop()) {
    }
    CHECK(queue.remove_team("steady"));
    CHECK(queue.team_stats().size() == 1);
}
