#include "platform/line_codec.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace gentianhill;
using namespace gentianhill::platform;

// Lines of clients and instances: no input crashes, and nothing that is accepted can end a line early.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view line(reinterpret_cast<const char*>(data), size);
    const message received = split_message(line);
    const statement parsed = parse_query(received.rest);
    const bool is_passed_on = parsed.kind == statement_kind::read || parsed.kind == statement_kind::write ||
                              parsed.kind == statement_kind::commit || parsed.kind == statement_kind::execute;
    if (is_passed_on) {
        std::string encoded;
        append_command(encoded, make_statement_command(parsed, "shared"));
        assert(encoded.find("\r\n") == encoded.size() - 2);
        assert(encoded.rfind("QUERY - ", 0) != 0);
    }
    statement_result result;
    static_cast<void>(parse_ready(received.rest, result));
    parse_error(received.rest, result);
    static_cast<void>(parse_status_row(received.rest));
    return 0;
}
