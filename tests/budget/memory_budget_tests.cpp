#include "gentianhill/budget/memory_holder.h"
#include "gentianhill/budget/process_limits.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// A connection that asks for memory as the client listener does.
struct stub_connection {
    memory_holder holder;
    bool has_room = false;
    std::optional<eviction_cause> evicted;

    stub_connection(memory_budget& budget, time_point now) : holder(budget, now) {
        holder.on_room = [this] { has_room = true; };
        holder.on_evicted = [this](eviction_cause cause) {
            evicted = cause;
            holder.set(memory_use::input, 0);
        };
    }
};

struct memory_budget_fixture {
    static constexpr std::size_t large_bytes = 1'000'000;

    memory_budget_settings settings = make_settings();
    memory_budget budget{settings};
    time_point now = time_point(1h);
    std::vector<std::unique_ptr<stub_connection>> connections;

    static memory_budget_settings make_settings() {
        memory_budget_settings result;
        result.total_bytes = 10'000'000;
        result.message_cost_bytes = 5'000'000;
        return result;
    }
    stub_connection& connect() {
        connections.push_back(std::make_unique<stub_connection>(budget, now));
        return *connections.back();
    }
    /// Grows the input by a step; false if it has to wait.
    static bool grow(stub_connection& connection, std::size_t bytes) {
        const bool may = connection.holder.may_grow(bytes);
        if (may) {
            connection.holder.set(memory_use::input, connection.holder.held(memory_use::input) + bytes);
        }
        return may;
    }
};

} // namespace

// Guards against large messages of many clients that together take the memory of the host.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_growth_beyond_free_part_waits_except_for_granted") {
    std::size_t grown = 0;
    for (int i = 0; i < 20; ++i) {
        grown += grow(connect(), large_bytes) ? 1 : 0;
    }
    // Five fit into the free half; a sixth is granted the reserve.
    CHECK(grown == 6);
    CHECK(budget.waiting() == 14);
    CHECK(budget.used() <= settings.total_bytes);
}

// Guards against messages that arrive in part and wait for each other's memory for ever.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_many_growing_holders_all_finish") {
    for (int i = 0; i < 30; ++i) {
        connect();
    }
    constexpr int steps_needed = 4;
    std::vector<int> steps(connections.size(), 0);
    std::size_t finished = 0;
    for (int round = 0; round < 1000 && finished < connections.size(); ++round) {
        for (std::size_t i = 0; i < connections.size(); ++i) {
            stub_connection& connection = *connections[i];
            if (steps[i] < steps_needed && !connection.holder.is_waiting() && grow(connection, large_bytes)) {
                connection.holder.note_progress(now);
                if (++steps[i] == steps_needed) {
                    ++finished;
                    connection.holder.set(memory_use::input, 0);
                }
            }
        }
        CHECK(budget.used() <= settings.total_bytes);
        now += 25ms;
        budget.tick(now);
    }
    CHECK(finished == connections.size());
}

// Guards against a client that sends half a message and falls silent while others wait for its memory.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_silent_holder_is_evicted_only_while_others_wait") {
    stub_connection& silent = connect();
    REQUIRE(grow(silent, 4 * large_bytes));
    now += 10s;
    budget.tick(now);
    CHECK_FALSE(silent.evicted.has_value());
    stub_connection& granted = connect();
    REQUIRE(grow(granted, 2 * large_bytes));
    stub_connection& next = connect();
    CHECK_FALSE(grow(next, 2 * large_bytes));
    budget.tick(now);
    CHECK(silent.evicted == eviction_cause::stalled);
    CHECK(next.has_room);
    CHECK_FALSE(granted.evicted.has_value());
}

// Guards against calm clients that pay for those that hold the most.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_excess_evicts_largest_idle_holder_first") {
    stub_connection& calm = connect();
    stub_connection& active = connect();
    stub_connection& idle = connect();
    calm.holder.set(memory_use::input, 10'000);
    active.holder.set(memory_use::output, 6'000'000);
    idle.holder.set(memory_use::output, 5'000'000);
    now += 1s;
    calm.holder.note_progress(now);
    active.holder.note_progress(now);
    budget.tick(now);
    CHECK(idle.evicted == eviction_cause::memory_exceeded);
    CHECK_FALSE(active.evicted.has_value());
    CHECK_FALSE(calm.evicted.has_value());
}

// Guards against a small client that is refused because others fill the budget.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_small_holder_never_waits") {
    connect().holder.set(memory_use::output, settings.total_bytes);
    stub_connection& waits = connect();
    REQUIRE(grow(waits, large_bytes));
    CHECK_FALSE(grow(connect(), large_bytes));
    CHECK(grow(connect(), 1000));
}

// Guards against session values that no one bounds.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_session_state_is_bounded_per_session_and_in_total") {
    stub_connection& first = connect();
    CHECK(first.holder.may_keep(700'000));
    CHECK_FALSE(first.holder.may_keep(800'000));
    for (int i = 0; i < 4; ++i) {
        connect().holder.set(memory_use::session, 600'000);
    }
    CHECK_FALSE(first.holder.may_keep(600'000));
    CHECK(first.holder.may_keep(10'000));
}

// Guards against memory that stays counted after its connection has gone.
TEST_CASE_FIXTURE(memory_budget_fixture, "memory_budget_removed_holder_frees_its_memory") {
    connect().holder.set(memory_use::statements, large_bytes);
    connections.clear();
    CHECK(budget.used() == 0);
}

// Guards against limits that a client within the published limits would meet on the smallest hosts.
TEST_CASE("process_limits_smallest_host_holds_a_message_and_its_sessions") {
    const process_limits limits = process_limits::from(160, 4300);
    memory_budget_settings settings;
    settings.total_bytes = limits.client_memory_bytes;
    CHECK(settings.total_bytes / 2 >= settings.message_cost_bytes);
    // A value of the size of a message, kept twice.
    CHECK(settings.total_bytes / 100 * settings.session_percent >= 2 * ((std::size_t{1} << 20U) + 1024));
    CHECK(limits.client_connections >= 2000);
    CHECK(limits.client_connections + limits.peer_connections + limits.admin_connections + 200 < 4300);
}
