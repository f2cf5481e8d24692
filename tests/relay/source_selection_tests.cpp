#include "gentianhill/relay/source_selection.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct selection_fixture {
    source_selection selection{source_selection_settings{}};
    time_point now{100s};

    selection_fixture() { selection.set_candidates({"a", "b", "c", "d", "e"}); }
};

using names = std::vector<std::string>;

} // namespace

// Guards against a zone in which nobody watches the store.
TEST_CASE("source_selection_first_two_of_a_zone_watch_the_store") {
    source_selection first{source_selection_settings{}};
    CHECK(first.choose(time_point{100s}).watches_store);
    source_selection second{source_selection_settings{}};
    second.set_candidates({"a"});
    CHECK(second.choose(time_point{100s}).watches_store);
    CHECK(second.choose(time_point{100s}).sources == names{"a"});
}

// Guards against a daemon that depends on a single source.
TEST_CASE_FIXTURE(selection_fixture, "source_selection_takes_the_first_two_and_leaves_the_store_alone") {
    CHECK(selection.choose(now).sources == names{"a", "b"});
    CHECK(!selection.choose(now).watches_store);
}

// Guards against a source that is asked in a loop although it does not answer.
TEST_CASE_FIXTURE(selection_fixture, "source_selection_failed_source_is_replaced_and_tried_again_later") {
    selection.on_failure("a", now);
    CHECK(selection.choose(now).sources == names{"b", "c"});
    CHECK(!selection.choose(now).watches_store);
    CHECK(selection.choose(now + 500ms).sources == names{"a", "b", "c"});
    selection.on_failure("a", now + 500ms);
    CHECK(selection.choose(now + 1000ms).sources == names{"b", "c"});
    CHECK(selection.choose(now + 1500ms).sources == names{"a", "b", "c"});
    selection.on_answer("a", true, 1s);
    CHECK(selection.choose(now + 1500ms).sources == names{"a", "b"});
}

// Guards against old state of a source that is cut from the store.
TEST_CASE_FIXTURE(selection_fixture,
                  "source_selection_source_without_store_or_with_old_state_is_not_healthy") {
    selection.on_answer("a", false, 0s);
    selection.on_answer("b", true, 20s);
    CHECK(selection.choose(now).sources == names{"a", "b", "c", "d"});
    CHECK(!selection.choose(now).watches_store);
}

// Guards against requests to a whole zone while the store is down for all.
TEST_CASE_FIXTURE(selection_fixture, "source_selection_without_healthy_sources_asks_a_few_and_watches") {
    for (const char* name : {"a", "b", "c", "d", "e"}) {
        selection.on_answer(name, false, 0s);
    }
    CHECK(selection.choose(now).sources == names{"a", "b", "c", "d"});
    CHECK(selection.choose(now).watches_store);
    CHECK(!selection.has_healthy());
}
