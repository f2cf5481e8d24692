#include "gentianhill/failover/fenced_promotion.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Runs a promotion of a group with primary p and replicas a and b in simulated time.
struct promotion_fixture {
    time_point current{100s};
    std::optional<stored_object> object;
    std::uint64_t revision = 0;
    metadata_store store;
    logger log;
    std::unique_ptr<duty_lease> lease;
    std::vector<std::pair<time_point, std::function<void()>>> scheduled;

    std::map<std::string, instance_status> statuses;
    /// Instances that answer nothing.
    std::set<std::string> silent;
    /// Members whose entries have lapsed.
    std::vector<promotion_member> departed;
    /// Instances that answer nothing after their fence.
    std::set<std::string> silent_after_fence;
    bool b_is_leaving = false;
    /// The list of the daemon that promotes, or the present one, says that a leaves.
    bool a_is_listed_as_leaving = false;
    bool a_leaves = false;
    /// Whether p has answered that it led the newest term, whether its entry still claims the lead, and its
    /// answer, if it answers.
    bool p_has_led = true;
    bool p_claims_primary = true;
    std::optional<instance_status> p_status;
    const std::string leader{"p"};
    std::string known_primary = leader;
    term_number known_term = 4;
    std::vector<std::string> fenced;
    /// Departed instances that count as ended.
    std::set<std::string> ended;
    /// Instances that do not answer an unfence request.
    std::set<std::string> unfence_unanswered;
    std::vector<std::string> unfenced;
    std::vector<promotion_call_result> call_outcomes{promotion_call_result::accepted};
    std::size_t calls = 0;
    std::function<void()> on_call;
    std::optional<fenced_promotion_outcome> end;
    log_position settled_position;

    promotion_fixture() {
        log.sink = [](std::string_view) {};
        store.get = [this](store_collection, const std::string&, const metadata_store::handler& done) {
            store_answer answer;
            answer.object = object;
            answer.outcome = object ? store_outcome::done : store_outcome::not_found;
            done(answer);
        };
        store.put = [this](store_collection, const stored_object& written,
                           const metadata_store::handler& done) {
            object = written;
            object->revision = ++revision;
            store_answer answer;
            answer.outcome = store_outcome::done;
            answer.object = object;
            done(answer);
        };
        lease = std::make_unique<duty_lease>(store, log, duty_lease_settings{}, "daemon", "1");
        lease->now = [this] { return current; };
        for (const char* id : {"a", "b"}) {
            statuses[id].term = 4;
            statuses[id].log_end = {4, 100};
        }
    }

    fenced_promotion_hooks make_hooks() {
        fenced_promotion_hooks hooks;
        hooks.ask_status = [this](const std::string& id, const fenced_promotion_hooks::answer_handler& done) {
            if (id == "p") {
                done(p_status ? std::optional(member_answer{1, *p_status}) : std::nullopt);
                return;
            }
            const bool is_silent =
                silent.count(id) > 0 || (silent_after_fence.count(id) > 0 && statuses[id].fenced_term > 0);
            done(is_silent ? std::nullopt : std::optional(member_answer{1, statuses[id]}));
        };
        hooks.fence = [this](const std::string& id, term_number term,
                             const fenced_promotion_hooks::answer_handler& done) {
            fenced.push_back(id);
            if (id == "p") {
                if (p_status) {
                    p_status->fenced_term = term;
                }
                done(p_status ? std::optional(member_answer{1, *p_status}) : std::nullopt);
                return;
            }
            if (silent.count(id) > 0) {
                done(std::nullopt);
                return;
            }
            if (statuses[id].term < term) {
                statuses[id].fenced_term = term;
            }
            done(member_answer{1, statuses[id]});
        };
        hooks.unfence = [this](const std::string& id, const fenced_promotion_hooks::answer_handler& done) {
            unfenced.push_back(id);
            if (unfence_unanswered.count(id) > 0) {
                done(std::nullopt);
                return;
            }
            statuses[id].fenced_term = 0;
            done(member_answer{1, statuses[id]});
        };
        hooks.step_down = [](const std::string&, term_number) {};
        hooks.list_members =
            [this](const std::function<void(const std::optional<std::vector<promotion_member>>&)>& done) {
                done(std::vector<promotion_member>{
                    {"p", false, p_claims_primary}, {"a", a_leaves}, {"b", b_is_leaving}});
            };
        hooks.has_ended = [this](const std::string& id) { return ended.count(id) > 0; };
        hooks.has_led = [this](const std::string& id) { return id == "p" && p_has_led; };
        hooks.known_term = [this] { return known_term; };
        hooks.known_primary = [this] { return known_primary; };
        hooks.is_settled = [] { return true; };
        hooks.settled_position = [this] { return settled_position; };
        hooks.promote = [this](const std::string&, std::uint64_t,
                               const std::function<void(promotion_call_result)>& done) {
            const promotion_call_result outcome = call_outcomes[std::min(calls, call_outcomes.size() - 1)];
            ++calls;
            if (on_call) {
                on_call();
            }
            done(outcome);
        };
        hooks.call_after = [this](duration delay, std::function<void()> action) {
            scheduled.emplace_back(current + delay, std::move(action));
        };
        hooks.now = [this] { return current; };
        return hooks;
    }

