#include "gentianhill/metadata/collection_watch.h"

#include <doctest/doctest.h>

#include <deque>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct watch_fixture {
    struct call {
        bool is_list = false;
        std::string after;
        std::uint64_t revision = 0;
        metadata_store::handler done;
        duration wait{0};
    };
    metadata_store store;
    logger log;
    std::deque<call> calls;
    std::deque<std::function<void()>> scheduled_actions;
    std::vector<std::string> listed;
    std::vector<std::string> events;
    collection_watch watch{store_collection::instances, store, log, {}};

    watch_fixture() {
        log.sink = [](std::string_view) {};
        store.list = [this](store_collection, const std::string& after, const metadata_store::handler& done) {
            calls.push_back({true, after, 0, done, {}});
        };
        store.watch = [this](store_collection, std::uint64_t revision, duration wait,
                             const metadata_store::handler& done) {
            calls.push_back({false, "", revision, done, wait});
        };
        watch.call_after = [this](duration, std::function<void()> action) {
            scheduled_actions.push_back(std::move(action));
        };
        watch.random = [] { return 0.5; };
        watch.on_list = [this](const std::vector<stored_object>& objects) {
            listed.clear();
            for (const stored_object& object : objects) {
                listed.push_back(object.name);
            }
        };
        watch.on_event = [this](const store_event& event) { events.push_back(event.object.name); };
        watch.start();
    }

    call next() {
        REQUIRE(!calls.empty());
        call taken = calls.front();
        calls.pop_front();
        return taken;
    }

    static store_answer page(const std::vector<std::string>& names, store_version version, bool more) {
        store_answer answer = page(names, version.revision, more);
        answer.era = version.era;
        return answer;
    }
    static store_answer no_change(store_version version) {
        store_answer answer;
        answer.outcome = store_outcome::done;
        answer.revision = version.revision;
        answer.era = version.era;
        return answer;
    }
    static store_answer page(const std::vector<std::string>& names, std::uint64_t revision, bool more) {
        store_answer answer;
        answer.outcome = store_outcome::done;
        for (const std::string& name : names) {
            answer.items.push_back({name, 1, {}});
        }
        answer.revision = revision;
        answer.has_more = more;
        return answer;
    }
};

} // namespace

// Guards against missing changes made between two pages, and against skipping pages.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_several_pages_starts_at_the_revision_of_the_first_page") {
    next().done(page({"a"}, 5, true));
    const call second = next();
    CHECK(second.after == "a");
    second.done(page({"b"}, 9, false));
    CHECK(listed == std::vector<std::string>{"a", "b"});
    CHECK(next().revision == 5);
}

// Guards against continuing a watch from a revision whose changes the store no longer has.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_history_lost_lists_again") {
    next().done(page({"a"}, 5, false));
    store_answer lost;
    lost.outcome = store_outcome::history_lost;
    next().done(lost);
    const call again = next();
    CHECK(again.is_list);
    again.done(page({"c"}, 12, false));
    CHECK(listed == std::vector<std::string>{"c"});
    CHECK(next().revision == 12);
}

// Guards against retrying a failed call without a pause, and against never retrying it.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_failed_call_is_retried_after_a_pause") {
    next().done(page({"a"}, 5, false));
    CHECK(watch.is_reachable());
    next().done({});
    CHECK(!watch.is_reachable());
    CHECK(calls.empty());
    REQUIRE(scheduled_actions.size() == 1);
    scheduled_actions.front()();
    CHECK(next().revision == 5);
}

// Guards against invoking a callback after stop().
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_stopped_ignores_late_answers") {
    const call open = next();
    watch.stop();
    open.done(page({"a"}, 5, false));
    CHECK(listed.empty());
    CHECK(calls.empty());
}

