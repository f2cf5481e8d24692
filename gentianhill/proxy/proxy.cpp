#include "gentianhill/proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Interval of the periodic work.
constexpr duration tick_interval = 25ms;
/// Time until the load balancer notices that the daemon is not ready.
constexpr duration balancer_delay = graceful_stop_settings{}.balancer_delay;
constexpr std::uint32_t stagger_positions = 5;
/// Delay before new members are recorded, since many are listed together at startup.
constexpr duration record_delay = 100ms;

/// Wraps a handler so that it does nothing once the proxy has been destroyed.
template <typename... argument_types>
std::function<void(argument_types...)> guarded(const std::weak_ptr<bool>& alive,
                                               std::function<void(argument_types...)> handler) {
    return [alive, handler = std::move(handler)](argument_types... arguments) {
        if (!alive.expired()) {
            handler(arguments...);
        }
    };
}

/// Wraps the ports so that answers that arrive after the proxy has been destroyed are dropped.
proxy_ports guard_ports(proxy_ports ports, const std::weak_ptr<bool>& alive) {
    ports.call_after = [alive, call = ports.call_after](duration delay, std::function<void()> action) {
        call(delay, guarded(alive, std::move(action)));
    };
    ports.promote = [alive, call = ports.promote](const std::string& group, const std::string& id,
                                                  const std::string& holder, std::uint64_t token,
                                                  std::function<void(promotion_call_result)> done) {
        call(group, id, holder, token, guarded(alive, std::move(done)));
    };
    metadata_store& store = ports.store;
    store.list = [alive, call = store.list](store_collection which, const std::string& after,
                                            metadata_store::handler done) {
        call(which, after, guarded(alive, std::move(done)));
    };
    store.watch = [alive, call = store.watch](store_collection which, std::uint64_t revision, duration wait,
                                              metadata_store::handler done) {
        call(which, revision, wait, guarded(alive, std::move(done)));
    };
    store.get = [alive, call = store.get](store_collection which, const std::string& name,
                                          metadata_store::handler done) {
        call(which, name, guarded(alive, std::move(done)));
    };
    store.put = [alive, call = store.put](store_collection which, const stored_object& object,
                                          metadata_store::handler done) {
        call(which, object, guarded(alive, std::move(done)));
    };
    store.remove = [alive, call = store.remove](store_collection which, const std::string& name,
                                                metadata_store::handler done) {
        call(which, name, guarded(alive, std::move(done)));
    };
    return ports;
}

} // namespace

proxy::proxy(const proxy_settings& settings, proxy_ports ports, logger& log, metrics& registry)
    : settings_(settings),
      ports_(guard_ports(std::move(ports), alive_)),
      log_(log),
      counters_(registry),
      instance_watch_(store_collection::instances, ports_.store, log, settings.watch),
      configuration_watch_(store_collection::configuration, ports_.store, log, settings.watch),
      lease_(ports_.store, log, settings.lease, settings.name, settings.incarnation),
      registry_(ports_.store, log, settings.registry, settings.name, settings.incarnation),
      stop_({settings.grace, balancer_delay}) {
    lease_.now = ports_.now;
    registry_.now = ports_.now;
    registry_.on_count = [this](std::size_t) { apply_group_limits(); };
    settings_.group.zone = settings.zone;
    for (collection_watch* watch : {&instance_watch_, &configuration_watch_}) {
        watch->call_after = ports_.call_after;
        watch->random = ports_.random;
    }
    instance_watch_.on_list = [this](const std::vector<stored_object>& objects) { on_instances(objects); };
    instance_watch_.on_event = [this](const store_event& event) { on_instance_event(event); };
    configuration_watch_.on_list = [this](const std::vector<stored_object>& objects) {
        for (const stored_object& object : objects) {
            on_configuration_object(object);
        }
    };
    configuration_watch_.on_event = [this](const store_event& event) {
        if (!event.deleted) {
            on_configuration_object(event.object);
        }
    };
    catalog_.on_change = [this](const listed_instance& listed) { on_instance_changed(listed); };
    catalog_.on_remove = [this](const listed_instance& listed) {
        group(listed.group).remove_instance(listed.id);
    };
    failover_port_.call_after = ports_.call_after;
    failover_port_.promote = [this](const std::string& group_name, const std::string& id, std::uint64_t token,
                                    std::function<void(promotion_call_result)> done) {
        ports_.promote(group_name, id, settings_.name, token, std::move(done));
    };
    failover_port_.list_instances =
        [this](const std::string& group_name,
               const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done) {
            list_instances(group_name, "", std::make_shared<std::vector<listed_instance>>(), done);
        };
    failover_port_.recorded_members = [this](const std::string& group_name,
                                             const member_record::members_handler& done) {
        member_records_.at(group_name)->read(done);
    };
    environment_.find_route = [this](const std::string& database) { return routes_.find(database); };
    environment_.find_group = [this](const std::string& name) -> database_group* {
        const auto found = groups_.find(name);
        return found == groups_.end() ? nullptr : found->second.get();
    };
    environment_.transaction_idle_limit = [this] {
        return routes_.current() ? routes_.current()->transaction_idle_limit : duration(0);
    };
    environment_.accepts_statements = [this] { return stop_.accepts_statements(); };
    environment_.now = ports_.now;
}

