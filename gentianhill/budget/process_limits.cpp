#include "gentianhill/budget/process_limits.h"

#include <algorithm>

namespace gentianhill {

namespace {

constexpr std::size_t bytes_per_megabyte = 1'000'000;
/// Program, list of instances, configuration and metrics of the largest deployment, in MB.
constexpr std::size_t own_memory_mb = 32;
/// Descriptors that hosts set aside for files.
constexpr std::size_t file_descriptors = 200;
/// On a host with less, a message of full size could not be served.
constexpr std::size_t min_divided_mb = 32;
constexpr std::size_t min_divided_sockets = 64;

} // namespace

process_limits process_limits::from(std::size_t memory_limit_mb, std::size_t descriptor_limit) {
    const std::size_t memory =
        bytes_per_megabyte * std::max(memory_limit_mb, own_memory_mb + min_divided_mb) -
        bytes_per_megabyte * own_memory_mb;
    const std::size_t sockets =
        std::max(descriptor_limit, file_descriptors + min_divided_sockets) - file_descriptors;
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