// Guards against lists and watches that alternate without a pause while lists are older than what the store
// has dropped.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_history_lost_again_after_a_list_pauses") {
    store_answer lost;
    lost.outcome = store_outcome::history_lost;
    next().done(page({"a"}, 5, false));
    next().done(lost);
    next().done(page({"a"}, 5, false));
    next().done(lost);
    CHECK(calls.empty());
    REQUIRE(scheduled_actions.size() == 1);
    scheduled_actions.front()();
    const call again = next();
    CHECK(again.is_list);
    again.done(page({"c"}, 12, false));
    // A watch that succeeds ends the pauses.
    store_answer changed = page({}, 13, false);
    next().done(changed);
    next().done(lost);
    CHECK(next().is_list);
}

// Guards against going on from a revision that a restored store has given out again.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_answered_in_a_new_era_lists_again_whatever_the_revision") {
    next().done(page({"a", "b"}, store_version{3, 5}, false));
    for (const std::uint64_t revision : {4U, 5U, 6U}) {
        CAPTURE(revision);
        const std::uint64_t era = watch.replica().version().era + 1;
        next().done(no_change({era, revision}));
        const call again = next();
        REQUIRE(again.is_list);
        again.done(page({"a"}, store_version{era, revision}, false));
        CHECK(listed == std::vector<std::string>{"a"});
        CHECK(watch.replica().version() == store_version{era, revision});
        // A second list without a watch that succeeded would wait.
        next().done(no_change({era, revision}));
    }
}

// Guards against a state that is put together from pages before and after a restore.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_pages_of_two_eras_are_listed_again") {
    next().done(page({"a"}, store_version{1, 9}, true));
    next().done(page({"c"}, store_version{2, 4}, false));
    CHECK(listed.empty());
    const call again = next();
    CHECK(again.is_list);
    CHECK(again.after.empty());
    again.done(page({"a", "c"}, store_version{2, 4}, false));
    CHECK(listed == std::vector<std::string>{"a", "c"});
}

// Guards against an answer of the time before the restore that arrives when other daemons have brought the
// state of the new era.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_late_answer_of_the_former_era_changes_nothing") {
    next().done(page({"a"}, store_version{1, 9}, false));
    const call late = next();
    watch.replica().replace({{"b", 2, {}, 2}}, {2, 10});
    store_answer answer = no_change({1, 12});
    answer.events.push_back({{"old", 11, {}, 1}, false});
    late.done(answer);
    CHECK(events.empty());
    CHECK(watch.replica().version() == store_version{2, 10});
    CHECK(next().revision == 10);
}

// Guards against a store that counts as reachable, and a state that counts as current, while lists of the new
// era are refused; and against calls without a growing pause meanwhile.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_refused_list_of_a_new_era_does_not_count_as_an_answer") {
    time_point time{10s};
    watch.now = [&time] { return time; };
    next().done(page({"a"}, store_version{1, 5}, false));
    time += 1s;
    std::size_t immediate_lists = 0;
    for (int attempt = 0; attempt < 4; ++attempt) {
        next().done(no_change({2, 5}));
        if (calls.empty()) {
            REQUIRE(scheduled_actions.size() == 1);
            scheduled_actions.front()();
            scheduled_actions.clear();
        } else {
            ++immediate_lists;
        }
        const call list = next();
        REQUIRE(list.is_list);
        store_answer refused;
        refused.outcome = store_outcome::refused;
        list.done(refused);
        CHECK(!watch.is_reachable());
        REQUIRE(scheduled_actions.size() == 1);
        scheduled_actions.front()();
        scheduled_actions.clear();
    }
    CHECK(immediate_lists == 1);
    CHECK(watch.heard_at() == time_point{10s});
}

// Guards against a list that counts as older than the store, because another daemon has brought a newer state
// since it was asked for.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_list_overtaken_by_another_daemon_keeps_the_newer_state") {
    const call list = next();
    watch.replica().replace({{"b", 9, {}, 1}}, {1, 9});
    list.done(page({"a"}, store_version{1, 7}, false));
    CHECK(watch.replica().version() == store_version{1, 9});
    CHECK(listed == std::vector<std::string>{"b"});
}

// Guards against a first call that waits when the watch goes on after a pause in which others fed the state.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_first_call_after_being_paused_does_not_wait") {
    next().done(page({"a"}, store_version{1, 5}, false));
    watch.set_active(false);
    next().done(no_change({1, 5}));
    CHECK(calls.empty());
    watch.set_active(true);
    CHECK(next().wait == duration(0));
}

