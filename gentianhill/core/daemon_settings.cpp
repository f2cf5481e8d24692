#include "gentianhill/core/daemon_settings.h"

#include "gentianhill/core/name.h"

#include <fmt/format.h>

#include <array>
#include <set>
#include <utility>

namespace gentianhill {

namespace {

setting_definition make_name(const char* name, const char* help) {
    setting_definition result;
    result.name = name;
    result.type = setting_type::name;
    result.required = true;
    result.help = help;
    return result;
}

setting_definition make_address(const char* name, const char* default_value, const char* help) {
    setting_definition result;
    result.name = name;
    result.type = setting_type::address;
    result.default_value = default_value;
    result.required = result.default_value.empty();
    result.help = help;
    return result;
}

setting_definition make_secret(const char* name, bool required, const char* help) {
    constexpr std::int64_t min_key_bytes = 16;
    constexpr std::int64_t max_key_bytes = 256;
    setting_definition result;
    result.name = name;
    result.type = setting_type::secret;
    result.required = required;
    result.low = min_key_bytes;
    result.high = max_key_bytes;
    result.help = help;
    return result;
}

std::vector<setting_definition> make_definitions() {
    setting_definition peers;
    peers.name = "peers";
    peers.type = setting_type::peer_list;
    peers.help =
        "All daemons of the deployment with their zones and peer addresses; the daemon itself may be listed.";
    setting_definition level;
    level.name = "log_level";
    level.type = setting_type::choice;
    level.default_value = "info";
    level.choices = {"debug", "info", "warning", "error"};
    level.help = "Lowest level of log lines.";
    return {
        make_name("name", "Identifier of the daemon, unique in the deployment."),
        make_name("zone", "Availability zone that the daemon runs in."),
        make_address("listen", "127.0.0.1:7400", "Address for callers."),
        make_address("peer_listen", "127.0.0.1:7401", "Address for other daemons."),
        make_address("operator_listen", "127.0.0.1:7402", "Address for operators and the tool gentianhill."),
        make_address("admin_listen", "127.0.0.1:7403", "Address for /metrics, /readyz and /livez."),
        make_address("platform", "", "Address of the platform's object API."),
        peers,
        make_secret("token_key", true,
                    "Key that signs session tokens; the same on all daemons of a deployment."),
        make_secret("token_previous_key", false,
                    "Previous token key, still accepted while a new key is introduced."),
        make_integer_setting("entry_hosts", 5, 1, 64, "",
                             "Entry hosts among which the connections of each instance are shared."),
        make_integer_setting(
            "confirm_stall_limit_ms", 1000, 100, 60'000, "ms",
            "Time without acknowledgement from a majority after which new writes are rejected."),
        make_integer_setting("default_deadline_ms", 2000, 10, 600'000, "ms",
                             "Deadline of a request that gives none."),
        make_integer_setting("max_deadline_ms", 60'000, 10, 600'000, "ms",
                             "Longest deadline that a request may give."),
        make_integer_setting("key_retention_s", 86'400, 60, 2'592'000, "s",
                             "Time for which an idempotency key protects against duplicates."),
        make_integer_setting("drain_limit_s", 30, 1, 600, "s", "Longest time that a planned stop may take."),
        make_integer_setting("probe_interval_ms", 200, 10, 10'000, "ms",
                             "Time between probes of a silent instance."),
        make_integer_setting(
            "suspect_after_ms", 800, 50, 60'000, "ms",
            "Silence of a primary after which it is suspected; at least two probe intervals."),
        make_integer_setting("queue_capacity", 1000, 1, 1'000'000, "requests",
                             "Requests that may wait for a connection, per group."),
        make_integer_setting("retry_budget_percent", 10, 0, 50, "%", "Retries as a share of requests."),
        make_integer_setting("concurrent_connects", 2, 1, 16, "",
                             "Connections that are opened to one instance at the same time."),
        make_integer_setting("connect_timeout_ms", 1000, 10, 60'000, "ms",
                             "Longest time for a connection to be established."),
        level,
        make_integer_setting("log_repeats_per_second", 20, 1, 10'000, "lines",
                             "Log lines of one event per second; further ones are counted and summarised."),
        make_integer_setting("timeline_capacity", 20'000, 100, 200'000, "events",
                             "Events kept in the timeline."),
    };
}

std::optional<peer_setting> parse_peer(std::string_view text, std::string_view field, error& reason) {
    const std::size_t equals = text.find('=');
    const std::size_t at = text.find('@');
    const bool has_form = equals != std::string_view::npos && at != std::string_view::npos && equals < at;
    if (!has_form || !valid_name(text.substr(0, equals)) ||
        !valid_name(text.substr(equals + 1, at - equals - 1))) {
        reason = error{error_code::bad_value, std::string{field}, std::string{text.substr(0, 64)},
                       "name=zone@address:port, separated by commas"};
        return std::nullopt;
    }
    std::optional<endpoint> address = endpoint::parse(text.substr(at + 1), field, reason);
    if (!address) {
        return std::nullopt;
    }
    return peer_setting{std::string{text.substr(0, equals)},
                        std::string{text.substr(equals + 1, at - equals - 1)}, std::move(*address)};
}

endpoint read_address(const setting_values& values, std::string_view name) {
    error ignored;
    return endpoint::parse(values.text(name), name, ignored).value_or(endpoint{});
}

duration read_ms(const setting_values& values, std::string_view name) {
    return std::chrono::milliseconds{values.integer(name)};
}

duration read_s(const setting_values& values, std::string_view name) {
    return std::chrono::seconds{values.integer(name)};
}

bool check_addresses(const daemon_settings& settings, const setting_values& values, error& reason) {
    const std::array<std::pair<std::string_view, const endpoint*>, 4> own{{
        {"listen", &settings.listen},
        {"peer_listen", &settings.peer_listen},
        {"operator_listen", &settings.operator_listen},
        {"admin_listen", &settings.admin_listen},
    }};
    std::set<endpoint> seen;
    for (const std::pair<std::string_view, const endpoint*>& entry : own) {
        if (!seen.insert(*entry.second).second) {
            reason = error{error_code::bad_value, values.origin(entry.first), entry.second->to_string(),
                           "an address that no other setting listens on"};
            return false;
        }
    }
    return true;
}

// Leaves out this daemon itself, so that all daemons can have the same list, and refuses duplicates.
bool take_peers(std::vector<peer_setting> listed, const setting_values& values, daemon_settings& settings,
                error& reason) {
    std::set<std::string> names;
    std::set<endpoint> addresses;
    for (peer_setting& peer : listed) {
        const bool is_self = peer.name == settings.name;
        // The daemon may listen on all addresses of its host, so only zone and port can be compared.
        const bool is_consistent =
            !is_self || (peer.zone == settings.zone && peer.address.port == settings.peer_listen.port);
        const bool is_other = is_self || peer.address != settings.peer_listen;
        if (!is_consistent || !is_other || !names.insert(peer.name).second ||
            !addresses.insert(peer.address).second) {
            reason = error{error_code::bad_value, values.origin("peers"),
                           fmt::format("{}={}@{}", peer.name, peer.zone, peer.address.to_string()),
                           "each name and address once; this daemon itself only with its own zone and port"};
            return false;
        }
        if (!is_self) {
            settings.peers.push_back(std::move(peer));
        }
    }
    return true;
}

bool check_conflicts(const daemon_settings& settings, const setting_values& values, error& reason) {
    if (settings.default_deadline > settings.max_deadline) {
        reason = error{error_code::bad_value, values.origin("default_deadline_ms"),
                       values.text("default_deadline_ms"),
                       fmt::format("at most max_deadline_ms, which is {}", values.text("max_deadline_ms"))};
        return false;
    }
    if (settings.suspect_after < 2 * settings.probe_interval) {
        reason = error{
            error_code::bad_value, values.origin("suspect_after_ms"), values.text("suspect_after_ms"),
            fmt::format("at least twice probe_interval_ms, which is {}", values.text("probe_interval_ms"))};
        return false;
    }
    if (settings.token_key == settings.token_previous_key) {
        reason = error{error_code::bad_value, values.origin("token_previous_key"), "",
                       "a key other than token_key, or none"};
        return false;
    }
    return check_addresses(settings, values, reason);
}

} // namespace

std::span<const setting_definition> daemon_setting_definitions() {
    static const std::vector<setting_definition> definitions = make_definitions();
    return definitions;
}

std::optional<std::vector<peer_setting>> peer_setting::parse_list(std::string_view text,
                                                                  std::string_view field, error& reason) {
    std::vector<peer_setting> result;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const bool last = comma == std::string_view::npos;
        std::optional<peer_setting> peer = parse_peer(text.substr(0, comma), field, reason);
        if (!peer) {
            return std::nullopt;
        }
        result.push_back(std::move(*peer));
        text = last ? std::string_view{} : text.substr(comma + 1);
    }
    return result;
}

