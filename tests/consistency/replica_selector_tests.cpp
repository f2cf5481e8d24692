#include "gentianhill/consistency/replica_selector.h"
#include "gentianhill/consistency/replication_rate.h"
#include "gentianhill/consistency/session_token.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace gentianhill;

namespace {

using std::chrono::milliseconds;

struct selector_fixture {
    std::array<instance_report, 3> reports;
    std::array<read_candidate, 3> candidates;
    read_request request;
    replica_selector_settings settings;
    replica_selector selector{settings};

    selector_fixture() {
        const std::array<std::string_view, 3> names{"primary", "near", "far"};
        const std::array<std::string_view, 3> zones{"kyushu-c", "kyushu-a", "kyushu-b"};
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            reports[index].last_entry = {1, 100};
            candidates[index].instance = names[index];
            candidates[index].zone = zones[index];
            candidates[index].report = &reports[index];
            candidates[index].age = milliseconds{40};
            candidates[index].entries_per_second = 100.0;
        }
        candidates[0].is_primary = true;
        request.zone = "kyushu-a";
        request.now = time_point{std::chrono::seconds{10}};
        request.deadline = request.now + std::chrono::seconds{1};
        for (instance_report& report : reports) {
            report.received_at = request.now;
        }
    }

    read_decision choose() const { return selector.choose(request, candidates); }
    error_code refused() const { return std::get<refuse_read>(choose()).reason.code; }
};

} // namespace

// Guards against reads from other zones or the primary although a replica in the own zone can serve them.
TEST_CASE_FIXTURE(selector_fixture, "choose_all_eligible_prefers_own_zone_then_low_load") {
    CHECK(std::get<use_replica>(choose()).index == 1);
    candidates[1].load = 0.9;
    CHECK(std::get<use_replica>(choose()).index == 2);
    candidates[2].load = 5.0;
    candidates[1].load = 5.0;
    CHECK(std::get<use_primary>(choose()).index == 0);
}

// Guards against reads at instances that are leaving, unreachable or without state.
TEST_CASE_FIXTURE(selector_fixture, "choose_unavailable_instance_is_never_chosen") {
    candidates[1].leaving = true;
    CHECK(std::get<use_replica>(choose()).index == 2);
    candidates[2].reachable = false;
    CHECK(std::get<use_primary>(choose()).index == 0);
    reports[0].leaving = true;
    CHECK(refused() == error_code::no_eligible_instance);
    candidates[1].leaving = false;
    reports[1].initialised = false;
    CHECK(refused() == error_code::no_eligible_instance);
}

// Guards against reads that fail when a daemon has just started and has no reports yet, and against reads at
// an instance without a report.
TEST_CASE_FIXTURE(selector_fixture, "choose_instances_without_report_waits_for_the_first_report") {
    for (read_candidate& candidate : candidates) {
        candidate.report = nullptr;
    }
    CHECK(std::holds_alternative<wait_for_replica>(choose()));
    request.now = request.deadline - milliseconds{10};
    CHECK(refused() == error_code::no_eligible_instance);
}

// Guards against waits that are longer than the gap requires, and against reads that go to the primary too
// early.
TEST_CASE_FIXTURE(selector_fixture, "choose_replicas_behind_waits_by_gap_and_rate") {
    request.required_position = {1, 103};
    reports[2].last_entry = {1, 101};
    const wait_for_replica wait = std::get<wait_for_replica>(choose());
    CHECK(wait.index == 2);
    CHECK(wait.limit == milliseconds{30});
    // At a low entry rate, the age of the data limits the estimate.
    candidates[2].entries_per_second = 1.0;
    candidates[1].entries_per_second = 1.0;
    CHECK(std::get<wait_for_replica>(choose()).limit == milliseconds{60});
}

// Guards against a wait that exceeds max_wait or the deadline.
TEST_CASE_FIXTURE(selector_fixture, "choose_catch_up_too_far_away_uses_the_primary") {
    request.required_position = {1, 200};
    candidates[1].age = candidates[2].age = std::chrono::seconds{2};
    CHECK(std::get<use_primary>(choose()).index == 0);
    request.required_position = {1, 110};
    CHECK(std::get<wait_for_replica>(choose()).limit == milliseconds{150});
    request.waited = milliseconds{160};
    CHECK(std::get<use_primary>(choose()).index == 0);
    request.waited = duration{0};
    request.deadline = request.now + milliseconds{100};
    CHECK(std::get<use_primary>(choose()).index == 0);
}

