#include "gentianhill/proxy/proxy.h"

#include "gentianhill/proxy/caller_refusal.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Interval of the periodic work.
constexpr duration tick_interval = 25ms;
/// Time until the load balancer notices that the daemon is not ready.
constexpr duration balancer_delay = graceful_stop_settings{}.balancer_delay;
/// Daemons beyond this rank start a promotion together; by then all before them have failed to.
constexpr std::size_t max_stagger_position = 20;
/// Daemons that probe the idle primary of a group often.
constexpr std::size_t group_probers = 4;
/// Delay before new members are recorded, since many are listed together at startup.
constexpr duration record_delay = 100ms;
/// Daemons that record a group's members at once. The others wait until what these have recorded has reached
/// them, and longer with each rank.
constexpr std::size_t first_recorders = 2;
constexpr duration later_record_delay = 1500ms;
constexpr duration record_delay_per_rank = 500ms;
constexpr std::size_t max_record_rank = 20;
/// Time in which the written record of a term reaches the daemon that wrote it.
constexpr duration term_retry_pause = 3s;
/// Pause between requests for evidence that a primary leads, on which the record of a term rests.
constexpr duration evidence_pause = 2s;
/// Changes of daemons and duties are no matter of configuration: longer calls and fewer of them are enough.
constexpr duration slow_event_pause = 250ms;
/// Entries of instances change often in ways that matter to nobody here.
constexpr duration instance_event_pause = 700ms;
/// Longest duration of a long poll of the instances; bounds the age of their list.
constexpr duration max_instance_poll_wait = 2s;
/// Shortest interval between two lists of the instances for reads that rest on the logs of all replicas.
constexpr duration member_list_pause = 100ms;
/// Age of a source's state beyond the duration of one long poll at which the source counts as stale.
constexpr duration state_age_margin = 1500ms;
/// Long polls of the configuration last this share of the time for which a key may be used after it was taken
/// away.
constexpr double key_poll_share = 0.12;
/// Clients are to turn to another daemon when the configuration is older than this share of that time.
constexpr double key_readiness_share = 0.6;
/// Time after the last statement that was handed on to this daemon for which it keeps the connections of an
/// owner. The daemons of a zone take over a new owner within about the same time of each other.
constexpr duration hosted_group_limit = 1500ms;

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
proxy_ports guard_ports(proxy_ports ports, const std::weak_ptr<bool>& alive, store_call_counter& calls) {
    if (ports.relay.ask) {
        ports.relay.ask = [alive, call = ports.relay.ask](const endpoint& server, relay_request_kind kind,
                                                          const nlohmann::json& message, duration timeout,
                                                          relay_answer_handler done) {
            call(server, kind, message, timeout,
                 [alive, done = std::move(done)](const std::optional<nlohmann::json>& answer,
                                                 const error& reason) {
                     if (!alive.expired()) {
                         done(answer, reason);
                     }
                 });
        };
    }
    if (ports.relay.hand_on) {
        ports.relay.hand_on = [alive, call = ports.relay.hand_on](const endpoint& server, std::string message,
                                                                  duration timeout, hand_on_handler done) {
            call(server, std::move(message), timeout,
                 [alive, done = std::move(done)](const std::optional<std::string>& answer,
                                                 const error& reason) {
                     if (!alive.expired()) {
                         done(answer, reason);
                     }
                 });
        };
    }
    if (ports.relay.fetch_content) {
        ports.relay.fetch_content =
            [alive, call = ports.relay.fetch_content](const endpoint& server, std::string message,
                                                      duration timeout, content_answer_handler done) {
                call(server, std::move(message), timeout,
                     [alive, done = std::move(done)](const std::optional<std::string>& answer,
                                                     const error& reason) {
                         if (!alive.expired()) {
                             done(answer, reason);
                         }
                     });
            };
    }
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
    store.list_old = [alive, call = store.list_old](store_collection which, const std::string& after,
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
                                                std::uint64_t revision, metadata_store::handler done) {
        call(which, name, revision, guarded(alive, std::move(done)));
    };
    // The counters are used only while the proxy exists.
    store = calls.wrap(store);
    return ports;
}