// Guards against waiting for changes after a revision of an era that may be over.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_first_call_after_a_failure_does_not_wait") {
    next().done(page({"a"}, store_version{1, 5}, false));
    const call open = next();
    CHECK(open.wait > duration(0));
    open.done({});
    REQUIRE(scheduled_actions.size() == 1);
    scheduled_actions.front()();
    const call first = next();
    CHECK(first.wait == duration(0));
    first.done(no_change({1, 5}));
    CHECK(next().wait > duration(0));
}

// Guards against a daemon that falls behind in a burst of changes for good: each change holds the whole
// object, so that the changes since its revision only get longer.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_more_changes_than_objects_are_followed_by_a_list") {
    next().done(page({"a"}, store_version{1, 5}, false));
    store_answer changes = no_change({1, 8});
    changes.events = {{{"a", 6, {}, 1}}, {{"a", 8, {}, 1}}};
    next().done(changes);
    CHECK(watch.replica().version() == store_version{1, 8});
    const call list = next();
    REQUIRE(list.is_list);
    list.done(page({"a"}, store_version{1, 9}, false));
    CHECK(watch.replica().version() == store_version{1, 9});
    CHECK(!next().is_list);
}

// Guards against the same when the changes do not arrive in time at all: another watch would be answered with
// more of them. The store is not out of reach while it sends.
TEST_CASE_FIXTURE(watch_fixture, "collection_watch_changes_that_arrive_too_slowly_are_replaced_by_a_list") {
    next().done(page({"a"}, store_version{1, 5}, false));
    store_answer too_slow;
    too_slow.was_arriving = true;
    next().done(too_slow);
    CHECK(watch.is_reachable());
    CHECK(next().is_list);
}

namespace {

/// Watch of a collection whose first list may be old.
struct old_list_fixture {
    metadata_store store;
    logger log;
    std::vector<std::string> calls;
    std::deque<metadata_store::handler> open;
    collection_watch_settings settings;

    old_list_fixture() {
        log.sink = [](std::string_view) {};
        store.list = [this](store_collection, const std::string&, const metadata_store::handler& done) {
            add_call("list", done);
        };
        store.list_old = [this](store_collection, const std::string&, const metadata_store::handler& done) {
            add_call("old list", done);
        };
        store.watch = [this](store_collection, std::uint64_t, duration, const metadata_store::handler& done) {
            add_call("watch", done);
        };
        settings.lists_may_be_old = true;
    }

    void add_call(const std::string& call, const metadata_store::handler& done) {
        calls.push_back(call);
        open.push_back(done);
    }
    void answer_list(store_version version) {
        REQUIRE(!open.empty());
        const metadata_store::handler done = open.front();
        open.pop_front();
        done(watch_fixture::page({"d-1"}, version, false));
    }
};

} // namespace

// Guards against a list of before a restore that is watched as if it were of the era which its answer states.
TEST_CASE_FIXTURE(old_list_fixture, "collection_watch_old_list_is_followed_by_a_current_one") {
    collection_watch watch{store_collection::proxies, store, log, settings};
    watch.start();
    answer_list({2, 9});
    CHECK(watch.replica().version() == store_version{0, 9});
    answer_list({2, 7});
    CHECK(watch.replica().version() == store_version{2, 7});
    CHECK(calls == std::vector<std::string>{"old list", "list", "watch"});
}

// Guards against the price of a current list for daemons that get the state from others.
TEST_CASE_FIXTURE(old_list_fixture, "collection_watch_old_list_of_an_inactive_watch_is_the_only_call") {
    collection_watch watch{store_collection::proxies, store, log, settings};
    watch.set_active(false);
    watch.start();
    answer_list({2, 9});
    CHECK(calls == std::vector<std::string>{"old list"});
    watch.replica().replace({}, {2, 7});
    watch.set_active(true);
    CHECK(calls == std::vector<std::string>{"old list", "watch"});
}