proxy::~proxy() {
    alive_.reset();
}

void proxy::start() {
    instance_watch_.start();
    configuration_watch_.start();
    tick();
}

void proxy::tick() {
    const time_point now = ports_.now();
    if (instance_watch_.is_reachable()) {
        catalog_.expire(now);
    }
    registry_.tick();
    const bool promotion_running = std::any_of(
        drivers_.begin(), drivers_.end(),
        [](const std::map<std::string, std::unique_ptr<failover_driver>, std::less<>>::value_type& entry) {
            return entry.second->is_running();
        });
    for (const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry :
         groups_) {
        entry.second->tick();
    }
    bool may_start = !promotion_running && !stop_.is_requested();
    for (const std::map<std::string, std::unique_ptr<failover_driver>, std::less<>>::value_type& entry :
         drivers_) {
        entry.second->tick(may_start);
        may_start = may_start && !entry.second->is_running();
    }
    if (stop_.is_requested()) {
        advance_stop(now);
    } else {
        close_idle_sessions_if_not_serving(now);
    }
    ports_.call_after(tick_interval, [this] { tick(); });
}

database_group& proxy::group(const std::string& name) {
    const auto found = groups_.find(name);
    if (found != groups_.end()) {
        return *found->second;
    }
    std::unique_ptr<database_group>& added = groups_[name];
    added =
        std::make_unique<database_group>(name, ports_.network, log_, counters_, settings_.group, ports_.now);
    member_records_[name] = std::make_unique<member_record>(ports_.store, log_, name);
    added->on_settled = [record = member_records_[name].get(), members = added.get()] {
        record->replace(members->member_keys());
    };
    added->on_member_added = [this, record = member_records_[name].get(), members = added.get()] {
        // Delayed, so that one write covers all members that are listed together.
        ports_.call_after(record_delay, [record, members] { record->add(members->member_keys()); });
    };
    added->read_promoted_term = [this, name](std::function<void(std::optional<term_number>)> done) {
        lease_.read_promoted_term(name, std::move(done));
    };
    const std::uint32_t position =
        static_cast<std::uint32_t>(std::hash<std::string>{}(settings_.name + "/" + name) % stagger_positions);
    drivers_[name] =
        std::make_unique<failover_driver>(*added, lease_, failover_port_, log_, settings_.failover, position);
    apply_group_limits();
    return *added;
}

void proxy::on_instances(const std::vector<stored_object>& objects) {
    std::vector<listed_instance> listed;
    for (const stored_object& object : objects) {
        if (std::optional<listed_instance> instance = ports_.read_instance(object)) {
            listed.push_back(std::move(*instance));
        }
    }
    catalog_.apply_list(listed, ports_.now());
}

void proxy::on_instance_event(const store_event& event) {
    if (event.deleted) {
        catalog_.mark_missing(event.object.name, ports_.now());
        return;
    }
    if (const std::optional<listed_instance> instance = ports_.read_instance(event.object)) {
        catalog_.upsert(*instance);
    }
}

void proxy::on_instance_changed(const listed_instance& listed) {
    log_.write(log_level::info, "proxy", "instance_listed",
               {{"instance", listed.id},
                {"group", listed.group},
                {"zone", listed.zone},
                {"primary", listed.claims_primary},
                {"draining", listed.draining}});
    group(listed.group).update_instance(listed);
}