collection_watch_settings instance_watch(collection_watch_settings settings) {
    settings.wait = std::min(settings.wait, max_instance_poll_wait);
    settings.event_pause = instance_event_pause;
    return settings;
}

collection_watch_settings slow_watch(collection_watch_settings settings) {
    settings.wait *= 2;
    settings.event_pause = slow_event_pause;
    return settings;
}

collection_watch_settings daemon_watch(const collection_watch_settings& settings) {
    collection_watch_settings result = slow_watch(settings);
    result.lists_may_be_old = true;
    return result;
}

/// Duration of a long poll for what the keys of callers depend on. Each of the two hops, from the store and
/// from another daemon, may add twice this to the age of the configuration.
duration key_poll_wait(const proxy_settings& settings, duration usual) {
    const double share = static_cast<double>(settings.key_lease.count()) * key_poll_share;
    return settings.key_lease > duration(0) ? std::min(usual, duration(static_cast<std::int64_t>(share)))
                                            : usual;
}

collection_watch_settings configuration_watch(const proxy_settings& settings) {
    collection_watch_settings result = settings.watch;
    result.wait = key_poll_wait(settings, settings.watch.wait);
    return result;
}

state_relay_settings relay_settings(const proxy_settings& settings) {
    state_relay_settings result = settings.relay;
    result.poll_wait = key_poll_wait(settings, settings.relay.poll_wait);
    result.selection.max_age = key_poll_wait(settings, settings.watch.wait) + state_age_margin;
    result.watch_min_pause = settings.watch.min_pause;
    result.watch_max_pause = settings.watch.max_pause;
    return result;
}

} // namespace

