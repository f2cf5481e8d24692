#include "simulated_fleet.h"

#include "gentianhill/core/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

using namespace std::chrono_literals;

namespace {

constexpr duration in_zone_delay = 100us;
constexpr duration tick_interval = 25ms;
constexpr duration settling_time = 4s;
/// Silence in which a lost connection must be noticed, as on the deployments with the tightest bound.
constexpr duration silence_limit = 4s;

} // namespace

simulated_fleet::simulated_fleet(std::size_t zones, std::size_t daemons_per_zone) {
    configure(1);
    store.write(store_collection::instances, "i-1", {{"state", "ready"}});
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t number = 0; number < daemons_per_zone; ++number) {
            const std::string name = fmt::format("d-{}-{}", zone, number);
            daemons_[name].zone = fmt::format("z{}", zone);
            names_by_address_[address_of(name).to_string()] = name;
        }
    }
    for (const std::string& name : names()) {
        start(name);
    }
    run_for(settling_time);
}

simulated_fleet::~simulated_fleet() {
    for (const std::string& name : names()) {
        kill(name);
    }
}

endpoint simulated_fleet::address_of(const std::string& name) {
    const std::uint64_t weight = rendezvous_weight("address", name);
    return {fmt::format("10.{}.{}.{}", weight % 250, weight / 250 % 250, weight / 62500 % 250), 7440};
}

void simulated_fleet::configure(std::uint64_t version) {
    store.write(store_collection::configuration, "main", {{"version", version}});
}

void simulated_fleet::configure_routes(std::uint64_t version, std::size_t routes) {
    nlohmann::json listed = nlohmann::json::array();
    for (std::size_t index = 0; index < routes; ++index) {
        const std::uint64_t weight = rendezvous_weight("route", std::to_string(index));
        const std::uint64_t timeout_ms = index == version % routes ? 1000 + version : 1000;
        listed.push_back({{"name", fmt::format("r-{:x}", weight % 0xffffff)},
                          {"database", fmt::format("db-{:x}", weight >> 32U)},
                          {"path", "/"},
                          {"consistency", "read_your_writes"},
                          {"timeout_ms", timeout_ms},
                          {"target_ms", 250},
                          {"priority", 1},
                          {"group", fmt::format("group-{}", weight % 8)},
                          {"max_attempts", 2},
                          {"max_staleness_ms", 2500},
                          {"public", false}});
    }
    store.write(store_collection::configuration, "main", {{"version", version}, {"routes", listed}});
}

void simulated_fleet::start(const std::string& name) {
    fleet_daemon& daemon = daemons_.at(name);
    ++daemon.incarnation;
    daemon.log = std::make_unique<logger>();
    daemon.log->sink = [](std::string_view) {};
    daemon.log->now = [this] { return clock.now(); };
    daemon.registry = std::make_unique<metrics>();
    daemon.store = std::make_unique<metadata_store>(store.make_port(name));
    daemon.port = std::make_unique<relay_port>();
    daemon.port->ask = [this, name](const endpoint& server, relay_request_kind, const nlohmann::json& message,
                                    duration timeout, const relay_answer_handler& done) {
        ask(name, server, message, timeout, done);
    };
    if (without_references.count(name) == 0) {
        daemon.port->fetch_content = [this, name](const endpoint& server, const std::string& message,
                                                  duration timeout, const content_answer_handler& done) {
            fetch_content(name, server, message, timeout, done);
        };
    }
    collection_watch_settings watch;
    watch.wait = silence_limit - 1s;
    std::vector<collection_watch*> watches;
    for (const store_collection collection : {store_collection::configuration, store_collection::instances,
                                              store_collection::duties, store_collection::proxies}) {
        watch.lists_may_be_old = collection == store_collection::proxies;
        daemon.watches.push_back(
            std::make_unique<collection_watch>(collection, *daemon.store, *daemon.log, watch));
        daemon.watches.back()->call_after = [this, name](duration delay, std::function<void()> action) {
            clock.call_after(delay, name, std::move(action));
        };
        daemon.watches.back()->random = [this] { return std::uniform_real_distribution<>(0, 1)(random_); };
        daemon.watches.back()->now = [this] { return clock.now(); };
        watches.push_back(daemon.watches.back().get());
    }
    daemon.directory = std::make_unique<daemon_directory>(*daemon.store, watches.back()->replica(),
                                                          *daemon.log, daemon_directory_settings{}, name,
                                                          directory_entry{daemon.zone, address_of(name)});
    daemon.directory->now = [this] { return clock.now(); };
    watches.back()->replica().on_update = [directory = daemon.directory.get()](bool) { directory->update(); };
    watches.front()->replica().on_update = [this, name](bool) { note_version(name); };
    state_relay_settings relay;
    relay.poll_wait = silence_limit / 4;
    relay.selection.max_age = watch.wait + 1500ms;
    for (const char* seed : {"d-0-0", "d-0-1", "d-0-2"}) {
        if (seed != name) {
            relay.seeds.push_back(address_of(seed));
        }
    }
    daemon.relay = std::make_unique<state_relay>(relay, *daemon.directory, watches, *daemon.port, *daemon.log,
                                                 *daemon.registry);
    daemon.relay->now = [this] { return clock.now(); };
    daemon.relay->random = [this] { return std::uniform_real_distribution<>(0, 1)(random_); };
    daemon.relay->start();
    tick(name, daemon.incarnation);
}

