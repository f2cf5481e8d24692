#include "gentianhill/core/object_reader.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct reader_fixture {
    error reason;
    nlohmann::json value = nlohmann::json{{"name", "wheeldb"}, {"count", 3}, {"flag", true}};
};

} // namespace

// Guards against errors that do not tell the operator which field is wrong.
TEST_CASE_FIXTURE(reader_fixture, "object_reader_value_out_of_range_names_path_value_and_range") {
    object_reader reader{value, "groups[0]", reason};
    CHECK(reader.integer("count", 5, 9) == 5);
    CHECK(reason.code == error_code::out_of_range);
    CHECK(reason.field == "groups[0].count");
    CHECK(reason.value == "3");
    CHECK(reason.allowed == "5 to 9");
}

// Guards against misspelt fields that are silently ignored.
TEST_CASE_FIXTURE(reader_fixture, "object_reader_member_never_read_is_unknown_field") {
    object_reader reader{value, "", reason};
    CHECK(reader.text("name") == "wheeldb");
    CHECK(reader.integer("count", 0, 9) == 3);
    CHECK_FALSE(reader.finish());
    CHECK(reason.code == error_code::unknown_field);
    CHECK(reason.field == "flag");
}

// Guards against the first failure being hidden by later ones.
TEST_CASE_FIXTURE(reader_fixture, "object_reader_two_failures_keeps_the_first") {
    object_reader reader{value, "", reason};
    CHECK(reader.text("missing").empty());
    CHECK(reader.text("count").empty());
    CHECK(reason.code == error_code::missing_field);
    CHECK(reason.field == "missing");
}

// Guards against large unsigned numbers that wrap to negative ones.
TEST_CASE_FIXTURE(reader_fixture, "object_reader_unsigned_above_signed_range_is_out_of_range") {
    value["count"] = UINT64_MAX;
    object_reader reader{value, "", reason};
    CHECK(reader.integer("count", -5, 9) == -5);
    CHECK(reason.code == error_code::out_of_range);
}

// Guards against a crash on text that is not JSON.
TEST_CASE_FIXTURE(reader_fixture, "parse_json_broken_text_is_bad_json") {
    CHECK_FALSE(parse_json("{\"a\":", 100, reason));
    CHECK(reason.code == error_code::bad_json);
    CHECK_FALSE(parse_json("{}", 1, reason));
    CHECK(reason.code == error_code::too_large);
}

// Guards against deeply nested input that overflows the stack when it is shown or passed on.
TEST_CASE_FIXTURE(reader_fixture, "parse_json_nested_too_deep_is_too_large") {
    const std::string deep = std::string(65, '[') + std::string(65, ']');
    CHECK_FALSE(parse_json(deep, 1000, reason));
    CHECK(reason.code == error_code::too_large);
    reason = error{};
    CHECK(parse_json(deep.substr(1, 128), 1000, reason));
    // Brackets in strings do not count, nor do closed ones.
    CHECK(parse_json("[\"" + std::string(100, '[') + "\\\"[\",[],[]]", 1000, reason));
    std::string wide = "[[]";
    for (int i = 0; i < 100; ++i) {
        wide += ",{}";
    }
    CHECK(parse_json(wide + "]", 1000, reason));
}

// Guards against an error that names no field.
TEST_CASE_FIXTURE(reader_fixture, "object_reader_unknown_member_without_a_name_is_still_named") {
    value = nlohmann::json{{"", 1}};
    object_reader reader{value, "", reason};
    CHECK_FALSE(reader.finish());
    CHECK(reason.field == "\"\"");
}