    void run(primary_verdict verdict = primary_verdict::not_committing) {
        const std::shared_ptr<fenced_promotion> promotion = std::make_shared<fenced_promotion>(
            "orders", *lease, log, fenced_promotion_settings{}, make_hooks());
        std::vector<promotion_member> members{{"p", false}, {"a", a_is_listed_as_leaving}, {"b", false}};
        members.insert(members.end(), departed.begin(), departed.end());
        promotion->start(members, "p", 4, verdict, false,
                         [this](fenced_promotion_outcome result, const std::string&) { end = result; });
        for (int step = 0; step < 100'000 && !scheduled.empty(); ++step) {
            const auto next =
                std::min_element(scheduled.begin(), scheduled.end(), [](const auto& left, const auto& right) {
                    return left.first < right.first;
                });
            const std::function<void()> action = std::move(next->second);
            current = std::max(current, next->first);
            scheduled.erase(next);
            action();
        }
        REQUIRE(end);
    }

    /// No primary is known; the entry of p claims the lead.
    void know_claimant_only() {
        p_has_led = false;
        known_primary.clear();
        on_call = [this] {
            statuses["a"].is_primary = true;
            statuses["a"].term = 5;
        };
    }
    [[nodiscard]] bool is_fenced(const std::string& id) const {
        return std::find(fenced.begin(), fenced.end(), id) != fenced.end();
    }
    [[nodiscard]] bool duty_is_free() const { return object && !object->content.at("active").get<bool>(); }
    [[nodiscard]] term_number recorded_term() const {
        return object->content.at("terms").value("orders", term_number{0});
    }
};

} // namespace

// Guards against a promotion that is missing from the record in the store.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_term_is_recorded_before_and_after_the_call") {
    on_call = [this] {
        CHECK(recorded_term() == 5);
        statuses["a"].is_primary = true;
        statuses["a"].term = 5;
    };
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(recorded_term() == 5);
    CHECK(duty_is_free());
}

// Guards against unfencing a replica that does not follow the new primary: the old primary could acknowledge
// commits through it.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_promoted_keeps_the_fences") {
    on_call = [this] {
        statuses["a"].is_primary = true;
        statuses["a"].term = 5;
    };
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(unfenced.empty());
}

// Guards against a promotion that loses the commits of an instance which has started again without its log
// since that log settled the group.
TEST_CASE_FIXTURE(promotion_fixture,
                  "fenced_promotion_without_the_log_that_settled_the_group_does_not_call") {
    settled_position = {4, 8};
    statuses["a"].log_end = {4, 7};
    statuses["b"].log_end = {4, 7};
    run();
    CHECK(*end == fenced_promotion_outcome::members_not_settled);
    CHECK(calls == 0);
    CHECK(duty_is_free());
}

// Another daemon's promotion takes effect after the replicas were fenced. Guards against unfencing them.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_superseded_after_fencing_keeps_the_fences") {
    scheduled.emplace_back(current + 100ms, [this] {
        statuses["b"].is_primary = true;
        statuses["b"].term = 5;
    });
    run();
    CHECK(*end == fenced_promotion_outcome::superseded);
    CHECK(calls == 0);
    CHECK(unfenced.empty());
}

// Guards against a second promotion by a daemon that has not noticed the first one.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_replicas_of_a_newer_term_are_not_fenced") {
    statuses["a"].term = 5;
    statuses["b"].term = 5;
    run();
    CHECK(*end == fenced_promotion_outcome::superseded);
    CHECK(!object);
    CHECK(statuses["a"].fenced_term == 0);
}