void simulated_fleet::kill(const std::string& name) {
    fleet_daemon& daemon = daemons_.at(name);
    ++daemon.incarnation;
    daemon.relay.reset();
    daemon.directory.reset();
    daemon.watches.clear();
    daemon.version = 0;
}

void simulated_fleet::stop(const std::string& name) {
    daemons_.at(name).directory->remove_own_entry();
    daemons_.at(name).relay->stop();
    run_for(100ms);
    kill(name);
}

bool simulated_fleet::runs(const std::string& name) const {
    return daemons_.at(name).relay != nullptr;
}

void simulated_fleet::tick(const std::string& name, std::uint64_t incarnation) {
    fleet_daemon& daemon = daemons_.at(name);
    if (daemon.incarnation != incarnation || daemon.relay == nullptr) {
        return;
    }
    daemon.directory->tick(daemon.relay->is_store_reachable());
    daemon.relay->tick();
    clock.call_after(tick_interval, name, [this, name, incarnation] { tick(name, incarnation); });
}

duration simulated_fleet::transmit(const std::string& from, std::size_t bytes) {
    bytes_sent[from] += bytes;
    if (link_bytes_per_s == 0) {
        return duration(0);
    }
    const double seconds = static_cast<double>(bytes) / link_bytes_per_s;
    time_point& free_at = link_free_at_[from];
    free_at = std::max(free_at, clock.now()) +
              std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return free_at - clock.now();
}

template <typename answer_type>
void simulated_fleet::exchange(
    const std::string& from, const endpoint& server, std::size_t bytes, duration timeout,
    const std::function<void(const std::optional<answer_type>&, const error&)>& done,
    const std::function<
        void(fleet_daemon& target, const std::string& to,
             std::function<void(std::optional<answer_type>, std::size_t, const error&)> respond)>& deliver) {
    const std::map<std::string, std::string>::const_iterator found =
        names_by_address_.find(server.to_string());
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::uint64_t incarnation = daemons_.at(from).incarnation;
    const auto finish = [this, from, incarnation, answered,
                         done](duration delay, std::optional<answer_type> answer, error reason) {
        clock.call_after(delay, from,
                         [this, from, incarnation, answered, done, answer = std::move(answer),
                          reason = std::move(reason)] {
                             if (!*answered && daemons_.at(from).incarnation == incarnation) {
                                 *answered = true;
                                 done(answer, reason);
                             }
                         });
    };
    finish(timeout, std::nullopt, error{error_code::timed_out, "server", server.to_string(), ""});
    if (found == names_by_address_.end() || cut_hosts.count(from) > 0) {
        return;
    }
    const std::string to = found->second;
    clock.call_after(in_zone_delay + transmit(from, bytes), to, [this, to, deliver, finish] {
        fleet_daemon& target = daemons_.at(to);
        if (cut_hosts.count(to) > 0) {
            return;
        }
        if (target.relay == nullptr) {
            finish(in_zone_delay, std::nullopt, error{error_code::connect_failed, "server", to, ""});
            return;
        }
        deliver(target, to,
                [this, to, finish](std::optional<answer_type> answer, std::size_t size, const error& reason) {
                    if (cut_hosts.count(to) == 0) {
                        finish(in_zone_delay + slowness[to] + transmit(to, size), std::move(answer), reason);
                    }
                });
    });
}