proxy::proxy(const proxy_settings& settings, proxy_ports ports, logger& log, metrics& registry)
    : settings_(settings),
      store_calls_(registry, log),
      ports_(guard_ports(std::move(ports), alive_, store_calls_)),
      log_(log),
      counters_(registry),
      key_lease_(settings.key_lease),
      configuration_watch_(store_collection::configuration, ports_.store, log, configuration_watch(settings)),
      instance_watch_(store_collection::instances, ports_.store, log, instance_watch(settings.watch)),
      duty_watch_(store_collection::duties, ports_.store, log, slow_watch(settings.watch)),
      daemon_watch_(store_collection::proxies, ports_.store, log, daemon_watch(settings.watch)),
      directory_(ports_.store, daemon_watch_.replica(), log, settings.directory, settings.name,
                 {settings.zone, settings.peer_address}),
      relay_(relay_settings(settings), directory_,
             {&configuration_watch_, &instance_watch_, &duty_watch_, &daemon_watch_}, ports_.relay, log,
             registry),
      evidence_(settings.evidence, directory_, ports_.relay, log, registry),
      quota_(settings.quota, directory_, ports_.relay, ports_.store, log, registry, settings.incarnation,
             ports_.now()),
      lease_(ports_.store, log, settings.lease, settings.name, settings.incarnation),
      owners_(settings.owners, directory_, log, registry),
      forwarder_(settings.forwarder, owners_, ports_.relay, log, registry, settings.incarnation),
      host_(settings.host, environment_, log, counters_, registry, settings_.name, settings_.incarnation),
      stop_({settings.grace, balancer_delay}) {
    lease_.now = ports_.now;
    lease_.find_base_term = [this](const std::string& group_name) {
        const auto found = term_records_.find(group_name);
        return found == term_records_.end() ? std::nullopt : found->second->recorded();
    };
    directory_.now = ports_.now;
    directory_.on_count = [this](std::size_t) { apply_group_limits(); };
    relay_.now = ports_.now;
    relay_.random = ports_.random;
    relay_.configuration_version = [this] { return routes_.current() ? routes_.current()->version : 0; };
    relay_.configuration = [this] { return configuration_in_effect_ ? &*configuration_in_effect_ : nullptr; };
    relay_.on_configuration = [this](const stored_object& object) { on_configuration_object(object); };
    relay_.configuration_confirmed_at = [this] { return key_lease_.confirmed_at(); };
    relay_.on_configuration_confirmed = [this](time_point moment) { key_lease_.confirm(moment); };
    configuration_watch_.on_complete = [this](time_point asked_at) { key_lease_.confirm(asked_at); };
    instance_watch_.on_complete = [this](time_point asked_at) { confirm_instances(asked_at); };
    relay_.instances_confirmed_at = [this] { return instances_confirmed_at_; };
    relay_.on_instances_confirmed = [this](time_point moment) { confirm_instances(moment); };
    evidence_.now = ports_.now;
    quota_.now = ports_.now;
    quota_.call_after = ports_.call_after;
    quota_.find_limit = [this](const std::string& team_name) { return find_limit(team_name); };
    quota_.has_limits = [this] { return has_limits(); };
    settings_.group.zone = settings.zone;
    for (collection_watch* watch : {&configuration_watch_, &instance_watch_, &duty_watch_, &daemon_watch_}) {
        watch->call_after = ports_.call_after;
        watch->random = ports_.random;
        watch->now = ports_.now;
    }
    daemon_watch_.replica().on_update = [this](bool has_news) {
        if (has_news) {
            directory_.update();
            apply_ranks();
        }
    };
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
    catalog_.on_outdated = [this](const listed_instance& ignored, const listed_instance& known) {
        log_.write(log_level::info, "proxy", "instance_entry_outdated",
                   {{"instance", ignored.id},
                    {"era", ignored.era},
                    {"update_number", ignored.update_number},
                    {"known_era", known.era},
                    {"known_update_number", known.update_number}});
    };
    failover_port_.call_after = ports_.call_after;
    failover_port_.promote = [this](const std::string& group_name, const std::string& id, std::uint64_t token,
                                    std::function<void(promotion_call_result)> done) {
        ports_.promote(group_name, id, settings_.name, token, std::move(done));
    };
    failover_port_.list_instances =
        [this](const std::string& group_name,
               const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done) {
            list_instances(group_name, "", std::nullopt, std::make_shared<std::vector<listed_instance>>(),
                           done);
        };
    failover_port_.recorded_members = [this](const std::string& group_name,
                                             const member_record::members_handler& done) {
        member_records_.at(group_name)->read(done);
    };
    environment_.check_caller = [this](const route& used, const std::optional<key_digest>& key,
                                       time_point received_at) {
        return check_caller(used, key, received_at);
    };
    environment_.quota = quota_.make_port();
    environment_.find_route = [this](const std::string& database) { return routes_.find(database); };
    environment_.find_group = [this](const std::string& name) -> database_group* {
        const auto found = groups_.find(name);
        return found == groups_.end() ? nullptr : found->second.get();
    };
    environment_.transaction_idle_limit = [this] {
        return routes_.current() ? routes_.current()->transaction_idle_limit : duration(0);
    };
    environment_.fits = [this](const instance_command& command) {
        return !ports_.network.fits || ports_.network.fits(command);
    };
    environment_.accepts_statements = [this] { return stop_.accepts_statements(); };
    environment_.now = ports_.now;
    environment_.configuration_version = [this] {
        return routes_.current() ? routes_.current()->version : 0;
    };
    environment_.forwarder = &forwarder_;
    environment_.hands_on = [this](const std::string& name) {
        const auto found = groups_.find(name);
        return found != groups_.end() && found->second->role() == group_role::guest;
    };
    owners_.now = ports_.now;
    owners_.on_change = [this] { apply_group_limits(); };
    forwarder_.now = ports_.now;
    host_.on_statement = [this](const std::string& name) { on_hosted_statement(name); };
    host_.on_heard = [this](const std::string& name) { directory_.on_heard(name); };
}

proxy::~proxy() {
    alive_.reset();
}

void proxy::start() {
    relay_.start();
    tick();
}

