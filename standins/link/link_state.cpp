#include "standins/link/link_state.h"

#include "gentianhill/core/object_reader.h"

#include <optional>

namespace gentianhill::standins {

bool link_state::update(std::string_view body, bool& close, error& reason) {
    constexpr std::size_t max_control_bytes = 4096;
    constexpr std::int64_t max_milliseconds = 600'000;
    constexpr std::int64_t max_rate = 1'000'000'000;
    const std::optional<nlohmann::json> parsed = parse_json(body, max_control_bytes, reason);
    if (!parsed) {
        return false;
    }
    object_reader reader{*parsed, "", reason};
    link_state changed = *this;
    changed.forward = reader.boolean("forward", forward);
    changed.backward = reader.boolean("backward", backward);
    const std::optional<std::int64_t> delay_ms = reader.optional_integer("delay_ms", 0, max_milliseconds);
    changed.delay = delay_ms ? std::chrono::milliseconds{*delay_ms} : delay;
    changed.bytes_per_s = reader.optional_integer("bytes_per_s", 0, max_rate).value_or(bytes_per_s);
    const bool closes = reader.boolean("close", false);
    if (!reader.finish()) {
        return false;
    }
    *this = changed;
    close = closes;
    return true;
}

} // namespace gentianhill::standins