void simulated_fleet::ask(const std::string& from, const endpoint& server, const nlohmann::json& message,
                          duration timeout, const relay_answer_handler& done) {
    exchange<nlohmann::json>(
        from, server, message.dump().size(), timeout, done,
        [this, message](fleet_daemon& target, const std::string& to, const auto& respond) {
            target.relay->on_request(
                message, [this, to, respond](const std::optional<nlohmann::json>& answer, const error& why) {
                    std::optional<nlohmann::json> sent = answer;
                    if (sent && corrupt.count(to) > 0) {
                        corrupt.at(to)(*sent);
                    }
                    const std::size_t size = sent ? sent->dump().size() : 0;
                    respond(std::move(sent), size, why);
                });
        });
}

void simulated_fleet::fetch_content(const std::string& from, const endpoint& server,
                                    const std::string& message, duration timeout,
                                    const content_answer_handler& done) {
    exchange<std::string>(
        from, server, message.size(), timeout, done,
        [this, message](fleet_daemon& target, const std::string& to, const auto& respond) {
            target.relay->on_content_request(
                message, [this, to, respond](const std::optional<std::string>& answer, const error& why) {
                    std::optional<std::string> sent = answer;
                    if (sent && corrupt_parts.count(to) > 0) {
                        corrupt_parts.at(to)(*sent);
                    }
                    const std::size_t size = sent ? sent->size() : 0;
                    respond(std::move(sent), size, why);
                });
        });
}

void simulated_fleet::note_version(const std::string& name) {
    fleet_daemon& daemon = daemons_.at(name);
    const std::uint64_t version = version_of(name);
    if (version < daemon.version) {
        regressions.push_back(fmt::format("{} from {} to {}", name, daemon.version, version));
    }
    daemon.version = version;
}

std::vector<std::string> simulated_fleet::names() const {
    std::vector<std::string> result;
    for (const std::map<std::string, fleet_daemon>::value_type& entry : daemons_) {
        result.push_back(entry.first);
    }
    return result;
}

std::vector<std::string> simulated_fleet::order(const std::string& zone) const {
    std::vector<std::string> members;
    for (const std::map<std::string, fleet_daemon>::value_type& entry : daemons_) {
        if (entry.second.zone == zone) {
            members.push_back(entry.first);
        }
    }
    return rendezvous_order(zone, std::move(members));
}

std::uint64_t simulated_fleet::version_of(const std::string& name) const {
    const fleet_daemon& daemon = daemons_.at(name);
    if (daemon.watches.empty()) {
        return 0;
    }
    const std::map<std::string, stored_object, std::less<>>& objects =
        daemon.watches.front()->replica().objects();
    const auto found = objects.find("main");
    return found == objects.end() ? 0 : found->second.content.at("version").get<std::uint64_t>();
}

const nlohmann::json& simulated_fleet::configuration_of(const std::string& name) const {
    return daemons_.at(name).watches.front()->replica().objects().at("main").content;
}

std::vector<std::string> simulated_fleet::behind(std::uint64_t version) const {
    std::vector<std::string> result;
    for (const std::string& name : names()) {
        if (runs(name) && !clock.is_frozen(name) && version_of(name) < version) {
            result.push_back(name);
        }
    }
    return result;
}

bool simulated_fleet::knows_instance(const std::string& name, const std::string& instance) const {
    return daemons_.at(name).watches.at(1)->replica().objects().count(instance) > 0;
}

std::uint64_t simulated_fleet::failed_requests() const {
    std::uint64_t count = 0;
    for (const std::map<std::string, fleet_daemon>::value_type& entry : daemons_) {
        if (entry.second.registry != nullptr) {
            count +=
                entry.second.registry->add_counter("gentianhill_relay_requests_failed_total", "").value();
        }
    }
    return count;
}

std::size_t simulated_fleet::watchers() const {
    std::size_t count = 0;
    for (const std::map<std::string, fleet_daemon>::value_type& entry : daemons_) {
        count += entry.second.relay != nullptr && entry.second.relay->watches_store() ? 1U : 0U;
    }
    return count;
}

} // namespace gentianhill
