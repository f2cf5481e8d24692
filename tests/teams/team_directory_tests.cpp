#include "gentianhill/teams/team_directory.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct directory_fixture {
    std::shared_ptr<const team> club = std::make_shared<team>(team{"club", std::nullopt});
    std::shared_ptr<const team> riders = std::make_shared<team>(team{"riders", std::nullopt});
    team_directory directory;
};

} // namespace

TEST_CASE_FIXTURE(directory_fixture, "team_directory_finds_the_team_that_holds_a_key") {
    REQUIRE(directory.add(club));
    REQUIRE(directory.add_key(key_digest("a"), club));
    REQUIRE(directory.add_key(key_digest("b"), club));
    CHECK(directory.find(key_digest("b")) == club);
    CHECK(directory.find(key_digest("c")) == nullptr);
}

TEST_CASE_FIXTURE(directory_fixture, "team_directory_refuses_a_key_that_another_team_holds") {
    REQUIRE(directory.add_key(key_digest("a"), club));
    CHECK_FALSE(directory.add_key(key_digest("a"), riders));
    CHECK(directory.find(key_digest("a")) == club);
}

TEST_CASE_FIXTURE(directory_fixture, "team_directory_refuses_a_second_team_of_one_name") {
    REQUIRE(directory.add(club));
    CHECK_FALSE(directory.add(std::make_shared<team>(team{"club", std::nullopt})));
}
