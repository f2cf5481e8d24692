#include "gentianhill/tickets/ticket_compaction.h"
#include "gentianhill/tickets/ticket_schema.h"
#include "gentianhill/tickets/ticket_state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace gentianhill;

namespace {

constexpr std::uint32_t seeds = 200;

ticket make_ticket(ticket_number number, const std::vector<std::string>& subjects, std::int64_t weight) {
    ticket result;
    result.number = number;
    result.author = "hana";
    for (const std::string& subject : subjects) {
        result.subjects.emplace(subject, team_subject{weight, std::nullopt});
    }
    return result;
}

// Tickets that overlap on a few subjects; some are removals and some share a number.
std::vector<ticket> random_tickets(std::mt19937& random) {
    std::vector<ticket> result;
    for (int i = 0; i < 30; ++i) {
        std::vector<std::string> subjects;
        for (const char* name : {"team/a", "team/b", "team/c", "team/d"}) {
            if (random() % 3 == 0) {
                subjects.emplace_back(name);
            }
        }
        ticket created =
            make_ticket(1 + random() % 25, subjects, static_cast<std::int64_t>(1 + random() % 1000));
        if (random() % 5 == 0) {
            for (std::pair<const std::string, ticket_subject>& subject : created.subjects) {
                subject.second = std::monostate{};
            }
        }
        result.push_back(std::move(created));
    }
    return result;
}

} // namespace

// Guards against daemons that end in different views, or a view that reverts, when tickets arrive in any
// order, repeatedly, directly or through relays.
TEST_CASE("ticket_state_any_order_repeats_and_relays_give_the_same_view") {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        std::vector<ticket> tickets = random_tickets(random);
        ticket_state expected;
        for (const ticket& item : tickets) {
            expected.apply(item);
        }
        ticket_state direct;
        ticket_state relay;
        std::map<std::string, ticket_number> before;
        std::shuffle(tickets.begin(), tickets.end(), random);
        for (std::size_t step = 0; step < 3 * tickets.size(); ++step) {
            const std::size_t index = step < tickets.size() ? step : random() % tickets.size();
            ticket_state& target = random() % 2 == 0 ? direct : relay;
            target.apply(tickets[index]);
            if (random() % 4 == 0) {
                error reason;
                REQUIRE(direct.merge(relay.export_newer_than(direct.numbers()), reason));
            }
            for (const std::pair<const std::string, ticket_number>& entry : direct.numbers()) {
                CHECK(entry.second >= before[entry.first]);
            }
            before = direct.numbers();
        }
        error reason;
        REQUIRE(direct.merge(relay.export_view(), reason));
        REQUIRE(relay.merge(direct.export_view(), reason));
        CHECK(direct.fingerprint() == expected.fingerprint());
        CHECK(relay.fingerprint() == expected.fingerprint());
        CHECK(direct.highest_number() == expected.highest_number());
    }
}

// Guards against a replayed old ticket that brings back an earlier state.
TEST_CASE("ticket_state_older_ticket_after_newer_changes_only_other_subjects") {
    ticket_state view;
    CHECK(view.apply(make_ticket(5, {"team/a"}, 500)).size() == 1);
    const ticket older = make_ticket(4, {"team/a", "team/b"}, 400);
    CHECK(view.apply(older) == std::vector<std::string>{"team/b"});
    CHECK(view.apply(older).empty());
    CHECK(view.team("a")->weight == 500);
    CHECK(view.superseded_by(4, "team/a") == 5);
    CHECK_FALSE(view.superseded_by(4, "team/b"));
    CHECK(view.is_applied(older));
    CHECK_FALSE(view.is_applied(make_ticket(6, {"team/a"}, 1)));
}

// Guards against a removed subject that an older ticket restores.
TEST_CASE("ticket_state_removed_subject_stays_removed") {
    ticket_state view;
    ticket removal = make_ticket(6, {"team/a"}, 1);
    removal.subjects["team/a"] = std::monostate{};
    view.apply(removal);
    view.apply(make_ticket(5, {"team/a"}, 500));
    CHECK(view.team("a") == nullptr);
    CHECK(view.numbers().at("team/a") == 6);
}

// Guards against a relay's invalid view being merged in part.
TEST_CASE("ticket_state_merge_with_invalid_entry_changes_nothing") {
    ticket_state view;
    error reason;
    const nlohmann::json exported{{"subjects",
                                   {{"team/a", {{"number", 1}, {"state", {{"weight", 10}}}}},
                                    {"team/b", {{"number", 2}, {"state", {{"weight", 0}}}}}}}};
    CHECK_FALSE(view.merge(exported, reason));
    CHECK(reason.field == "subjects[team/b].state.weight");
    CHECK(view.subjects().empty());
}

// Guards against deletion of a ticket that still determines a subject.
TEST_CASE("compactable_tickets_deleted_view_is_unchanged") {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        std::vector<ticket> tickets;
        for (ticket& item : random_tickets(random)) {
            item.number = tickets.size() + 1;
            tickets.push_back(std::move(item));
        }
        const std::vector<ticket_number> deleted = compactable_tickets(tickets, 3);
        CHECK(deleted.size() >= tickets.size() - 3 - 4);
        ticket_state full;
        ticket_state rest;
        for (const ticket& item : tickets) {
            full.apply(item);
            if (!std::binary_search(deleted.begin(), deleted.end(), item.number)) {
                rest.apply(item);
            }
        }
        CHECK(full.fingerprint() == rest.fingerprint());
    }
}
