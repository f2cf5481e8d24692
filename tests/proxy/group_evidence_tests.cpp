#include "gentianhill/proxy/database_group.h"

#include <doctest/doctest.h>

#include <deque>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Link whose status calls are answered by the test.
struct scripted_link : public instance_link {
    explicit scripted_link(std::string instance) : id(std::move(instance)) {
        send = [this](const instance_command& command) { commands.push_back(command.kind); };
    }

    std::string id;
    std::deque<command_kind> commands;
    bool is_open = false;
};

/// A group of a primary that answers and a replica that does not, so that only the zone can prove that the
/// primary leads.
struct group_fixture {
    time_point current{100s};
    logger log;
    metrics registry;
    proxy_counters counters{registry};
    std::vector<scripted_link*> links;
    instance_network network;
    std::unique_ptr<database_group> group;
    session_state session;
    std::vector<std::string> excluded;
    std::optional<time_point> asked_at;
    std::function<void(const std::optional<evidence_answer>&, time_point)> answer_zone;

    group_fixture() {
        log.sink = [](std::string_view) {};
        network.open = [this](const endpoint&, const std::string&, const std::string&,
                              const std::string& id) {
            std::unique_ptr<scripted_link> link = std::make_unique<scripted_link>(id);
            links.push_back(link.get());
            return link;
        };
        group = std::make_unique<database_group>("orders", network, log, counters, database_group_settings{},
                                                 [this] { return current; });
        group->set_limits({40, 1}, 1);
        for (const char* id : {"i-1", "i-2"}) {
            listed_instance listed;
            listed.id = id;
            listed.group = "orders";
            listed.claims_primary = listed.id == "i-1";
            listed.slots = 4;
            group->update_instance(listed);
        }
        for (int step = 0; step < 10 && group->primary_id().empty(); ++step) {
            answer_primary();
            current += 200ms;
            group->tick();
        }
        REQUIRE(group->primary_id() == "i-1");
        group->ask_zone = [this](const evidence_need&, const auto& done) {
            asked_at = current;
            answer_zone = done;
            return true;
        };
    }

    void answer_primary() {
        for (scripted_link* link : links) {
            if (link->id != "i-1") {
                continue;
            }
            if (!link->is_open) {
                link->is_open = true;
                link->on_open({});
            }
            while (!link->commands.empty()) {
                link->commands.pop_front();
                instance_answer answer;
                answer.status = instance_status{true, 1, {1, 5}, 0, 0, 0, 1};
                link->on_answer(answer);
            }
        }
    }
    [[nodiscard]] placement_wait wait_of_latest_read() {
        placement_query query;
        query.consistency = consistency_level::latest;
        query.begun_at = current;
        query.session = &session;
        query.excluded_instances = &excluded;
        const placement placed = group->place(query);
        if (placed.connection != nullptr) {
            group->return_connection(*placed.connection);
        }
        return placed.wait;
    }
    static evidence_answer make_answer(const std::string& primary, term_number term, duration trust_left) {
        evidence_answer answer;
        answer.daemon = "source";
        answer.primary = primary;
        answer.term = term;
        answer.trust_left = trust_left;
        return answer;
    }
    /// Asks the zone with a read, and answers after a delay.
    void read_and_answer(const evidence_answer& answer, duration delay) {
        REQUIRE(wait_of_latest_read() == placement_wait::no_evidence);
        REQUIRE(asked_at);
        const time_point question = *asked_at;
        current += delay;
        answer_zone(answer, question);
    }
};

} // namespace

// Guards against a daemon that ignores what its zone knows.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_of_the_zone_lets_a_read_run_at_the_primary") {
    read_and_answer(make_answer("i-1", 1, 500ms), 1ms);
    CHECK(wait_of_latest_read() != placement_wait::no_evidence);
    current += 500ms;
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
}

// Guards against trust that is counted from the arrival of an answer that was held up on the way: a promotion
// may have taken effect meanwhile.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_that_arrives_late_is_counted_from_the_question") {
    read_and_answer(make_answer("i-1", 1, 400ms), 450ms);
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
}

// Guards against trust in the next primary that is used for the former one.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_about_another_primary_or_term_is_not_used") {
    read_and_answer(make_answer("i-2", 2, 500ms), 1ms);
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
    current += 200ms;
    read_and_answer(make_answer("i-2", 1, 500ms), 1ms);
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
    current += 200ms;
    read_and_answer(make_answer("i-1", 0, 500ms), 1ms);
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
}

// Guards against a malformed answer that makes a daemon trust a primary for hours.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_with_more_trust_than_possible_is_not_used") {
    read_and_answer(make_answer("i-1", 1, 2h), 1ms);
    CHECK(wait_of_latest_read() == placement_wait::no_evidence);
}

// Guards against membership that is settled by a daemon that does not know of the restore of the store yet.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_of_an_earlier_era_settles_no_members") {
    group->begin_era(2, current);
    evidence_answer answer = make_answer("i-1", 1, 500ms);
    answer.settled_members = group->member_keys();
    answer.settled_era = 1;
    read_and_answer(answer, 1ms);
    CHECK(!group->is_settled());
    current += 800ms;
    answer.settled_era = 2;
    read_and_answer(answer, 1ms);
    CHECK(group->is_settled());
}

// Guards against membership that is taken for settled although the source knows other members.
TEST_CASE_FIXTURE(group_fixture, "group_evidence_settles_equal_members_only") {
    evidence_answer answer = make_answer("i-1", 1, 500ms);
    answer.settled_members = {"i-1@0", "i-3@0"};
    read_and_answer(answer, 1ms);
    CHECK(!group->is_settled());
    current += 800ms;
    answer.settled_members = group->member_keys();
    read_and_answer(answer, 1ms);
    CHECK(group->is_settled());
}
