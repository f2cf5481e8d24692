#include "gentianhill/proxy/proxy_setting_definitions.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

/// Memory and descriptors of the smallest hosts that daemons run on.
constexpr std::int64_t default_memory_limit_mb = 160;
constexpr std::int64_t default_descriptor_limit = 4300;

setting_definition make_text(const char* name, setting_type type, const char* help) {
    setting_definition result;
    result.name = name;
    result.type = type;
    result.required = true;
    result.help = help;
    return result;
}

std::vector<setting_definition> make_definitions() {
    std::vector<setting_definition> result;
    result.push_back(
        make_text("name", setting_type::name, "Identifier of the daemon, unique in the deployment."));
    result.push_back(make_text("zone", setting_type::name, "Availability zone that the daemon runs in."));
    result.push_back(make_text("client_listen", setting_type::address, "Address for clients."));
    result.push_back(
        make_text("admin_listen", setting_type::address, "Address for /readyz, /livez and /metrics."));
    result.push_back(make_text("store", setting_type::address, "Address of the metadata store."));
    result.push_back(make_text("promotion_service", setting_type::address,
                               "Address of the service that promotes instances."));
    setting_definition peer_listen;
    peer_listen.name = "peer_listen";
    peer_listen.type = setting_type::address;
    peer_listen.help =
        "Address for other daemons. Without it the daemon takes everything from the metadata store "
        "itself.";
    result.push_back(std::move(peer_listen));
    setting_definition seeds;
    seeds.name = "seeds";
    seeds.type = setting_type::address_list;
    seeds.help =
        "Daemons to ask for configuration and instances when the metadata store does not answer at the "
        "start.";
    result.push_back(std::move(seeds));
    result.push_back(make_integer_setting("seed_port", 0, 0, 65'535, "",
                                          "Port of the seeds in place of those listed; 0 keeps them."));
    result.push_back(
        make_integer_setting("daemons", 4, 1, 10'000, "daemons",
                             "Daemons among which the connections of each instance are shared."));
    result.push_back(
        make_integer_setting("grace_s", 6, 1, 600, "s", "Time from the request to stop until the end."));
    result.push_back(
        make_integer_setting("turn_spacing_ms", 0, 0, 600'000, "ms",
                             "Shortest time between the turns of two holders of the failover duty."));
    result.push_back(
        make_integer_setting("trust_window_ms", 600, 50, 10'000, "ms",
                             "Time for which a primary is trusted after evidence. The same on all daemons: a "
                             "promotion takes effect later than that after its fences."));
    result.push_back(
        make_integer_setting("promotion_delay_ms", 200, 0, 10'000, "ms",
                             "Shortest time from a promotion call to its effect. The same on all daemons; a "
                             "promotion waits for the rest of the trust window before its call."));
    result.push_back(
        make_integer_setting("silence_limit_ms", 4000, 1500, 60'000, "ms",
                             "Time in which a connection to the store that has gone silent must be noticed. "
                             "Longer ones cost fewer calls."));
    result.push_back(make_integer_setting("configuration_limit_ms", 3000, 100, 600'000, "ms",
                                          "Time within which a configuration must be in effect. A transfer "
                                          "from another daemon that takes half of "
                                          "it is logged as a warning."));
    result.push_back(make_integer_setting("key_lease_ms", 0, 0, 600'000, "ms",
                                          "Time for which a key may be used after it was taken away, also by "
                                          "daemons that are out of touch with "
                                          "the store; 0 when only the configuration in effect counts."));
    result.push_back(make_number_setting("quota_window_s", "0", 0, 3600, "s",
                                         "Sliding window in which the operations of a team are counted over "
                                         "all daemons; 0 keeps no limits."));
    result.push_back(make_number_setting("quota_over", "0.1", 0, 10, "",
                                         "Part by which the operations in a window may exceed the limit of "
                                         "the team."));
    result.push_back(make_number_setting("quota_slack", "20", 0, 1'000'000, "operations",
                                         "Operations in a window that may exceed the limit besides."));
    result.push_back(
        make_integer_setting("memory_limit_mb", default_memory_limit_mb, 1, 1'000'000, "MB",
                             "Memory of the host that the process may use, bytes in socket buffers included. "
                             "Clients and peers are limited so that it is not exceeded."));
    result.push_back(make_integer_setting("descriptor_limit", default_descriptor_limit, 1, 1'000'000,
                                          "descriptors", "File descriptors that the process may open."));
    setting_definition level;
    level.name = "log_level";
    level.type = setting_type::choice;
    level.default_value = "info";
    level.choices = {"debug", "info", "warning", "error"};
    level.help = "Lowest level of log lines.";
    result.push_back(std::move(level));
    result.push_back(make_integer_setting("log_repeats_per_second", 20, 1, 10'000, "lines",
                                          "Log lines of one event per second; further ones are counted."));
    return result;
}

