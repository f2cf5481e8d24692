#include "gentianhill/peer/neighbour_selection.h"
#include "gentianhill/peer/relay_tree.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace gentianhill;

namespace {

/// Daemons of a fleet with equally large zones.
std::vector<peer_address> make_fleet(std::size_t zones, std::size_t per_zone) {
    std::vector<peer_address> fleet;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t i = 0; i < per_zone; ++i) {
            const std::string name = "eh-" + std::to_string(zone) + "-" + std::to_string(i);
            fleet.push_back(peer_address{name, "zone-" + std::to_string(zone), endpoint{"127.0.0.1", 1}});
        }
    }
    return fleet;
}

std::set<std::string> choose_for(const peer_address& self, std::vector<peer_address> peers,
                                 const std::set<std::string>& silent = {}) {
    std::erase_if(peers, [&self](const peer_address& peer) { return peer.daemon == self.daemon; });
    return choose_neighbours(neighbour_settings{}, self.daemon, self.zone, peers, silent);
}

} // namespace

// Guards against heartbeats that grow with the fleet, and against daemons that news cannot reach.
TEST_CASE("neighbours_of_a_large_fleet_are_few_and_connect_it") {
    const std::vector<peer_address> fleet = make_fleet(20, 115);
    std::map<std::string, std::set<std::string>> links;
    for (const peer_address& self : fleet) {
        const std::set<std::string> chosen = choose_for(self, fleet);
        CHECK(chosen.size() == 2);
        CHECK(chosen.count(self.daemon) == 0);
        for (const std::string& other : chosen) {
            links[self.daemon].insert(other);
            links[other].insert(self.daemon);
        }
    }
    std::set<std::string> reached{fleet.front().daemon};
    std::vector<std::string> open{fleet.front().daemon};
    while (!open.empty()) {
        const std::string next = open.back();
        open.pop_back();
        for (const std::string& other : links[next]) {
            if (reached.insert(other).second) {
                open.push_back(other);
            }
        }
    }
    // The parents in the relay trees, which every daemon adds, connect the few that remain.
    CHECK(reached.size() > fleet.size() * 98 / 100);
}

// Guards against a small deployment in which some daemons do not hear each other.
TEST_CASE("neighbours_of_a_small_deployment_are_all_others") {
    const std::vector<peer_address> fleet = make_fleet(3, 3);
    CHECK(choose_for(fleet.front(), fleet).size() == 8);
}

// Guards against a daemon that is left without neighbours when those it chose have failed.
TEST_CASE("neighbours_that_are_silent_are_replaced_but_kept") {
    const std::vector<peer_address> fleet = make_fleet(4, 10);
    const std::set<std::string> before = choose_for(fleet.front(), fleet);
    const std::set<std::string> after = choose_for(fleet.front(), fleet, before);
    CHECK(after.size() == 2 * before.size());
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
}

// Guards against daemons that no ticket reaches, and against a tree so deep that tickets arrive late.
TEST_CASE("relay_tree_reaches_every_daemon_of_the_zone_once") {
    std::set<std::string> members;
    for (const peer_address& peer : make_fleet(1, 115)) {
        members.insert(peer.daemon);
    }
    std::map<std::string, int> served;
    std::size_t watchers = 0;
    for (const std::string& self : members) {
        const relay_tree tree{relay_tree_settings{}, self, "zone-0", members, {}};
        CHECK(tree.depth() <= 3);
        CHECK(tree.children().size() <= 4);
        watchers += tree.is_watcher() ? 1 : 0;
        for (const std::string& child : tree.children()) {
            ++served[child];
            CHECK(relay_tree(relay_tree_settings{}, child, "zone-0", members, {}).parent() == self);
        }
    }
    CHECK(watchers == 2);
    CHECK(served.size() == members.size() - 2);
}

// Guards against daemons that are cut off from tickets when those above them have failed.
TEST_CASE("relay_tree_above_silent_turns_to_the_next_above_or_the_platform") {
    const std::set<std::string> members{"a", "b", "c", "d", "e", "f", "g", "h"};
    const relay_tree_settings settings{1, 1};
    std::vector<std::string> chain;
    for (const std::string& self : members) {
        if (relay_tree(settings, self, "z", members, {}).depth() == 7) {
            chain.push_back(self);
        }
    }
    REQUIRE(chain.size() == 1);
    const std::string& last = chain.front();
    const std::string above = *relay_tree(settings, last, "z", members, {}).parent();
    const relay_tree without_parent{settings, last, "z", members, {above}};
    CHECK(without_parent.parent() == relay_tree(settings, above, "z", members, {}).parent());
    CHECK(without_parent.designated_parent() == above);
    CHECK(relay_tree(settings, last, "z", members, members).is_watcher());
}
