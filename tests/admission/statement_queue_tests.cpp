#include "gentianhill/admission/statement_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t writers = 1;
constexpr std::int64_t readers = 2;

struct statement_queue_fixture {
    time_point now{100s};
    statement_queue queue{{4096}};
    std::map<statement_queue::entry_id, std::string> labels;

    statement_queue::entry_id push(const std::string& team, std::int64_t priority = readers,
                                   duration target = 300ms, duration timeout = 800ms,
                                   statement_lane lane = statement_lane::any_instance) {
        const statement_queue::push_result result =
            queue.push({priority, team, lane, now + target, now + timeout, 10.0}, now);
        REQUIRE(result.added);
        labels[*result.added] = team;
        return *result.added;
    }

    /// Serves one statement; empty if none waits.
    std::string serve() {
        std::string served;
        queue.offer(now, [this, &served](statement_queue::entry_id id) {
            if (!served.empty()) {
                return offer_result::lane_is_full;
            }
            served = labels.at(id);
            return offer_result::left_queue;
        });
        return served;
    }

    /// Waits at one statement per 10 ms.
    static duration wait(statement_lane, std::size_t ahead) {
        return std::chrono::milliseconds(10 * (ahead + 1));
    }
};

} // namespace

// Load: one team at 7 times its usual rate. Guards against the other teams waiting behind its backlog.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_one_team_at_seven_times_serves_others_at_once") {
    std::map<std::string, int> served;
    for (int step = 0; step < 400; ++step) {
        for (int arrival = 0; arrival < 7; ++arrival) {
            push("hot", readers, 60s, 60s);
        }
        if (step % 4 == 0) {
            for (const char* team : {"a", "b", "c"}) {
                push(team, readers, 60s, 60s);
            }
        }
        ++served[serve()];
        now += 10ms;
    }
    // Each of four teams may use a quarter; three ask for a quarter each and get it.
    CHECK(served["hot"] == doctest::Approx(100).epsilon(0.05));
    for (const char* team : {"a", "b", "c"}) {
        CHECK(served[team] == doctest::Approx(100).epsilon(0.05));
    }
}

// Guards against a team that was idle claiming the service that it did not ask for.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_team_after_a_pause_gets_no_more_than_its_share") {
    for (int step = 0; step < 50; ++step) {
        push("busy", readers, 60s, 60s);
        serve();
    }
    for (int step = 0; step < 20; ++step) {
        push("busy", readers, 60s, 60s);
        push("paused", readers, 60s, 60s);
    }
    int of_paused = 0;
    for (int step = 0; step < 20; ++step) {
        of_paused += serve() == "paused" ? 1 : 0;
    }
    CHECK(of_paused == doctest::Approx(10).epsilon(0.11));
}

TEST_CASE_FIXTURE(statement_queue_fixture, "offer_teams_with_weights_divides_service_by_weight") {
    queue.set_weight("heavy", 3.0);
    for (int step = 0; step < 80; ++step) {
        push("heavy", readers, 60s, 60s);
        push("light", readers, 60s, 60s);
    }
    int of_heavy = 0;
    for (int step = 0; step < 40; ++step) {
        of_heavy += serve() == "heavy" ? 1 : 0;
    }
    CHECK(of_heavy == doctest::Approx(30).epsilon(0.05));
}

// Load: readers of low worth at 2.5 times beside few writers. Guards against a writer waiting for readers.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_readers_at_two_and_a_half_times_serves_writers_first") {
    int late_writers = 0;
    for (int step = 0; step < 300; ++step) {
        push("", readers);
        push("", readers);
        if (step % 2 == 0) {
            push("", readers);
        }
        if (step % 10 == 0) {
            const statement_queue::entry_id writer = push("", writers);
            labels[writer] = "writer";
        }
        late_writers += serve() == "writer" || step % 10 != 0 ? 0 : 1;
        now += 10ms;
        for (const statement_queue::entry_id id : queue.find_unservable(now, wait)) {
            queue.remove(id);
        }
    }
    CHECK(late_writers == 0);
    CHECK(queue.size() < 100);
}

// Load: all daemons restarted at full load. Guards against serving the oldest statements, which are late
// already, so that each later one is late too.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_backlog_beyond_target_serves_those_in_time_first") {
    push("late", readers, 100ms, 800ms);
    now += 150ms;
    push("in_time", readers, 100ms, 800ms);
    CHECK(serve() == "in_time");
    CHECK(serve() == "late");
}

// Guards against connections that stay free because the first statement waits for something else.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_first_waits_for_primary_serves_others") {
    const statement_queue::entry_id write = push("write", writers, 300ms, 800ms, statement_lane::primary);
    push("read");
    std::vector<std::string> offered;
    queue.offer(now, [&](statement_queue::entry_id id) {
        offered.push_back(labels.at(id));
        return id == write ? offer_result::waits : offer_result::left_queue;
    });
    CHECK(offered == std::vector<std::string>{"write", "read"});
    CHECK(queue.size() == 1);
    CHECK(serve() == "write");
}