void proxy::tick() {
    const time_point now = ports_.now();
    const bool instances_current = !instance_watch_.is_active() || instance_watch_.is_reachable();
    if (relay_.is_store_reachable() && instances_current) {
        catalog_.expire(now);
    }
    note_list_age(now);
    directory_.tick(relay_.is_store_reachable());
    relay_.tick();
    owners_.tick(daemon_watch_.replica().has_state());
    expire_hosted_groups(now);
    forwarder_.tick();
    host_.tick();
    quota_.tick();
    store_calls_.tick(now);
    lease_.tick();
    observe_era();
    record_members(now);
    record_terms(now);
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
        // Without news of the instances nothing is known about the primary.
        if (!entry.second->is_running() && !groups_.at(entry.first)->is_watching()) {
            continue;
        }
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
    member_records_[name] =
        std::make_unique<member_record>(ports_.store, duty_watch_.replica(), lease_, log_, name);
    term_records_[name] =
        std::make_unique<term_record>(ports_.store, duty_watch_.replica(), lease_, log_, name);
    if (recorded_era_ > 0) {
        added->begin_era(recorded_era_, lease_.era_since() + instance_catalog::grace_period);
    }
    added->on_settled = [this, name] { pending_records_[name].replace_at = record_time(name); };
    added->on_member_added = [this, name] {
        // One write covers all members that are listed together.
        std::optional<time_point>& add_at = pending_records_[name].add_at;
        add_at = add_at ? add_at : record_time(name);
    };
    added->read_promoted_term = [this, name](std::function<void(std::optional<term_number>)> done) {
        lease_.read_promoted_term(name, std::move(done));
    };
    added->read_recorded_members = [this, name](const member_record::members_handler& done) {
        member_records_.at(name)->read(done);
    };
    added->list_members = [this] { list_members(); };
    added->members_current_as_of = [this] { return instances_confirmed_at_; };
    added->call_after = ports_.call_after;
    added->ask_zone = [this, name](const evidence_need& need, zone_evidence::answer_handler done) {
        const bool is_asked = evidence_.ask(name, need, std::move(done));
        if (is_asked) {
            ports_.call_after(database_group::zone_patience,
                              [waiting = groups_.at(name).get()] { waiting->place_waiting_tasks(); });
        }
        return is_asked;
    };
    drivers_[name] =
        std::make_unique<failover_driver>(*added, lease_, failover_port_, log_, settings_.failover, 0);
    apply_group_limits();
    apply_ranks();
    if (recorded_era_ > 0) {
        pending_records_[name].term_at = std::max(record_time(name), era_record_time(name));
    }
    return *added;
}

void proxy::apply_ranks() {
    for (const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry :
         groups_) {
        const std::size_t rank = directory_.rank(entry.first);
        entry.second->set_prober(rank < group_probers);
        drivers_.at(entry.first)
            ->set_position(static_cast<std::uint32_t>(std::min(rank, max_stagger_position)));
    }
}

time_point proxy::record_time(const std::string& group_name) const {
    const std::size_t rank = directory_.rank(group_name);
    if (rank < first_recorders) {
        return ports_.now() + record_delay;
    }
    return ports_.now() + later_record_delay +
           record_delay_per_rank * static_cast<std::int64_t>(std::min(rank, max_record_rank));
}

void proxy::observe_era() {
    for (const collection_watch* watch :
         {&configuration_watch_, &instance_watch_, &duty_watch_, &daemon_watch_}) {
        lease_.observe_era(watch->replica().version().era);
    }
    if (lease_.era() == recorded_era_) {
        return;
    }
    recorded_era_ = lease_.era();
    for (const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry :
         groups_) {
        entry.second->begin_era(recorded_era_, lease_.era_since() + instance_catalog::grace_period);
        pending_records_[entry.first].term_at = era_record_time(entry.first);
    }
}

time_point proxy::era_record_time(const std::string& group_name) const {
    // By then the instances have written their entries again, and the lists are those of the new era.
    return lease_.earlier_claims_end() + (record_time(group_name) - ports_.now());
}

