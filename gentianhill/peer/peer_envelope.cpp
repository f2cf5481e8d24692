#include "gentianhill/peer/peer_envelope.h"

namespace gentianhill {

namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_clock_bytes = 64;

} // namespace

nlohmann::json peer_envelope::to_json() const {
    nlohmann::json value = to_short_json();
    value["daemon"] = daemon;
    value["zone"] = zone;
    value["incarnation"] = incarnation;
    return value;
}

nlohmann::json peer_envelope::to_short_json() const {
    nlohmann::json value{{"clock", clock}};
    if (draining) {
        value["draining"] = true;
    }
    return value;
}

std::optional<peer_envelope> peer_envelope::from_json(const nlohmann::json& value, const std::string& path,
                                                      const std::optional<peer_envelope>& known,
                                                      error& reason) {
    object_reader reader{value, path, reason};
    peer_envelope sender;
    const bool is_short = known && value.is_object() && !value.contains("daemon");
    if (is_short) {
        sender.daemon = known->daemon;
        sender.zone = known->zone;
        sender.incarnation = known->incarnation;
    } else {
        sender.daemon = reader.text("daemon", max_name_bytes);
        sender.zone = reader.text("zone", max_name_bytes);
        sender.incarnation = static_cast<std::uint64_t>(reader.integer("incarnation", 0, INT64_MAX));
    }
    sender.clock = reader.text("clock", max_clock_bytes);
    sender.draining = reader.boolean("draining", false);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return sender;
}

} // namespace gentianhill
