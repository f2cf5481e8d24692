#include "gentianhill/daemon/daemon_context.h"

#include <fmt/format.h>

namespace gentianhill {

namespace {

log_settings log_settings_for(const daemon_settings& settings) {
    log_settings result;
    result.level = settings.level;
    result.repeats_per_second = static_cast<std::uint32_t>(settings.log_repeats_per_second);
    return result;
}

timeline_settings timeline_settings_for(const daemon_settings& settings, std::int64_t incarnation) {
    timeline_settings result;
    result.daemon = settings.name;
    result.incarnation = incarnation;
    result.capacity = static_cast<std::size_t>(settings.timeline_capacity);
    return result;
}

} // namespace

daemon_context::daemon_context(event_loop& shared_loop, const daemon_settings& checked_settings,
                               std::int64_t incarnation_ms)
    : loop(shared_loop),
      settings(checked_settings),
      incarnation(incarnation_ms),
      log(log_settings_for(checked_settings)),
      events(timeline_settings_for(checked_settings, incarnation_ms)),
      generator_(std::random_device{}()) {}

double daemon_context::random() {
    return std::uniform_real_distribution<double>{0.0, 1.0}(generator_);
}

std::string daemon_context::next_request_id() {
    return fmt::format("{}/{}/{}", settings.name, incarnation, next_request_++);
}

event_id daemon_context::record(event_kind kind, const std::string& group,
                                std::vector<std::pair<std::string, std::string>> fields,
                                const std::optional<event_id>& cause, const std::string& request_id) {
    timeline_event added;
    added.at = clock.now(event_loop::wall_clock_ms());
    added.kind = kind;
    added.group = group;
    added.request_id = request_id;
    added.cause = cause;
    added.fields = std::move(fields);
    return events.record(std::move(added));
}

} // namespace gentianhill
