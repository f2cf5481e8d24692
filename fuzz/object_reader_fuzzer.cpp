#include "gentianhill/core/object_reader.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

using namespace gentianhill;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

/// Reads members with every kind of check; a failure must name a field and keep its first reason.
void read_members(const nlohmann::json& value) {
    error reason;
    object_reader reader{value, "", reason};
    static_cast<void>(reader.text("text", 16));
    static_cast<void>(reader.optional_text("optional", 16));
    static_cast<void>(reader.integer("integer", -5, 5));
    static_cast<void>(reader.number("number", 0.0, 1.0));
    static_cast<void>(reader.boolean("boolean", false));
    static_cast<void>(reader.array("array"));
    static_cast<void>(reader.object("object"));
    const error first = reason;
    const bool complete = reader.finish();
    require(complete == !reason.failed());
    require(!first.failed() || (first.code == reason.code && first.field == reason.field));
    if (reason.failed()) {
        require(!reason.field.empty() && !reason.allowed.empty());
        require(error_from_json(to_json(reason)).code == reason.code);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    error reason;
    const std::optional<nlohmann::json> value = parse_json(text, 4096, reason);
    require(value.has_value() == !reason.failed());
    if (value) {
        read_members(*value);
        static_cast<void>(error_from_json(*value));
    }
    return 0;
}