void proxy::record_members(time_point now) {
    if (!duty_watch_.replica().has_state() || stop_.is_requested()) {
        return;
    }
    for (std::map<std::string, pending_record, std::less<>>::value_type& entry : pending_records_) {
        pending_record& pending = entry.second;
        const database_group& members = *groups_.at(entry.first);
        member_record& record = *member_records_.at(entry.first);
        if (pending.add_at && now >= *pending.add_at) {
            pending.add_at.reset();
            record.add(members.member_keys());
        }
        if (pending.replace_at && now >= *pending.replace_at) {
            pending.replace_at.reset();
            // A member that has left meanwhile may hold the only copy of a commit again. A first record has
            // nobody to lose.
            if (members.is_settled_for_others() || (members.is_settled_by_members() && !record.exists())) {
                record.replace(members.member_keys());
            }
        }
    }
}

void proxy::record_terms(time_point now) {
    if (!duty_watch_.replica().has_state() || stop_.is_requested() || lease_.era() == 0) {
        return;
    }
    for (std::map<std::string, pending_record, std::less<>>::value_type& entry : pending_records_) {
        std::optional<time_point>& term_at = entry.second.term_at;
        if (!term_at || now < *term_at) {
            continue;
        }
        term_record& record = *term_records_.at(entry.first);
        database_group& members = *groups_.at(entry.first);
        if (record.recorded()) {
            term_at.reset();
        } else if (members.is_trusted_since(lease_.earlier_claims_end())) {
            record.write(members.term());
            // Tried again unless the record arrives, since the write may be lost.
            term_at = now + term_retry_pause;
        } else if (now >= entry.second.ask_evidence_at) {
            members.request_evidence();
            entry.second.ask_evidence_at = now + evidence_pause;
        }
    }
}

void proxy::on_relay_request(relay_request_kind kind, const nlohmann::json& message,
                             relay_answer_handler respond) {
    switch (kind) {
    case relay_request_kind::state:
        relay_.on_request(message, std::move(respond));
        break;
    case relay_request_kind::evidence:
        on_evidence_request(message, respond);
        break;
    case relay_request_kind::quota_tokens:
    case relay_request_kind::quota_shares:
    case relay_request_kind::quota_holdings:
        quota_.on_request(kind, message, respond);
        break;
    }
}

std::optional<team_rate> proxy::find_limit(const std::string& team_name) const {
    if (!routes_.current() || routes_.current()->teams == nullptr) {
        return std::nullopt;
    }
    const auto found = routes_.current()->teams->teams().find(team_name);
    return found == routes_.current()->teams->teams().end() ? std::nullopt : found->second->rate;
}

bool proxy::has_limits() const {
    if (!routes_.current() || routes_.current()->teams == nullptr) {
        return false;
    }
    const std::map<std::string, std::shared_ptr<const team>, std::less<>>& teams =
        routes_.current()->teams->teams();
    return std::any_of(
        teams.begin(), teams.end(),
        [](const std::map<std::string, std::shared_ptr<const team>, std::less<>>::value_type& entry) {
            return entry.second->rate.has_value();
        });
}

void proxy::on_evidence_request(const nlohmann::json& message, const relay_answer_handler& respond) {
    error reason;
    const std::optional<evidence_request> request = evidence_request::from_json(message, reason);
    if (!request) {
        respond(std::nullopt, reason);
        return;
    }
    const auto found = groups_.find(request->group);
    if (stop_.is_requested() || found == groups_.end()) {
        respond(std::nullopt, stop_.is_requested()
                                  ? error{error_code::draining, "daemon", settings_.name, ""}
                                  : error{error_code::unknown_group, "group", request->group, ""});
        return;
    }
    directory_.on_heard(request->daemon);
    found->second->provide_evidence(request->need, [this, respond](evidence_answer answer) {
        answer.daemon = settings_.name;
        respond(answer.to_json(), {});
    });
}

void proxy::confirm_instances(time_point moment) {
    instances_confirmed_at_ = std::max(instances_confirmed_at_.value_or(moment), moment);
}

void proxy::note_list_age(time_point now) {
    if (!instances_confirmed_at_) {
        return;
    }
    const duration age = now - *instances_confirmed_at_;
    const bool is_old = age > settings_.group.member_list_limit;
    if (is_old != is_list_old_) {
        is_list_old_ = is_old;
        log_.write(is_old ? log_level::warning : log_level::info, "proxy",
                   is_old ? "instance_list_old" : "instance_list_current",
                   {{"age_ms", to_milliseconds(age)}});
    }
}

