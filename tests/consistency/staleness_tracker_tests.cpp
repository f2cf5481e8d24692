#include "gentianhill/consistency/staleness_tracker.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace gentianhill;

namespace {

constexpr time_point at(int milliseconds) {
    return time_point{} + std::chrono::milliseconds{milliseconds};
}
constexpr duration ms(int count) {
    return std::chrono::milliseconds{count};
}

} // namespace

// Guards against answers of a partitioned, superseded primary that make old data appear current.
TEST_CASE("staleness_tracker_samples_after_majority_time_do_not_lower_age") {
    staleness_tracker tracker{{}};
    tracker.add_sample({1, 5}, at(10));
    CHECK_FALSE(tracker.age({1, 5}, at(20)).has_value());
    tracker.set_majority_seen(1, at(8));
    CHECK(tracker.age({1, 5}, at(20)) == ms(12));
    tracker.add_sample({1, 5}, at(500));
    CHECK(tracker.age({1, 5}, at(600)) == ms(592));
    CHECK_FALSE(tracker.age({1, 4}, at(600)).has_value());
}

// Guards against samples of an older term whose time advances after a majority accepted a newer term.
TEST_CASE("staleness_tracker_new_term_freezes_samples_of_the_old_one") {
    staleness_tracker tracker{{}};
    tracker.set_majority_seen(1, at(30));
    tracker.add_sample({1, 5}, at(10));
    tracker.add_sample({1, 6}, at(40));
    tracker.add_sample({2, 7}, at(60));
    tracker.set_majority_seen(1, at(90));
    tracker.add_sample({1, 6}, at(90));
    CHECK(tracker.age({1, 6}, at(100)) == ms(70));
    CHECK(tracker.age({1, 5}, at(100)) == ms(90));
    CHECK(tracker.age({2, 7}, at(100)) == ms(70));
    tracker.set_majority_seen(2, at(70));
    CHECK(tracker.age({2, 7}, at(100)) == ms(40));
}

// Guards against dropped or merged samples that lower a reported age; compares it with all samples.
TEST_CASE("staleness_tracker_random_samples_age_is_never_too_low") {
    std::mt19937 random{7};
    staleness_tracker tracker{{16, ms(2)}};
    struct known {
        std::uint64_t position;
        int sent_ms;
    };
    std::vector<known> all;
    std::uint64_t position = 1;
    tracker.set_majority_seen(1, at(100000));
    for (int now = 1; now < 4000; ++now) {
        position += random() % 3;
        const int sent = now - static_cast<int>(random() % 4);
        tracker.add_sample({1, position}, at(sent));
        all.push_back(known{position, sent});
        CHECK(tracker.size() <= 16);
        const std::uint64_t asked = position - random() % position;
        int latest = -1;
        for (const known& entry : all) {
            latest = entry.position <= asked && entry.sent_ms > latest ? entry.sent_ms : latest;
        }
        const std::optional<duration> age = tracker.age({1, asked}, at(now));
        if (age) {
            REQUIRE(latest >= 0);
            REQUIRE(*age >= ms(now - latest));
        }
    }
    CHECK(tracker.age({1, position}, at(4000)) <= ms(10));
}
