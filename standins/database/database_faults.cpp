#include "standins/database/database_faults.h"

#include "gentianhill/core/object_reader.h"

#include <optional>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr std::size_t max_control_bytes = 64U << 10U;
constexpr std::int64_t max_milliseconds = 600'000;
constexpr std::int64_t max_microseconds = 10'000'000;
constexpr std::int64_t max_count = 1'000'000;

duration milliseconds_of(object_reader& reader, std::string_view name, duration fallback) {
    const std::optional<std::int64_t> found = reader.optional_integer(name, 0, max_milliseconds);
    return found ? std::chrono::milliseconds{*found} : fallback;
}

std::uint64_t count_of(object_reader& reader, std::string_view name, std::uint64_t fallback) {
    const std::optional<std::int64_t> found = reader.optional_integer(name, 0, max_count);
    return found ? static_cast<std::uint64_t>(*found) : fallback;
}

void read_sources(object_reader& reader, std::set<std::string, std::less<>>& sources) {
    if (reader.any("drop_sources").is_null()) {
        return;
    }
    std::set<std::string, std::less<>> read;
    for (const nlohmann::json& source : reader.array("drop_sources")) {
        if (!source.is_string()) {
            reader.fail(error_code::bad_type, "drop_sources", source.type_name(), "an array of names");
            return;
        }
        read.insert(source.get<std::string>());
    }
    sources = std::move(read);
}

} // namespace

bool database_faults::update(std::string_view body, error& reason) {
    const std::optional<nlohmann::json> parsed = parse_json(body, max_control_bytes, reason);
    if (!parsed) {
        return false;
    }
    object_reader reader{*parsed, "", reason};
    database_faults changed = *this;
    changed.lag = milliseconds_of(reader, "lag_ms", lag);
    const std::optional<std::int64_t> service = reader.optional_integer("service_us", 0, max_microseconds);
    changed.service_time = service ? duration{*service} : service_time;
    changed.connections = count_of(reader, "connections", connections);
    changed.leaving = reader.boolean("leaving", leaving);
    read_sources(reader, changed.drop_sources);
    changed.drop_replication = reader.boolean("drop_replication", drop_replication);
    changed.refuse_commit = reader.boolean("refuse_commit", refuse_commit);
    changed.hold_answers = milliseconds_of(reader, "hold_answers_ms", hold_answers);
    changed.drop_answers = count_of(reader, "drop_answers", drop_answers);
    changed.swap_answers = reader.boolean("swap_answers", swap_answers);
    changed.truncate_answers = reader.boolean("truncate_answers", truncate_answers);
    if (!reader.finish()) {
        return false;
    }
    *this = std::move(changed);
    return true;
}

bool database_faults::is_dropped(std::string_view source) const {
    return drop_sources.contains(source.substr(0, source.find('/')));
}

} // namespace gentianhill::standins
