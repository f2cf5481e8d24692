#pragma once

#include <cstddef>

namespace gentianhill {

/// How a process divides the memory and the descriptors of its host.
struct process_limits {
    /// Memory for client connections: input, statements, session state and unsent answers, in bytes.
    std::size_t client_memory_bytes = 0;
    /// Memory for requests of other daemons that are incomplete or not answered, in bytes.
    std::size_t peer_memory_bytes = 0;
    /// Largest answer of an instance, in bytes.
    std::size_t answer_bytes = 0;
    /// Connections of clients.
    std::size_t client_connections = 0;
    /// Connections of other daemons to this one.
    std::size_t peer_connections = 0;
    /// Connections to the endpoint for readiness and metrics.
    std::size_t admin_connections = 0;

    /// Divides a host's limits. What is left belongs to the process itself and to its connections to
    /// instances, the metadata store and other daemons.
    [[nodiscard]] static process_limits from(std::size_t memory_limit_mb, std::size_t descriptor_limit);
};

} // namespace gentianhill
