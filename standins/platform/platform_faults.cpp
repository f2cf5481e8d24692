#include "standins/platform/platform_faults.h"

#include "gentianhill/core/object_reader.h"

#include <optional>

namespace gentianhill::standins {

namespace {

constexpr std::size_t max_control_bytes = 64U << 10U;
constexpr std::int64_t max_milliseconds = 600'000;
constexpr std::int64_t max_dropped = 1'000'000;

duration milliseconds_of(object_reader& reader, std::string_view name, duration fallback) {
    const std::optional<std::int64_t> found = reader.optional_integer(name, 0, max_milliseconds);
    return found ? std::chrono::milliseconds{*found} : fallback;
}

} // namespace

bool platform_faults::update(std::string_view body, error& reason) {
    const std::optional<nlohmann::json> parsed = parse_json(body, max_control_bytes, reason);
    if (!parsed) {
        return false;
    }
    object_reader reader{*parsed, "", reason};
    platform_faults changed = *this;
    changed.down = reader.boolean("down", down);
    changed.refuse = reader.boolean("refuse", refuse);
    changed.delay = milliseconds_of(reader, "delay_ms", delay);
    changed.drop_answers = static_cast<std::uint64_t>(reader.optional_integer("drop_answers", 0, max_dropped)
                                                          .value_or(static_cast<std::int64_t>(drop_answers)));
    changed.stale_reads = reader.boolean("stale_reads", stale_reads);
    changed.hosts_lag = milliseconds_of(reader, "hosts_lag_ms", hosts_lag);
    if (!reader.finish()) {
        return false;
    }
    *this = changed;
    return true;
}

} // namespace gentianhill::standins
