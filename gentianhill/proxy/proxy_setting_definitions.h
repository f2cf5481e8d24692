#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/setting_values.h"
#include "gentianhill/proxy/proxy.h"

#include <optional>
#include <span>

namespace gentianhill {

/// Definitions of all settings of a proxy process.
[[nodiscard]] std::span<const setting_definition> proxy_setting_definitions();

/// Settings of the process: those of the proxy, its network addresses and logging.
struct proxy_process_settings {
    proxy_settings proxy;
    /// Address for client connections.
    endpoint client_listen;
    /// Address that serves /readyz, /livez and /metrics.
    endpoint admin_listen;
    /// Address for other daemons; nothing when the daemon talks to none.
    std::optional<endpoint> peer_listen;
    /// Address of the metadata store.
    endpoint store;
    /// Address of the service that promotes instances.
    endpoint promotion_service;
    log_level level = log_level::info;
    std::int64_t log_repeats_per_second = 0;
    /// Memory that the process may use, bytes in socket buffers included, in MB.
    std::size_t memory_limit_mb = 0;
    /// File descriptors that the process may open.
    std::size_t descriptor_limit = 0;

    /// Converts validated setting values.
    [[nodiscard]] static proxy_process_settings from(const setting_values& values);
};

} // namespace gentianhill
