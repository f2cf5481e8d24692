#include "gentianhill/tickets/policy_settings.h"

#include <algorithm>
#include <optional>

namespace gentianhill {

namespace {

void override_ms(duration& setting, const std::optional<std::int64_t>& value) {
    if (value) {
        setting = std::chrono::milliseconds{*value};
    }
}

void override_number(std::int64_t& setting, const std::optional<std::int64_t>& value) {
    setting = value.value_or(setting);
}

} // namespace

daemon_settings with_policy(const daemon_settings& base, const policy_subject& policy) {
    daemon_settings result = base;
    override_ms(result.confirm_stall_limit, policy.confirm_stall_limit_ms);
    override_ms(result.default_deadline, policy.default_deadline_ms);
    override_ms(result.max_deadline, policy.max_deadline_ms);
    override_ms(result.probe_interval, policy.probe_interval_ms);
    override_ms(result.suspect_after, policy.suspect_after_ms);
    override_number(result.queue_capacity, policy.queue_capacity);
    override_number(result.retry_budget_percent, policy.retry_budget_percent);
    override_number(result.entry_hosts, policy.entry_hosts);
    // An explicit maximum limits the default; otherwise the default raises the maximum.
    if (policy.max_deadline_ms) {
        result.default_deadline = std::min(result.default_deadline, result.max_deadline);
    } else {
        result.max_deadline = std::max(result.max_deadline, result.default_deadline);
    }
    // Suspicion earlier than two probes would be a reaction to one lost probe.
    result.suspect_after = std::max(result.suspect_after, 2 * result.probe_interval);
    return result;
}

} // namespace gentianhill