void proxy::on_instances(const std::vector<stored_object>& objects) {
    std::vector<listed_instance> listed;
    for (const stored_object& object : objects) {
        if (std::optional<listed_instance> instance = ports_.read_instance(object)) {
            listed.push_back(std::move(*instance));
        }
    }
    catalog_.apply_list(listed, ports_.now());
    for (const std::map<std::string, std::unique_ptr<database_group>, std::less<>>::value_type& entry :
         groups_) {
        entry.second->on_list_gap();
    }
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
    const time_point started_at = ports_.now();
    std::optional<proxy_configuration> configuration = ports_.read_configuration(object);
    if (!configuration) {
        return;
    }
    const time_point read_at = ports_.now();
    const std::uint64_t version = configuration->version;
    const std::size_t routes = configuration->routes.size();
    if (configuration->teams == nullptr && routes_.current() && routes_.current()->teams != nullptr) {
        // A configuration without teams must not open all routes to everybody.
        configuration->teams = std::make_shared<team_directory>();
    }
    const std::size_t teams = configuration->teams != nullptr ? configuration->teams->teams().size() : 0;
    const bool applied = routes_.apply(std::move(*configuration));
    if (applied) {
        configuration_in_effect_ = object;
        apply_group_limits();
    }
    log_.write(log_level::info, "proxy", applied ? "configuration_applied" : "configuration_ignored",
               {{"version", version},
                {"in_effect", routes_.current()->version},
                {"routes", routes},
                {"teams", teams},
                {"read_us", (read_at - started_at).count()},
                {"apply_us", (ports_.now() - read_at).count()}});
    if (applied) {
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
            apply_role(*found->second, limits);
        }
    }
}

void proxy::apply_role(database_group& members, const group_limits& limits) {
    members.set_limits(limits, daemon_count());
    const bool may_hand_on = ports_.relay.hand_on && settings_.peer_address;
    const bool is_unknown = may_hand_on && !owners_.is_settled();
    if (!is_unknown && (!may_hand_on || !owners_.is_needed(limits.max_connections))) {
        members.set_role(group_role::shared, 0);
        return;
    }
    const bool hosts = hosted_at_.find(members.name()) != hosted_at_.end();
    if (hosts || (!is_unknown && owners_.is_owner(members.name()))) {
        members.set_role(group_role::owner, owners_.owner_connections(limits.max_connections));
    } else {
        members.set_role(group_role::guest, owners_.settings().reserve_connections);
    }
}

void proxy::on_hosted_statement(const std::string& group_name) {
    const bool is_first = hosted_at_.find(group_name) == hosted_at_.end();
    hosted_at_[group_name] = ports_.now();
    if (is_first) {
        log_.write(log_level::info, "ownership", "group_taken_over", {{"group", group_name}});
        apply_group_limits();
    }
}

void proxy::expire_hosted_groups(time_point now) {
    const std::size_t expired = std::erase_if(
        hosted_at_, [now](const std::map<std::string, time_point, std::less<>>::value_type& entry) {
            return now - entry.second > hosted_group_limit;
        });
    if (expired > 0) {
        apply_group_limits();
    }
}

bool proxy::has_any_open_work() const {
    return (has_open_work && has_open_work()) || host_.has_open_work();
}

std::size_t proxy::daemon_count() const {
    // Before the first listing and while daemons start, the setting reserves connections for the other
    // daemons.
    return std::max(settings_.assumed_daemons, directory_.count());
}

void proxy::list_instances(
    const std::string& group_name, const std::string& after, std::optional<std::uint64_t> era,
    const std::shared_ptr<std::vector<listed_instance>>& found,
    const std::function<void(const std::optional<std::vector<listed_instance>>&)>& done) {
    ports_.store.list(store_collection::instances, after,
                      [this, group_name, era, found, done](const store_answer& answer) {
                          // Pages of before and after a restore make up no state that ever was.
                          if (answer.outcome != store_outcome::done || (era && *era != answer.era)) {
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
                              list_instances(group_name, answer.items.back().name, answer.era, found, done);
                              return;
                          }
                          // This list may also be the first answer of a restored store.
                          lease_.observe_era(answer.era);
                          observe_era();
                          done(*found);
                      });
}

