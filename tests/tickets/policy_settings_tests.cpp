#include "gentianhill/tickets/policy_settings.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

daemon_settings base_settings() {
    daemon_settings result;
    result.default_deadline = 2s;
    result.max_deadline = 60s;
    result.probe_interval = 200ms;
    result.suspect_after = 800ms;
    result.entry_hosts = 5;
    return result;
}

} // namespace

// Guards against a removed policy that leaves its overrides behind, or one that changes other settings.
TEST_CASE("with_policy_only_present_members_override") {
    policy_subject policy;
    policy.entry_hosts = 4;
    const daemon_settings changed = with_policy(base_settings(), policy);
    CHECK(changed.entry_hosts == 4);
    CHECK(changed.max_deadline == 60s);
    CHECK(with_policy(base_settings(), {}).entry_hosts == 5);
}

// Guards against a policy that contradicts the settings of a daemon.
TEST_CASE("with_policy_one_of_two_limits_set_keeps_both_consistent") {
    policy_subject policy;
    policy.max_deadline_ms = 1000;
    policy.probe_interval_ms = 900;
    const daemon_settings lowered = with_policy(base_settings(), policy);
    CHECK(lowered.default_deadline == 1s);
    CHECK(lowered.suspect_after == 1800ms);
    policy = {};
    policy.default_deadline_ms = 90'000;
    CHECK(with_policy(base_settings(), policy).max_deadline == 90s);
}
