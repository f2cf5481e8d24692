#include "gentianhill/membership/listed_host.h"

namespace gentianhill {

std::string_view to_string(host_role role) {
    return role == host_role::entry_host ? "entry" : "backend";
}

std::string_view to_string(host_state state) {
    return state == host_state::live ? "live" : "leaving";
}

std::optional<host_role> parse_host_role(std::string_view name) {
    if (name == to_string(host_role::entry_host)) {
        return host_role::entry_host;
    }
    if (name == to_string(host_role::backend_server)) {
        return host_role::backend_server;
    }
    return std::nullopt;
}

std::optional<host_state> parse_host_state(std::string_view name) {
    if (name == to_string(host_state::live)) {
        return host_state::live;
    }
    if (name == to_string(host_state::leaving)) {
        return host_state::leaving;
    }
    return std::nullopt;
}

} // namespace gentianhill