endpoint parse_address(const setting_values& values, std::string_view name) {
    error ignored;
    const std::optional<endpoint> parsed = endpoint::parse(values.text(name), name, ignored);
    assert(parsed);
    return *parsed;
}

} // namespace

std::span<const setting_definition> proxy_setting_definitions() {
    static const std::vector<setting_definition> definitions = make_definitions();
    return definitions;
}

namespace {

/// Addresses of the seeds, without the daemon itself.
std::vector<endpoint> read_seeds(const setting_values& values, const endpoint& self) {
    error ignored;
    std::vector<endpoint> seeds =
        endpoint::parse_list(values.text("seeds"), "seeds", ignored).value_or(std::vector<endpoint>{});
    const std::int64_t port = values.integer("seed_port");
    for (endpoint& seed : seeds) {
        seed.port = port != 0 ? static_cast<std::uint16_t>(port) : seed.port;
    }
    seeds.erase(std::remove(seeds.begin(), seeds.end(), self), seeds.end());
    return seeds;
}

} // namespace

proxy_process_settings proxy_process_settings::from(const setting_values& values) {
    /// Added to the trust window to cover timer and clock inaccuracy.
    constexpr duration trust_margin = std::chrono::milliseconds(30);
    /// Covers the time that a watch call may take beyond its wait, and the duration of the next call.
    constexpr duration call_margin = std::chrono::milliseconds(1000);
    proxy_process_settings result;
    result.proxy.name = values.text("name");
    result.proxy.zone = values.text("zone");
    result.proxy.assumed_daemons = static_cast<std::size_t>(values.integer("daemons"));
    result.proxy.grace = std::chrono::seconds(values.integer("grace_s"));
    result.proxy.lease.turn_spacing = std::chrono::milliseconds(values.integer("turn_spacing_ms"));
    result.proxy.group.trust_window = std::chrono::milliseconds(values.integer("trust_window_ms"));
    const duration promotion_delay = std::chrono::milliseconds(values.integer("promotion_delay_ms"));
    result.proxy.failover.promotion.trust_wait =
        std::max(result.proxy.group.trust_window - promotion_delay, duration(0)) + trust_margin;
    result.proxy.relay.contents.receiver.late_limit =
        std::chrono::milliseconds(values.integer("configuration_limit_ms")) / 2;
    result.proxy.key_lease = std::chrono::milliseconds(values.integer("key_lease_ms"));
    result.proxy.quota.window =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(values.number("quota_window_s")));
    result.proxy.quota.over = values.number("quota_over");
    result.proxy.quota.slack = values.number("quota_slack");
    const duration silence_limit = std::chrono::milliseconds(values.integer("silence_limit_ms"));
    result.proxy.watch.wait = silence_limit - call_margin;
    // With both sources lost at once, a daemon has another one within the silence limit.
    result.proxy.relay.poll_wait = silence_limit / 4;
    if (!values.text("peer_listen").empty()) {
        result.peer_listen = parse_address(values, "peer_listen");
        result.proxy.peer_address = result.peer_listen;
        result.proxy.relay.seeds = read_seeds(values, *result.peer_listen);
    }
    result.client_listen = parse_address(values, "client_listen");
    result.admin_listen = parse_address(values, "admin_listen");
    result.store = parse_address(values, "store");
    result.promotion_service = parse_address(values, "promotion_service");
    result.level = log_level_from(values.text("log_level")).value_or(log_level::info);
    result.log_repeats_per_second = values.integer("log_repeats_per_second");
    result.memory_limit_mb = static_cast<std::size_t>(values.integer("memory_limit_mb"));
    result.descriptor_limit = static_cast<std::size_t>(values.integer("descriptor_limit"));
    return result;
}

} // namespace gentianhill
