#include "gentianhill/metadata/collection_replica.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

store_version version(std::uint64_t revision) {
    return {1, revision};
}

stored_object object(const std::string& name, std::uint64_t revision) {
    return {name, revision, {{"revision", revision}}};
}

store_event change(const std::string& name, std::uint64_t revision) {
    return {object(name, revision), false};
}

store_event deletion(const std::string& name, std::uint64_t revision) {
    return {object(name, revision), true};
}

struct replica_fixture {
    collection_replica replica{{3}};
    std::vector<std::string> events;

    replica_fixture() {
        replica.on_event = [this](const store_event& event) {
            events.push_back((event.deleted ? "-" : "+") + event.object.name);
        };
        replica.replace({object("a", 5), object("b", 7)}, version(10));
    }
};

using names = std::vector<std::string>;

} // namespace

// Guards against an old source that reverts the state.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_older_list_is_ignored") {
    CHECK(!replica.replace({}, version(9)));
    CHECK(replica.objects().size() == 2);
    CHECK(replica.version().revision == 10);
}

// Guards against changes that are applied to a state that lacks those before them.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_changes_after_a_gap_are_refused") {
    CHECK(!replica.apply(version(11), {change("c", 12)}, 12));
    CHECK(replica.objects().size() == 2);
}

// Guards against an entry that comes back since two sources deliver overlapping changes.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_overlapping_changes_are_applied_once") {
    CHECK(replica.apply(version(10), {change("c", 11), deletion("a", 12)}, 12));
    CHECK(replica.apply(version(10), {change("c", 11), deletion("a", 12), change("b", 13)}, 13));
    CHECK(events == names{"+c", "-a", "+b"});
    CHECK(!replica.apply(version(10), {change("a", 5)}, 11));
    CHECK(replica.objects().count("a") == 0);
}

// Guards against the loss of an object that was deleted and created again between two updates.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_object_created_again_stays") {
    CHECK(replica.apply(version(10), {deletion("a", 11), change("a", 12)}, 12));
    CHECK(replica.apply(version(11), {deletion("a", 11), change("a", 12), change("c", 13)}, 13));
    CHECK(replica.objects().at("a").revision == 12);
}

// Guards against changes that are missing in an answer to another daemon.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_changes_since_a_revision_are_complete_or_none") {
    replica.apply(version(10), {change("c", 11)}, 11);
    replica.apply(version(11), {change("d", 12), change("e", 13)}, 13);
    CHECK(replica.changes_since(version(11))->size() == 2);
    CHECK(replica.changes_since(version(13))->empty());
    CHECK(!replica.has_changes_since(version(13)));
    CHECK(!replica.changes_since(version(9)));
    // The history holds three changes; with a fourth one the first is no longer complete.
    replica.apply(version(13), {change("f", 14)}, 14);
    CHECK(!replica.changes_since(version(10)));
    CHECK(replica.changes_since(version(11))->size() == 3);
}

// Guards against an answer that holds each version of an object of a burst, and a history that keeps them.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_changes_since_hold_one_change_of_each_object") {
    for (std::uint64_t revision = 11; revision <= 20; ++revision) {
        replica.apply(version(revision - 1), {change("a", revision)}, revision);
    }
    replica.apply(version(20), {deletion("b", 21)}, 21);
    const std::optional<std::vector<store_event>> changes = replica.changes_since(version(10));
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().object.revision == 20);
    CHECK(changes->back().deleted);
    CHECK(replica.changes_since(version(20))->size() == 1);
}

// Guards against a state of a wrong revision that nothing can replace.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_discarded_state_is_replaced_by_an_older_list") {
    replica.discard();
    CHECK(!replica.has_state());
    CHECK(replica.replace({object("c", 2)}, version(3)));
    CHECK(replica.version().revision == 3);
}

// Guards against a state that depends on the revision alone when the store was restored in between.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_list_of_a_newer_era_replaces_a_higher_revision") {
    REQUIRE(replica.replace({object("a", 10)}, {1, 10}));
    CHECK(replica.replace({object("b", 4)}, {2, 4}));
    CHECK(replica.version() == store_version{2, 4});
    CHECK(!replica.replace({object("a", 12)}, {1, 12}));
    CHECK(replica.objects().count("b") == 1);
}

// Guards against changes of one era that are applied to a state of another.
TEST_CASE_FIXTURE(replica_fixture, "collection_replica_changes_of_another_era_are_refused") {
    REQUIRE(replica.replace({object("a", 4)}, {2, 4}));
    CHECK(!replica.apply({1, 3}, {change("b", 9)}, 9));
    CHECK(!replica.apply({3, 3}, {change("b", 9)}, 9));
    CHECK(replica.version() == store_version{2, 4});
    CHECK(replica.apply({2, 3}, {change("b", 9)}, 9));
    CHECK(!replica.changes_since({1, 9}));
    CHECK(replica.has_changes_since({1, 9}));
    CHECK(!replica.changes_since({3, 1}));
    CHECK(!replica.has_changes_since({3, 1}));
}
