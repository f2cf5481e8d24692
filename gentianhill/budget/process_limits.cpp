#include "gentianhill/budget/process_limits.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr std::size_t bytes_per_megabyte = 1'000'000;
/// Program, list of instances, configuration and metrics of the largest deployment, in MB.
constexpr std::size_t own_memory_mb = 32;
/// Descriptors that hosts set aside for files.
constexpr std::size_t file_descriptors = 200;

} // namespace

process_limits process_limits::from(std::size_t memory_limit_mb, std::size_t descriptor_limit) {
    const std::size_t memory =
        memory_limit_mb > own_memory_mb ? (memory_limit_mb - own_memory_mb) * bytes_per_megabyte : 0;
    const std::size_t sockets = descriptor_limit > file_descriptors ? descriptor_limit - file_descriptors : 0;
    process_limits result;
    // The rest covers what the allocator takes beyond the bytes that are counted, and bytes that arrive
    // between two looks at the sockets.
    result.client_memory_bytes = memory / 2;
    result.peer_memory_bytes = memory / 8;
    result.answer_bytes = memory / 8;
    result.client_connections = sockets * 5 / 8;
    result.peer_connections = sockets / 8;
    result.admin_connections = sockets / 16;
    return result;
}

} // namespace gentianhill
