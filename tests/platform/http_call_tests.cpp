#include "platform/http_call.h"

#include <doctest/doctest.h>

#include <string>

using namespace gentianhill::platform;

// Guards against a name with odd bytes that addresses another object: a list is continued after a shorter
// name, for a name that begins with NUL from its start without end, and a removal goes to another entry.
TEST_CASE("escape_url_name_with_odd_bytes_keeps_all_of_them") {
    CHECK(escape_url(std::string("a\0b", 3)) == "a%00b");
    CHECK(escape_url(std::string("\0", 1)) == "%00");
    CHECK(escape_url("a\r\nb/?&=%") == "a%0D%0Ab%2F%3F%26%3D%25");
    CHECK(escape_url("\xff\x7f\xc3\xa9") == "%FF%7F%C3%A9");
    CHECK(escape_url("a b+c") == "a%20b%2Bc");
    CHECK(escape_url("").empty());
}