std::optional<daemon_settings> daemon_settings::read(const setting_values& values, error& reason) {
    daemon_settings result;
    // Where the daemon is and what it talks to.
    result.name = values.text("name");
    result.zone = values.text("zone");
    result.listen = read_address(values, "listen");
    result.peer_listen = read_address(values, "peer_listen");
    result.operator_listen = read_address(values, "operator_listen");
    result.admin_listen = read_address(values, "admin_listen");
    result.platform = read_address(values, "platform");
    std::optional<std::vector<peer_setting>> peers =
        peer_setting::parse_list(values.text("peers"), values.origin("peers"), reason);
    if (!peers || !take_peers(std::move(*peers), values, result, reason)) {
        return std::nullopt;
    }
    result.token_key = values.text("token_key");
    result.token_previous_key = values.text("token_previous_key");
    // Times and limits.
    result.entry_hosts = values.integer("entry_hosts");
    result.confirm_stall_limit = read_ms(values, "confirm_stall_limit_ms");
    result.default_deadline = read_ms(values, "default_deadline_ms");
    result.max_deadline = read_ms(values, "max_deadline_ms");
    result.key_retention = read_s(values, "key_retention_s");
    result.drain_limit = read_s(values, "drain_limit_s");
    result.probe_interval = read_ms(values, "probe_interval_ms");
    result.suspect_after = read_ms(values, "suspect_after_ms");
    result.queue_capacity = values.integer("queue_capacity");
    result.retry_budget_percent = values.integer("retry_budget_percent");
    result.concurrent_connects = values.integer("concurrent_connects");
    result.connect_timeout = read_ms(values, "connect_timeout_ms");
    // Logs and timeline.
    result.level = log_level_from(values.text("log_level")).value_or(log_level::info);
    result.log_repeats_per_second = values.integer("log_repeats_per_second");
    result.timeline_capacity = values.integer("timeline_capacity");
    if (!check_conflicts(result, values, reason)) {
        return std::nullopt;
    }
    return result;
}

} // namespace gentianhill