void proxy::list_members() {
    const time_point sent_at = ports_.now();
    if (listing_members_ || sent_at - members_listed_at_ < member_list_pause) {
        return;
    }
    listing_members_ = true;
    members_listed_at_ = sent_at;
    list_instances("", "", std::nullopt, std::make_shared<std::vector<listed_instance>>(),
                   [this, sent_at](const std::optional<std::vector<listed_instance>>& listed) {
                       listing_members_ = false;
                       if (!listed) {
                           return;
                       }
                       for (const auto& [name, members] : groups_) {
                           members->on_members_listed(sent_at);
                       }
                   });
}

caller_check proxy::check_caller(const route& used, const std::optional<key_digest>& key,
                                 time_point received_at) const {
    const std::shared_ptr<const team_directory>& teams = routes_.current()->teams;
    if (teams == nullptr) {
        return {caller_verdict::allowed, nullptr};
    }
    const std::shared_ptr<const team> caller = key ? teams->find(*key) : nullptr;
    if (used.is_public) {
        return {caller_verdict::allowed, caller};
    }
    const bool is_current = key_lease_.covers(received_at);
    if (caller != nullptr) {
        return {is_current ? caller_verdict::allowed : caller_verdict::unknown, caller};
    }
    // The key may have been added to a configuration that has not arrived.
    const bool may_be_added = !is_current || !relay_.is_store_reachable();
    return {may_be_added ? caller_verdict::unknown : caller_verdict::denied, nullptr};
}

bool proxy::can_check_keys() const {
    if (!key_lease_.is_limited() || routes_.current()->teams == nullptr) {
        return true;
    }
    const std::optional<time_point>& confirmed = key_lease_.confirmed_at();
    const double limit = static_cast<double>(settings_.key_lease.count()) * key_readiness_share;
    return confirmed && ports_.now() - *confirmed <= duration(static_cast<std::int64_t>(limit));
}

std::unique_ptr<client_session> proxy::open_session(const std::string& database, std::string_view key,
                                                    statement_outcome& refusal) {
    const std::shared_ptr<const route> used = routes_.find(database);
    if (used == nullptr) {
        refusal = statement_outcome::unknown_database;
        return nullptr;
    }
    const std::optional<key_digest> digest = key.empty() ? std::nullopt : std::optional<key_digest>(key);
    const caller_verdict verdict = check_caller(*used, digest, ports_.now()).verdict;
    if (verdict != caller_verdict::allowed) {
        refusal = caller_refusal(verdict, false);
        log_.write(log_level::info, "teams", "session_refused",
                   {{"database", database}, {"verdict", to_string(verdict)}, {"has_key", !key.empty()}});
        counters_.callers_refused.add();
        return nullptr;
    }
    return std::make_unique<client_session>(database, digest, environment_, log_, counters_);
}

bool proxy::is_ready() const {
    if (stop_.is_requested() || !routes_.current() || !can_check_keys()) {
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
    directory_.remove_own_entry();
    relay_.stop();
    host_.refuse_new();
    quota_.stop();
    log_.write(log_level::info, "proxy", "stop_requested", {{"grace_ms", to_milliseconds(settings_.grace)}});
}

void proxy::advance_stop(time_point now) {
    const stop_phase before = stop_.phase();
    if (before == stop_phase::stopped) {
        return;
    }
    const stop_phase phase = stop_.advance(now, has_any_open_work());
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
    if (phase == stop_phase::ending && before != phase) {
        host_.give_up("the daemon is stopping");
        if (on_give_up_statements) {
            on_give_up_statements();
        }
    }
    if (phase >= stop_phase::refusing) {
        host_.end_transactions();
        if (on_end_transactions) {
            on_end_transactions();
        }
    }
    if (phase >= stop_phase::closing_sessions && on_close_idle_sessions) {
        on_close_idle_sessions();
    }
    if (phase == stop_phase::stopped && on_stopped) {
        on_stopped();
    }
}

} // namespace gentianhill
