#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Role of a host of the platform.
enum class host_role : std::uint8_t { entry_host, backend_server };

/// State of a host in the platform's list.
enum class host_state : std::uint8_t { live, leaving };

/// Returns the name of a role or state as used in the platform's list.
[[nodiscard]] std::string_view to_string(host_role role);
[[nodiscard]] std::string_view to_string(host_state state);
/// Parses the name of a role or state; returns nullopt for an unknown name.
[[nodiscard]] std::optional<host_role> parse_host_role(std::string_view name);
[[nodiscard]] std::optional<host_state> parse_host_state(std::string_view name);

/// Entry of the platform's list of hosts.
struct listed_host {
    /// Name of the host, unique in the fleet; a daemon has the name of its entry host.
    std::string name;
    /// Availability zone.
    std::string zone;
    /// Address of the daemon's peer endpoint as "address:port", or any address of a backend server.
    std::string address;
    /// Entry host or backend server.
    host_role role = host_role::entry_host;
    /// Live or leaving.
    host_state state = host_state::live;
};

} // namespace gentianhill