// The answer to the first call is lost and the second call is rejected. Guards against unfencing the replicas
// while the first call may still take effect.
TEST_CASE_FIXTURE(promotion_fixture,
                  "fenced_promotion_call_rejected_after_a_lost_answer_has_unknown_outcome") {
    call_outcomes = {promotion_call_result::unknown, promotion_call_result::rejected};
    run();
    CHECK(*end == fenced_promotion_outcome::outcome_unknown);
    CHECK(calls == 2);
    CHECK(unfenced.empty());
    CHECK(!duty_is_free());
    CHECK(recorded_term() == 5);
    // This daemon cannot claim the duty again either while the call may still take effect.
    claim_refusal refusal = claim_refusal::none;
    lease->claim("orders", 5,
                 [&refusal](std::optional<std::uint64_t>, claim_refusal reason) { refusal = reason; });
    CHECK(refusal == claim_refusal::held_by_other);
}

// Guards against replicas that remain fenced after a rejected call, and against recording its term as
// promoted.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_call_rejected_removes_its_fences") {
    call_outcomes = {promotion_call_result::rejected};
    run();
    CHECK(*end == fenced_promotion_outcome::call_rejected);
    CHECK(unfenced == std::vector<std::string>{"a", "b"});
    CHECK(duty_is_free());
    CHECK(recorded_term() == 0);
}

// Guards against a delayed unfence request that removes a fence set by the next holder of the duty.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_unfence_unanswered_keeps_the_duty") {
    call_outcomes = {promotion_call_result::rejected};
    unfence_unanswered.insert("b");
    run();
    CHECK(*end == fenced_promotion_outcome::call_rejected);
    CHECK(!duty_is_free());
}

// Guards against a promotion where only left-over fences have to be removed.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_fences_of_an_earlier_holder_are_removed") {
    statuses["b"].fenced_term = 5;
    run(primary_verdict::replicas_fenced);
    CHECK(*end == fenced_promotion_outcome::fences_released);
    CHECK(calls == 0);
    CHECK(unfenced == std::vector<std::string>{"b"});
    CHECK(duty_is_free());
    CHECK(recorded_term() == 4);
}

// Guards against a group that stays without a primary because a replica has left, as planned, in the middle
// of a promotion for which the old primary was told to step down.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_replica_that_leaves_after_its_fence_is_passed_over") {
    silent_after_fence.insert("b");
    b_is_leaving = true;
    on_call = [this] {
        statuses["a"].is_primary = true;
        statuses["a"].term = 5;
    };
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
}

// Guards against a promotion that loses commits which only the replica that left has received.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_replica_that_leaves_with_a_longer_log_is_waited_for") {
    silent_after_fence.insert("b");
    b_is_leaving = true;
    statuses["b"].log_end = {4, 101};
    run();
    CHECK(*end == fenced_promotion_outcome::replica_unreachable);
    CHECK(calls == 0);
}

// Guards against a promotion beside a replica that has crashed and may start again without its fence.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_silent_replica_that_is_not_leaving_is_waited_for") {
    silent_after_fence.insert("b");
    run();
    CHECK(*end == fenced_promotion_outcome::replica_unreachable);
    CHECK(calls == 0);
}

// Guards against a promotion that does not fence a replica of the newest term, through which its primary goes
// on acknowledging commits, because an old entry of the replica claims the lead.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_claimant_that_follows_is_fenced") {
    know_claimant_only();
    p_status = statuses["a"];
    p_status->log_end.position -= 1;
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(is_fenced("p"));
}

// The same for a replica that does not answer, but whose present entry says that it follows.
TEST_CASE_FIXTURE(promotion_fixture,
                  "fenced_promotion_silent_claimant_that_is_listed_as_replica_is_waited_for") {
    know_claimant_only();
    p_claims_primary = false;
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::replica_unreachable);
    CHECK(calls == 0);
}

// Guards against a group that stays without a primary because a daemon that has started since cannot tell
// that the primary has led.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_silent_claimant_is_replaced") {
    know_claimant_only();
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(!is_fenced("p"));
}

// Guards against a replica that is left out because it still leads a superseded term, and follows soon after.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_claimant_of_an_older_term_is_not_left_out") {
    know_claimant_only();
    p_status = instance_status{};
    p_status->is_primary = true;
    p_status->term = 3;
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::superseded);
    CHECK(calls == 0);
}

// Guards against a promotion beside an old primary that receives from a newer one, which no other instance
// follows.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_old_primary_follows_newer_term_does_not_call") {
    p_status = statuses["a"];
    p_status->term = 5;
    run();
    CHECK(*end == fenced_promotion_outcome::superseded);
    CHECK(calls == 0);
}

