#include "gentianhill/admission/instance_ownership.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace gentianhill;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ownership_fixture {
    time_point now{seconds{1}};
    instance_ownership ownership{{}};
    std::vector<owner_candidate> members;

    ownership_fixture() {
        for (int daemon = 0; daemon < 4; ++daemon) {
            members.push_back({"daemon-" + std::to_string(daemon), daemon < 2 ? "kyushu-a" : "kyushu-b"});
        }
        ownership.set_members(members, now);
    }

    std::map<std::string, std::string> owners(std::string_view zone) const {
        std::map<std::string, std::string> result;
        for (int instance = 0; instance < 1000; ++instance) {
            const std::string name = "wheeldb-" + std::to_string(instance);
            result[name] = *ownership.owner_of(name, zone);
        }
        return result;
    }
};

} // namespace

// Guards against owners in other zones, and against an uneven distribution of instances.
TEST_CASE_FIXTURE(ownership_fixture, "owner_of_instances_is_in_their_zone_and_even") {
    std::map<std::string, int> counts;
    for (const std::pair<const std::string, std::string>& entry : owners("kyushu-a")) {
        ++counts[entry.second];
    }
    CHECK(counts.size() == 2);
    CHECK(counts["daemon-0"] == doctest::Approx(500).epsilon(0.15));
    counts.clear();
    for (const std::pair<const std::string, std::string>& entry : owners("kyushu-c")) {
        ++counts[entry.second];
    }
    CHECK(counts.size() == 4);
    CHECK_FALSE(instance_ownership{{}}.owner_of("wheeldb-0", "kyushu-a"));
}

// Guards against the loss of a daemon moving instances that it did not own.
TEST_CASE_FIXTURE(ownership_fixture, "owner_of_after_loss_moves_only_the_instances_of_the_lost_daemon") {
    const std::map<std::string, std::string> before = owners("kyushu-c");
    members.pop_back();
    ownership.set_members(members, now);
    CHECK(ownership.apply_stable_members(now + seconds{2}));
    for (const std::pair<const std::string, std::string>& entry : owners("kyushu-c")) {
        CHECK(entry.second != "daemon-3");
        if (before.at(entry.first) != "daemon-3") {
            CHECK(entry.second == before.at(entry.first));
        }
    }
}

// Guards against owners changing back and forth when a daemon flaps.
TEST_CASE_FIXTURE(ownership_fixture, "apply_stable_members_flapping_membership_changes_no_owner") {
    const std::map<std::string, std::string> before = owners("kyushu-a");
    std::vector<owner_candidate> fewer = members;
    fewer.erase(fewer.begin());
    for (int flap = 0; flap < 50; ++flap) {
        now += milliseconds{1500};
        ownership.set_members(flap % 2 == 0 ? fewer : members, now);
        CHECK_FALSE(ownership.apply_stable_members(now));
    }
    CHECK(owners("kyushu-a") == before);
    ownership.set_members(fewer, now);
    CHECK_FALSE(ownership.apply_stable_members(now + milliseconds{1999}));
    ownership.set_members(fewer, now + milliseconds{1999});
    CHECK(ownership.apply_stable_members(now + seconds{2}));
    CHECK(owners("kyushu-a") != before);
}
