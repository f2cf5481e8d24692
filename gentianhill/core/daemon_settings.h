#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/setting_values.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Definitions of all settings of the daemon.
[[nodiscard]] std::span<const setting_definition> daemon_setting_definitions();

/// Another daemon of the deployment.
struct peer_setting {
    /// Identifier of the daemon.
    std::string name;
    /// Availability zone that it runs in.
    std::string zone;
    /// Address of its peer endpoint.
    endpoint address;

    /// Parses a list "name=zone@address:port,..."; an empty text is an empty list.
    /// Errors: bad_value, naming `field`.
    [[nodiscard]] static std::optional<std::vector<peer_setting>>
    parse_list(std::string_view text, std::string_view field, error& reason);
};

/// Settings of one daemon; docs/settings.md describes each. Defaults are those of the definitions.
struct daemon_settings {
    /// Identifier of the daemon, unique in the deployment.
    std::string name;
    /// Availability zone that it runs in.
    std::string zone;
    /// Addresses to listen on.
    endpoint listen;
    endpoint peer_listen;
    endpoint operator_listen;
    endpoint admin_listen;
    /// Address of the platform's object API.
    endpoint platform;
    /// All other daemons of the deployment.
    std::vector<peer_setting> peers;
    /// Keys that sign session tokens.
    std::string token_key;
    std::string token_previous_key;
    /// Entry hosts among which the connections of each instance are shared.
    std::int64_t entry_hosts = 0;
    /// Time without acknowledgement from a majority after which new writes are rejected.
    duration confirm_stall_limit{};
    /// Deadline of a request that gives none, and the longest that a request may give.
    duration default_deadline{};
    duration max_deadline{};
    /// Time for which a key protects against duplicates.
    duration key_retention{};
    /// Longest time that a planned stop may take.
    duration drain_limit{};
    /// Time between probes of a silent instance.
    duration probe_interval{};
    /// Length of silence of a primary after which it is suspected.
    duration suspect_after{};
    /// Requests waiting for a connection per group.
    std::int64_t queue_capacity = 0;
    /// Retries as a share of requests, in percent.
    std::int64_t retry_budget_percent = 0;
    /// Connections that are opened to one instance at the same time.
    std::int64_t concurrent_connects = 0;
    /// Longest time for a connection to be established.
    duration connect_timeout{};
    /// Lowest level of log lines, and lines of one event that are written per second.
    log_level level = log_level::info;
    std::int64_t log_repeats_per_second = 0;
    /// Events kept in the timeline.
    std::int64_t timeline_capacity = 0;

    /// Reads and checks the settings as a whole.
    /// Errors: those of setting_values::read, and bad_value for settings that conflict.
    [[nodiscard]] static std::optional<daemon_settings> read(const setting_values& values, error& reason);
};

} // namespace gentianhill