// Guards against a promotion that goes on after the group has found a primary that serves.
TEST_CASE_FIXTURE(promotion_fixture, "fenced_promotion_primary_found_meanwhile_removes_its_fences") {
    know_claimant_only();
    scheduled.emplace_back(current + 400ms, [this] { known_primary = leader; });
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::primary_found);
    CHECK(calls == 0);
    CHECK(unfenced == std::vector<std::string>{"a", "b"});
}

namespace {

/// The entry of c has lapsed, but c may live and receive.
struct departed_member_fixture : public promotion_fixture {
    departed_member_fixture() {
        departed.emplace_back(promotion_member{"c", false, false, true});
        statuses["c"] = statuses["a"];
        on_call = [this] {
            statuses["a"].is_primary = true;
            statuses["a"].term = 5;
        };
    }
};

} // namespace

// Guards against a promotion that does not fence a replica whose entry has lapsed although it lives.
TEST_CASE_FIXTURE(departed_member_fixture, "fenced_promotion_departed_replica_is_fenced_and_not_chosen") {
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(is_fenced("c"));
}

// Guards against losing commits that a daemon has confirmed through the departed replica.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_departed_replica_with_the_longest_log_is_waited_for") {
    statuses["c"].log_end.position += 1;
    run();
    CHECK(*end == fenced_promotion_outcome::replica_unreachable);
    CHECK(calls == 0);
    CHECK(unfenced == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE_FIXTURE(departed_member_fixture, "fenced_promotion_silent_departed_replica_is_waited_for") {
    silent.insert("c");
    run();
    CHECK(*end == fenced_promotion_outcome::replica_unreachable);
    CHECK(calls == 0);
}

// Guards against a primary that leaves by plan and is not replaced in time, because a replica is silent that
// is no longer listed.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_primary_leaves_silent_departed_replica_is_passed_over") {
    silent.insert("c");
    run(primary_verdict::leaving);
    CHECK(*end == fenced_promotion_outcome::promoted);
}

// Guards against a promotion that waits for an instance that has ended.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_departed_replica_that_has_ended_is_passed_over") {
    silent.insert("c");
    ended.insert("c");
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
}

// Guards against a departed replica that was taken for ended, answers later and has not been fenced.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_departed_replica_that_answers_again_ends_the_promotion") {
    silent.insert("c");
    ended.insert("c");
    scheduled.emplace_back(current + 100ms, [this] { silent.clear(); });
    run();
    CHECK(*end == fenced_promotion_outcome::fence_lost);
    CHECK(calls == 0);
}

// Guards against a primary whose entry has lapsed and that is never replaced, because it still leads.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_departed_primary_of_the_known_term_is_replaced") {
    know_claimant_only();
    p_claims_primary = true;
    statuses["c"].is_primary = true;
    p_status = statuses["a"];
    p_status->log_end.position -= 1;
    run(primary_verdict::missing);
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(!is_fenced("c"));
}

// Guards against the promotion of a leaving replica that has received more only because it was fenced later.
TEST_CASE_FIXTURE(departed_member_fixture, "fenced_promotion_replicas_not_to_be_chosen_are_fenced_first") {
    a_is_listed_as_leaving = true;
    run();
    CHECK(fenced == std::vector<std::string>{"a", "c", "b"});
}

// Guards against the promotion of a leaving replica by a daemon whose own list is of before its announcement.
TEST_CASE_FIXTURE(promotion_fixture,
                  "fenced_promotion_replica_that_leaves_by_the_present_list_is_not_chosen") {
    a_leaves = true;
    on_call = [this] {
        statuses["b"].is_primary = true;
        statuses["b"].term = 5;
    };
    run();
    CHECK(*end == fenced_promotion_outcome::promoted);
    CHECK(fenced == std::vector<std::string>{"a", "b"});
}

// Guards against replicas that stay fenced, so that nothing is committed, because an instance is silent that
// is no longer listed.
TEST_CASE_FIXTURE(departed_member_fixture,
                  "fenced_promotion_silent_departed_replica_delays_no_release_of_fences") {
    silent.insert("c");
    statuses["b"].fenced_term = 5;
    run(primary_verdict::replicas_fenced);
    CHECK(*end == fenced_promotion_outcome::fences_released);
    CHECK(unfenced == std::vector<std::string>{"b"});
}