void proxy::on_configuration_object(const stored_object& object) {
    std::optional<proxy_configuration> configuration = ports_.read_configuration(object);
    if (!configuration) {
        return;
    }
    const std::uint64_t version = configuration->version;
    const std::size_t routes = configuration->routes.size();
    const bool applied = routes_.apply(std::move(*configuration));
    log_.write(log_level::info, "proxy", applied ? "configuration_applied" : "configuration_ignored",
               {{"version", version}, {"in_effect", routes_.current()->version}, {"routes", routes}});
    if (applied) {
        apply_group_limits();
        if (on_configuration_applied) {
            on_configuration_applied();
        }
    }
}

void proxy::apply_group_limits() {
    if (!routes_.current()) {
        return;
    }
    for (const auto& [name, limits] : routes_.current()->groups) {
        const auto found = groups_.find(name);
        if (found != groups_.end()) {
            found->second->set_limits(limits, daemon_count());
        }
    }
}

std::size_t proxy::daemon_count() const {
    // Before the first listing and while daemons start, the setting reserves connections for the other
    // daemons.
    return std::max(settings_.assumed_daemons, registry_.count());
}

void proxy::list_instances(
    const std::string& group_name, const std::string& after,
    const std::shared_ptr<std::vector<listed_instance>>& found,
    const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done) {
    ports_.store.list(store_collection::instances, after,
                      [this, group_name, found, done](const store_answer& answer) {
                          if (answer.outcome != store_outcome::done) {
                              done(std::nullopt);
                              return;
                          }
                          for (const stored_object& object : answer.items) {
                              const std::optional<listed_instance> instance = ports_.read_instance(object);
                              if (!instance) {
                                  continue;
                              }
                              // This list may be newer than the last watch event.
                              catalog_.upsert(*instance);
                              if (instance->group == group_name) {
                                  found->push_back(*instance);
                              }
                          }
                          if (answer.has_more && !answer.items.empty()) {
                              list_instances(group_name, answer.items.back().name, found, done);
                              return;
                          }
                          done(*found);
                      });
}

std::unique_ptr<client_session> proxy::open_session(const std::string& database) {
    if (routes_.find(database) == nullptr) {
        return nullptr;
    }
    return std::make_unique<client_session>(database, environment_, log_, counters_);
}

bool proxy::is_ready() const {
    if (stop_.is_requested() || !routes_.current()) {
        return false;
    }
    return std::any_of(
        groups_.begin(), groups_.end(),
        [](const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry) {
            return entry.second->is_serving();
        });
}

void proxy::close_idle_sessions_if_not_serving(time_point now) {
    if (!routes_.current() || groups_.empty() || is_ready()) {
        unready_since_.reset();
        return;
    }
    if (!unready_since_) {
        unready_since_ = now;
        log_.write(log_level::warning, "proxy", "not_serving", {{"groups", groups_.size()}});
    }
    // After the load balancer has noticed, clients that reconnect reach a daemon that can serve them.
    if (now - *unready_since_ > balancer_delay && on_close_idle_sessions) {
        on_close_idle_sessions();
    }
}

void proxy::stop() {
    if (stop_.is_requested()) {
        return;
    }
    stop_.request(ports_.now());
    registry_.remove_own_entry();
    log_.write(log_level::info, "proxy", "stop_requested", {{"grace_ms", to_milliseconds(settings_.grace)}});
}

void proxy::advance_stop(time_point now) {
    const stop_phase before = stop_.phase();
    if (before == stop_phase::stopped) {
        return;
    }
    const stop_phase phase = stop_.advance(now, has_open_work && has_open_work());
    if (phase != before) {
        log_.write(log_level::info, "proxy", "stop_phase",
                   {{"phase", to_string(phase)}, {"ms", to_milliseconds(stop_.elapsed(now))}});
    }
    if (phase == stop_phase::refusing && before != phase) {
        for (const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry :
             groups_) {
            entry.second->refuse_new_attempts();
        }
    }
    if (phase == stop_phase::ending && before != phase && on_give_up_statements) {
        on_give_up_statements();
    }
    if (phase >= stop_phase::refusing && on_end_transactions) {
        on_end_transactions();
    }
    if (phase >= stop_phase::closing_sessions && on_close_idle_sessions) {
        on_close_idle_sessions();
    }
    if (phase == stop_phase::stopped && on_stopped) {
        on_stopped();
    }
}

} // namespace gentianhill
