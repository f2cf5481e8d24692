#include "gentianhill/core/json_slices.h"

#include <doctest/doctest.h>

#include <string>

using namespace gentianhill;

// Guards against a value that is cut at a bracket or quote inside a string.
TEST_CASE("json_slices_object_is_split_at_its_own_members_only") {
    const std::optional<std::vector<json_member>> members =
        split_json_object(" { \"a\" : \"x}\\\"],\" , \"b\":[{\"c\":1},2],\"d\":-1e999 , \"e\":null} ");
    REQUIRE(members);
    REQUIRE(members->size() == 4);
    CHECK((*members)[0].name == "a");
    CHECK((*members)[0].value == "\"x}\\\"],\"");
    CHECK((*members)[1].value == "[{\"c\":1},2]");
    CHECK((*members)[2].value == "-1e999");
    CHECK((*members)[3].value == "null");
}

TEST_CASE("json_slices_empty_containers_have_no_parts") {
    CHECK(split_json_object("{ }")->empty());
    CHECK(split_json_array(" [ ]")->empty());
    CHECK(split_json_array("[[],{}]")->size() == 2);
}

// Guards against a stack that overflows at depth, and against bytes that are no UTF-8.
TEST_CASE("json_slices_values_of_any_depth_and_bytes_are_split") {
    const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    const std::string text = "[" + deep + ",\"\xff\xfe\",3]";
    const std::optional<std::vector<std::string_view>> elements = split_json_array(text);
    REQUIRE(elements);
    REQUIRE(elements->size() == 3);
    CHECK((*elements)[0] == deep);
    CHECK((*elements)[2] == "3");
}

// Guards against reading past the end of a text, or taking a part of it for the whole.
TEST_CASE("json_slices_broken_text_has_no_parts") {
    for (const char* text :
         {"", "{", "[", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,}", "{a:1}", "{\"a\":\"x}", "{\"a\":\"x\\",
          "{\"\":[}", "{}x", "[1", "[1,]", "[,1]", "[1 2]", "1"}) {
        CAPTURE(text);
        CHECK(!split_json_object(text));
        CHECK(!split_json_array(text));
    }
}