// Guards against replicas whose reports are never requested again because all reads go to the primary.
TEST_CASE_FIXTURE(selector_fixture, "choose_stale_reports_waits_briefly_for_newer_ones") {
    request.required_position = {1, 5000};
    candidates[1].age = candidates[2].age = std::chrono::seconds{2};
    CHECK(std::get<use_primary>(choose()).index == 0);
    reports[2].received_at = request.now - settings.report_stale_after;
    const wait_for_replica wait = std::get<wait_for_replica>(choose());
    CHECK(wait.index == 2);
    CHECK(wait.limit <= milliseconds{10});
    request.waited = wait.limit;
    CHECK(std::get<use_primary>(choose()).index == 0);
    request.waited = duration{0};
    candidates[2].report = nullptr;
    CHECK(std::get<wait_for_replica>(choose()).index == 2);
    request.waited = wait.limit;
    CHECK(std::get<use_primary>(choose()).index == 0);
}

// Guards against reads that fail although a replica could catch up before the deadline.
TEST_CASE_FIXTURE(selector_fixture, "choose_without_primary_waits_up_to_the_deadline") {
    candidates[0].reachable = false;
    request.required_position = {1, 200};
    candidates[1].age = candidates[2].age = std::chrono::seconds{2};
    CHECK(std::get<wait_for_replica>(choose()).limit == milliseconds{980});
    request.primary_only = true;
    CHECK(refused() == error_code::no_primary);
    request.now = request.deadline;
    CHECK(refused() == error_code::deadline_exceeded);
}

// Guards against data older than the caller accepts, or of unknown age.
TEST_CASE_FIXTURE(selector_fixture, "choose_data_too_old_is_not_served") {
    request.max_age = milliseconds{30};
    candidates[0].age = milliseconds{5};
    CHECK(std::get<use_primary>(choose()).index == 0);
    candidates[2].age = milliseconds{30};
    CHECK(std::get<use_replica>(choose()).index == 2);
    candidates[2].age.reset();
    candidates[0].reachable = false;
    CHECK(std::holds_alternative<wait_for_replica>(choose()));
    request.now = request.deadline - milliseconds{10};
    CHECK(refused() == error_code::no_eligible_instance);
}

// Guards against serving a session whose position is not in the current history, or letting it wait.
TEST_CASE_FIXTURE(selector_fixture, "choose_session_of_another_history_is_refused") {
    request.required_position = {1, 150};
    for (instance_report& report : reports) {
        report.last_entry = {2, 200};
        report.term_start = 120;
    }
    CHECK(refused() == error_code::token_ahead_of_history);
}

// Guards against waiting for a new report of the primary after a write through another daemon.
TEST_CASE_FIXTURE(selector_fixture, "choose_primary_with_older_report_of_the_term_is_used") {
    request.required_position = {1, 5000};
    candidates[1].age = candidates[2].age = std::chrono::seconds{2};
    CHECK(std::get<use_primary>(choose()).index == 0);
    request.required_position = {2, 5000};
    CHECK(std::holds_alternative<wait_for_replica>(choose()));
}

// Guards against choosing an instance that must not serve the read, with random states.
TEST_CASE_FIXTURE(selector_fixture, "choose_random_states_uses_eligible_replicas_only") {
    std::mt19937_64 random{23};
    int served = 0;
    for (int round = 0; round < 20000; ++round) {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            reports[index].last_entry = {1 + random() % 3, random() % 20};
            reports[index].term_start = random() % 20;
            candidates[index].leaving = random() % 4 == 0;
            candidates[index].reachable = random() % 4 != 0;
            candidates[index].load = static_cast<double>(random() % 4);
            candidates[index].age = milliseconds{random() % 100};
        }
        request.required_position = {1 + random() % 3, random() % 20};
        request.max_age = milliseconds{random() % 100};
        const read_decision decision = choose();
        if (const use_replica* chosen = std::get_if<use_replica>(&decision)) {
            const read_candidate& candidate = candidates[chosen->index];
            ++served;
            REQUIRE(check_eligibility(*candidate.report, request.required_position) == eligibility::eligible);
            REQUIRE((candidate.reachable && !candidate.leaving && !candidate.is_primary));
            REQUIRE(*candidate.age <= *request.max_age);
        } else if (const wait_for_replica* wait = std::get_if<wait_for_replica>(&decision)) {
            REQUIRE((wait->limit > duration{0} && request.now + wait->limit < request.deadline));
            REQUIRE(!candidates[wait->index].leaving);
        }
    }
    CHECK(served > 1000);
}

// Guards against a rate that follows single reports, becomes negative or is divided by a zero interval.
TEST_CASE_FIXTURE(selector_fixture, "replication_rate_steady_reports_converge_to_their_rate") {
    replication_rate rate;
    instance_report report;
    for (int step = 1; step <= 500; ++step) {
        report.last_entry.position += 5;
        report.received_at += milliseconds{10};
        rate.observe(report);
        rate.observe(report);
    }
    CHECK(rate.entries_per_second() == doctest::Approx(500.0));
    report.last_entry.position = 3;
    report.received_at += milliseconds{10};
    rate.observe(report);
    CHECK(rate.entries_per_second() == 0.0);
}