// Guards against a scan of the whole queue for each answer while all connections are in use.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_full_lane_offers_once") {
    for (int count = 0; count < 100; ++count) {
        push("");
    }
    int offers = 0;
    queue.offer(now, [&offers](statement_queue::entry_id) {
        ++offers;
        return offer_result::lane_is_full;
    });
    CHECK(offers == 1);
}

// Guards against a team whose connections are in use keeping those of other teams free, and against a scan of
// all its statements.
TEST_CASE_FIXTURE(statement_queue_fixture, "offer_full_team_offers_once_and_goes_on_with_others") {
    for (int count = 0; count < 50; ++count) {
        push("hot");
    }
    push("small");
    std::vector<std::string> offered;
    for (int answer = 0; answer < 2; ++answer) {
        queue.offer(now, [&](statement_queue::entry_id id) {
            offered.push_back(labels.at(id));
            return labels.at(id) == "hot" ? offer_result::team_is_full : offer_result::left_queue;
        });
    }
    CHECK(offered == std::vector<std::string>{"hot", "small", "hot"});
}

// Guards against an endless queue, and against low worth that keeps high worth out.
TEST_CASE_FIXTURE(statement_queue_fixture, "push_full_queue_displaces_lowest_priority") {
    queue = statement_queue({3});
    const statement_queue::entry_id first = push("", readers);
    push("", readers);
    const statement_queue::entry_id last = push("", readers);
    CHECK(!queue.push({readers, "", statement_lane::any_instance, now, now, 1.0}, now).added);
    const statement_queue::push_result result =
        queue.push({writers, "", statement_lane::primary, now + 1s, now + 1s, 1.0}, now);
    CHECK(result.added);
    REQUIRE(result.displaced);
    CHECK(*result.displaced == last);
    CHECK(queue.remove(first));
    CHECK(!queue.remove(last));
}

// Load: one team at 7 times. Guards against a flood that keeps the other teams out of a full queue.
TEST_CASE_FIXTURE(statement_queue_fixture, "push_full_queue_displaces_team_with_longest_line") {
    queue = statement_queue({4});
    push("small");
    push("hot");
    push("hot");
    const statement_queue::entry_id last = push("hot");
    CHECK(!queue.push({readers, "hot", statement_lane::any_instance, now + 1s, now + 1s, 1.0}, now).added);
    const statement_queue::push_result result =
        queue.push({readers, "other", statement_lane::any_instance, now + 1s, now + 1s, 1.0}, now);
    CHECK(result.added);
    CHECK(result.displaced == std::optional(last));
}

// Guards against statements that are held although it is known that they can't be served.
TEST_CASE_FIXTURE(statement_queue_fixture, "find_unservable_names_only_those_that_start_too_late") {
    std::vector<statement_queue::entry_id> ids;
    ids.reserve(100);
    for (int count = 0; count < 100; ++count) {
        ids.push_back(push("", readers, 300ms, 805ms));
    }
    const std::vector<statement_queue::entry_id> unservable = queue.find_unservable(now, wait);
    CHECK(unservable.size() == 20);
    CHECK(*std::min_element(unservable.begin(), unservable.end()) == ids[80]);
}

// Load: readers at 2.5 times for seconds. Guards against late statements that are held until their timeout,
// although those in time take every connection.
TEST_CASE_FIXTURE(statement_queue_fixture,
                  "find_unservable_without_spare_connections_names_late_statements") {
    for (int step = 0; step < 60; ++step) {
        push("", readers, 100ms, 800ms);
        push("", readers, 100ms, 800ms);
        serve();
        now += 10ms;
    }
    for (const statement_queue::entry_id id : queue.find_unservable(now, wait)) {
        queue.remove(id);
    }
    CHECK(queue.size() <= 11);
}

// Load: idle transactions hold every connection. Guards against a stall being taken for others that are
// served.
TEST_CASE_FIXTURE(statement_queue_fixture, "find_unservable_while_nothing_is_served_keeps_late_statements") {
    for (int count = 0; count < 20; ++count) {
        push("", readers, 100ms, 800ms);
    }
    now += 400ms;
    CHECK(queue.find_unservable(now, wait).empty());
}

// Guards against the refusal of late statements that the next lull serves.
TEST_CASE_FIXTURE(statement_queue_fixture, "find_unservable_after_spare_connections_keeps_late_statements") {
    for (int count = 0; count < 20; ++count) {
        push("", readers, 100ms, 800ms);
    }
    now += 150ms;
    serve();
    CHECK(queue.find_unservable(now, wait).empty());
}

// Guards against the refusal of a small team's statement because of another team's backlog.
TEST_CASE_FIXTURE(statement_queue_fixture, "ahead_of_small_team_counts_its_share_of_backlog") {
    for (int count = 0; count < 500; ++count) {
        push("hot");
    }
    const queued_statement small{readers, "small", statement_lane::any_instance, now + 300ms, now + 800ms, 1};
    const queued_statement hot{readers, "hot", statement_lane::any_instance, now + 300ms, now + 800ms, 1};
    const queued_statement writer{writers, "hot", statement_lane::any_instance, now + 300ms, now + 800ms, 1};
    CHECK(queue.ahead_of(small, now) == 1);
    CHECK(queue.ahead_of(hot, now) == 500);
    CHECK(queue.ahead_of(writer, now) == 0);
}
