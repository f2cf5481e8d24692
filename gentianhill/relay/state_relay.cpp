#include "gentianhill/relay/state_relay.h"

#include "gentianhill/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

/// The first daemons of a zone watch the store; they need no random delay.
constexpr std::size_t regular_watchers = 2;
/// Collections that every daemon lists at its start.
constexpr std::size_t listed_at_start = 2;
/// Daemons of a lower rank that are asked at the same time.
constexpr std::size_t asked_below = 2;
/// Requests held at once; a further one is answered without waiting.
constexpr std::size_t max_held_requests = 2048;

} // namespace

state_relay::state_relay(const state_relay_settings& settings, daemon_directory& directory,
                         std::vector<collection_watch*> watches, relay_port& port, logger& log,
                         metrics& registry)
    : settings_(settings),
      directory_(directory),
      watches_(std::move(watches)),
      port_(port),
      log_(log),
      contents_(settings.contents, port, log, registry, directory.name()),
      selection_(settings.selection),
      polls_sent_(registry.add_counter("gentianhill_relay_requests_sent_total",
                                       "Requests for the state of the store to other daemons.")),
      polls_failed_(registry.add_counter("gentianhill_relay_requests_failed_total",
                                         "Requests to other daemons without a valid answer.")),
      requests_answered_(registry.add_counter("gentianhill_relay_requests_answered_total",
                                              "Requests of other daemons that were answered.")),
      requests_refused_(registry.add_counter("gentianhill_relay_requests_refused_total",
                                             "Requests of other daemons that were not valid.")),
      watching_(registry.add_gauge("gentianhill_relay_watches_store",
                                   "1 while this daemon watches the store itself.")),
      age_ms_(registry.add_gauge("gentianhill_state_age_ms",
                                 "Time since the store's last answer, directly or through sources.")) {
    contents_.now = [this] { return now(); };
    contents_.on_complete = [this](const state_answer& answer, time_point asked_at) {
        apply(answer, asked_at);
        for (auto& [name, state] : polls_) {
            state.next_at = std::min(state.next_at, now());
        }
    };
    contents_.on_failed = [this](const endpoint& sender, const error& reason) {
        on_contents_failed(sender, reason);
    };
}

collection_watch* state_relay::find(store_collection collection) const {
    const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const collection_watch* watch) {
        return watch->collection() == collection;
    });
    return found == watches_.end() ? nullptr : *found;
}

void state_relay::start() {
    started_at_ = now();
    if (!port_.ask) {
        for (collection_watch* watch : watches_) {
            watch->start();
        }
        return;
    }
    list_daemons_at_ = started_at_ + settings_.directory_delay +
                       duration(static_cast<std::int64_t>(
                           static_cast<double>(settings_.directory_jitter.count()) * random()));
    for (std::size_t index = 0; index < listed_at_start; ++index) {
        watches_[index]->set_active(false);
        watches_[index]->start();
    }
    // The entries of a deployment whose processes have been restarted are complete from the start; those of
    // one that starts for the first time lack this daemon's own.
    watches_.back()->accepts_old_list = [this](const std::vector<stored_object>& objects) {
        return std::any_of(objects.begin(), objects.end(),
                           [this](const stored_object& object) { return object.name == directory_.name(); });
    };
    watches_.back()->set_active(false);
    watches_.back()->start();
}

bool state_relay::knows_place() const {
    const time_point current = now();
    return (watches_.back()->replica().has_state() && current >= list_daemons_at_) ||
           current - started_at_ >= settings_.decision_limit;
}

void state_relay::list_only() {
    if (!watches_.back()->is_started() && now() >= list_daemons_at_) {
        watches_.back()->accepts_old_list = nullptr;
        watches_.back()->set_active(false);
        watches_.back()->start();
    }
    for (collection_watch* watch : watches_) {
        // A list that has failed is tried again.
        watch->set_active(!watch->replica().has_state() && watch->is_idle());
    }
}

void state_relay::activate(collection_watch& watch) {
    watch.set_active(true);
    if (!watch.is_started()) {
        watch.start();
    }
}

void state_relay::tick() {
    if (stopped_) {
        return;
    }
    contents_.tick();
    for (const collection_watch* watch : watches_) {
        contents_.remember(watch->collection(), watch->replica());
    }
    if (port_.ask) {
        if (knows_place()) {
            choose();
            watch_or_pause();
            discard_if_ahead();
            poll_sources();
            ask_for_configuration();
        } else {
            list_only();
        }
        // A healthy source has the state, and a seed may have the one that was just given up.
        if (lacks_state() && !selection_.has_healthy()) {
            poll_seeds();
        }
        log_roles();
    }
    answer_held();
    watching_.set(choice_.watches_store ? 1.0 : 0.0);
    age_ms_.set(static_cast<double>(to_milliseconds(state_age().value_or(duration(0)))));
}

void state_relay::choose() {
    if (selection_.candidates() != directory_.ranked_above()) {
        selection_.set_candidates(directory_.ranked_above());
    }
    choice_ = selection_.choose(now());
}

void state_relay::watch_or_pause() {
    if (!choice_.watches_store) {
        fallback_at_.reset();
        for (collection_watch* watch : watches_) {
            watch->set_active(false);
        }
        return;
    }
    const bool is_regular = selection_.candidates().size() < regular_watchers;
    if (!fallback_at_) {
        const double share = is_regular ? 0.0 : random();
        fallback_at_ = now() + duration(static_cast<std::int64_t>(
                                   static_cast<double>(settings_.fallback_jitter.count()) * share));
    }
    if (now() < *fallback_at_) {
        return;
    }
    for (collection_watch* watch : watches_) {
        // While the store does not answer, one collection is enough to find out when it does.
        const bool is_first = watch == watches_.front();
        watch->set_pauses(is_regular ? settings_.watch_min_pause : settings_.fallback_min_pause,
                          is_regular ? settings_.watch_max_pause : settings_.fallback_max_pause);
        if (is_first || watches_.front()->is_reachable()) {
            activate(*watch);
        } else {
            watch->set_active(false);
        }
    }
}

bool state_relay::is_source(const std::string& name) const {
    const std::vector<std::string>& candidates = selection_.candidates();
    return std::find(candidates.begin(), candidates.end(), name) != candidates.end();
}

bool state_relay::delivers(const std::string& name) const {
    // Each daemon has its own order of the healthy sources, so that they share the delivery of changes.
    std::vector<std::string> healthy;
    for (const std::string& source : choice_.sources) {
        if (selection_.is_healthy(source)) {
            healthy.push_back(source);
        }
    }
    return healthy.empty() || rendezvous_order(directory_.name(), std::move(healthy)).front() == name;
}

void state_relay::poll_sources() {
    for (const std::string& name : choice_.sources) {
        poll_if_due(name);
    }
    if (!is_store_reachable()) {
        poll_below();
    }
}

void state_relay::poll_below() {
    // They do not count as sources: two daemons that follow each other would both take the store for
    // reachable.
    const std::vector<std::string>& below = directory_.ranked_below();
    for (std::size_t index = 0; index < std::min(below.size(), asked_below); ++index) {
        poll_if_due(below[index]);
    }
}

void state_relay::poll_if_due(const std::string& name) {
    const poll_state& state = polls_[name];
    if (!state.open && now() >= state.next_at) {
        poll(name);
    }
}

void state_relay::poll(const std::string& name) {
    const std::optional<endpoint> address = directory_.address_of(name);
    if (!address) {
        return;
    }
    poll_state& state = polls_[name];
    const bool is_late = !contents_.awaits_any() && state.behind_since &&
                         now() - *state.behind_since >= settings_.delivery_limit;
    state.open = true;
    polls_sent_.add();
    port_.ask(*address, relay_request_kind::state,
              make_request(delivers(name) || is_late || lacks_state() || !is_source(name)).to_json(),
              settings_.poll_wait + settings_.poll_margin,
              [this, name, server = *address, asked_at = now(), alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& message, const error& reason) {
                  if (!alive.expired()) {
                      on_poll_answer(name, server, asked_at, message, reason);
                  }
              });
}

void state_relay::on_poll_answer(const std::string& name, const endpoint& server, time_point asked_at,
                                 const std::optional<nlohmann::json>& message, const error& reason) {
    poll_state& state = polls_[name];
    state.open = false;
    state.next_at = now() + (is_source(name) ? settings_.poll_spacing : settings_.below_pause);
    if (!message) {
        fail_source(name, reason);
        return;
    }
    error invalid;
    const std::optional<state_answer> answer = state_answer::from_json(*message, invalid);
    if (!answer) {
        note_sender(*message);
        fail_source(name, invalid);
        return;
    }
    if (answer->daemon != name) {
        fail_source(name, error{error_code::mismatched_answer, "daemon", answer->daemon, name});
        return;
    }
    directory_.on_heard(name);
    receive(*answer, asked_at, server);
    // The state is at least as new as the source's age says, counted from the request.
    if (is_source(name)) {
        selection_.on_answer(name, answer->store_reachable, answer->age);
        note_news(state, *answer);
        if (contents_.awaits_any()) {
            // The source would announce at once again what is on its way.
            state.next_at = now() + settings_.transfer_pause;
        }
        if (!answer->is_behind) {
            state.ahead_since.reset();
        } else if (!state.ahead_since) {
            state.ahead_since = now();
        }
    }
}

void state_relay::note_sender(const nlohmann::json& message) {
    const nlohmann::json::const_iterator sender = message.find("daemon");
    if (message.is_object() && sender != message.end() && sender->is_string()) {
        directory_.on_heard(sender->get<std::string>());
    }
}

void state_relay::fail_source(const std::string& name, const error& reason) {
    polls_failed_.add();
    if (is_source(name)) {
        selection_.on_failure(name, now());
    }
    log_.write(log_level::warning, "relay", "source_failed",
               {{"source", name}, {"reason", reason.describe()}});
}

void state_relay::receive(state_answer answer, time_point asked_at, const endpoint& sender) {
    contents_.resolve(answer, asked_at, sender);
    apply(answer, asked_at);
}

void state_relay::on_contents_failed(const endpoint& sender, const error& reason) {
    if (reason.code == error_code::not_found) {
        // It has a newer one by now, which its next answer names.
        return;
    }
    for (const std::string& name : choice_.sources) {
        if (directory_.address_of(name) == sender) {
            fail_source(name, reason);
        }
    }
}

void state_relay::apply(const state_answer& answer, time_point asked_at) {
    for (const std::map<store_collection, collection_update>::value_type& entry : answer.updates) {
        collection_watch* watch = find(entry.first);
        if (watch == nullptr) {
            continue;
        }
        const collection_update& update = entry.second;
        if (update.from) {
            watch->replica().apply({update.version.era, *update.from}, update.events,
                                   update.version.revision);
        } else if (!watch->replica().has_state() || update.version > watch->replica().version()) {
            watch->replica().replace(update.objects, update.version);
        }
    }
    if (answer.store_reachable) {
        note_heard(asked_at - answer.age);
    }
    // The state may have been replaced while the contents of the answer were on their way.
    if (answer.configuration_age && holds(*watches_.front(), answer) && on_configuration_confirmed) {
        on_configuration_confirmed(asked_at - *answer.configuration_age);
    }
    const collection_watch* instances = find(store_collection::instances);
    if (answer.instances_age && instances != nullptr && holds(*instances, answer) && on_instances_confirmed) {
        on_instances_confirmed(asked_at - *answer.instances_age);
    }
    if (answer.configuration && on_configuration) {
        log_.write(log_level::info, "relay", "configuration_received", {{"daemon", answer.daemon}});
        on_configuration(*answer.configuration);
    }
}

bool state_relay::holds(const collection_watch& watch, const state_answer& answer) {
    const auto update = answer.updates.find(watch.collection());
    if (update == answer.updates.end()) {
        return true;
    }
    const store_version& version = update->second.version;
    const collection_replica& replica = watch.replica();
    return replica.has_state() && replica.version().era == version.era &&
           replica.version().revision >= version.revision;
}

void state_relay::note_news(poll_state& state, const state_answer& answer) const {
    if (!answer.has_news || !answer.updates.empty()) {
        state.behind_since.reset();
        return;
    }
    if (!state.behind_since) {
        state.behind_since = now();
    }
    // The source would answer at once again; the changes are asked from it only after the limit.
    state.next_at = std::max(state.next_at, *state.behind_since + settings_.delivery_limit);
}

void state_relay::discard_if_ahead() {
    // A daemon that watches the store finds out from the store's answers.
    if (choice_.watches_store || choice_.sources.empty()) {
        return;
    }
    const bool is_ahead_of_all =
        std::all_of(choice_.sources.begin(), choice_.sources.end(), [this](const std::string& name) {
            const std::optional<time_point>& since = polls_[name].ahead_since;
            return selection_.is_healthy(name) && since && now() - *since >= settings_.ahead_limit;
        });
    if (!is_ahead_of_all) {
        return;
    }
    log_.write(log_level::error, "relay", "state_ahead_of_sources",
               {{"sources", choice_.sources.size()}, {"ms", to_milliseconds(settings_.ahead_limit)}});
    for (collection_watch* watch : watches_) {
        watch->replica().discard();
    }
    for (const std::string& name : choice_.sources) {
        polls_[name].ahead_since.reset();
    }
}

void state_relay::note_heard(time_point heard_at) {
    if (!heard_at_ || *heard_at_ < heard_at) {
        heard_at_ = heard_at;
    }
}

bool state_relay::lacks_state() const {
    return std::any_of(watches_.begin(), watches_.end(),
                       [](const collection_watch* watch) { return !watch->replica().has_state(); });
}

void state_relay::poll_seeds() {
    if (now() < next_seed_poll_) {
        return;
    }
    next_seed_poll_ = now() + settings_.seed_interval;
    for (const endpoint& seed : settings_.seeds) {
        state_request request = make_request(true);
        request.wait = duration(0);
        port_.ask(seed, relay_request_kind::state, request.to_json(), settings_.seed_interval,
                  [this, seed, asked_at = now(), alive = std::weak_ptr<bool>(alive_)](
                      const std::optional<nlohmann::json>& message, const error&) {
                      error invalid;
                      const std::optional<state_answer> answer =
                          message ? state_answer::from_json(*message, invalid) : std::nullopt;
                      if (!alive.expired() && answer && answer->daemon != directory_.name()) {
                          log_.write(log_level::info, "relay", "state_from_seed",
                                     {{"seed", answer->daemon}, {"updates", answer->updates.size()}});
                          receive(*answer, asked_at, seed);
                      }
                  });
    }
}

void state_relay::ask_for_configuration() {
    const collection_replica& state = watches_.front()->replica();
    if (!state.has_state() || !watches_.back()->replica().has_state() ||
        configuration_asked_era_ == state.version().era) {
        return;
    }
    configuration_asked_era_ = state.version().era;
    std::vector<std::string> own_zone = directory_.ranked_above();
    own_zone.insert(own_zone.end(), directory_.ranked_below().begin(), directory_.ranked_below().end());
    std::vector<std::string> elsewhere;
    for (const auto& entry : directory_.entries()) {
        if (std::find(own_zone.begin(), own_zone.end(), entry.first) == own_zone.end()) {
            elsewhere.push_back(entry.first);
        }
    }
    // Each daemon has its own order of the others, so that they share the requests.
    for (std::vector<std::string>* names : {&own_zone, &elsewhere}) {
        const std::vector<std::string> order = rendezvous_order(directory_.name(), std::move(*names));
        for (std::size_t index = 0; index < std::min(order.size(), settings_.configuration_peers); ++index) {
            const std::optional<endpoint> address = directory_.address_of(order[index]);
            if (address) {
                ask_for_configuration(*address);
            }
        }
    }
}

void state_relay::ask_for_configuration(const endpoint& server) {
    state_request request = make_request(false);
    request.wait = duration(0);
    want_configuration(request);
    polls_sent_.add();
    port_.ask(server, relay_request_kind::state, request.to_json(), settings_.poll_margin,
              [this, server, asked_at = now(), alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& message, const error& failure) {
                  if (alive.expired()) {
                      return;
                  }
                  error reason = failure;
                  const std::optional<state_answer> answer =
                      message ? state_answer::from_json(*message, reason) : std::nullopt;
                  if (!answer) {
                      polls_failed_.add();
                      log_.write(log_level::info, "relay", "configuration_not_received",
                                 {{"server", server.to_string()}, {"reason", reason.describe()}});
                      return;
                  }
                  receive(*answer, asked_at, server);
              });
}

void state_relay::want_configuration(state_request& request) const {
    if (configuration_version) {
        request.configuration_version = configuration_version();
    }
}

state_request state_relay::make_request(bool with_content) const {
    state_request request;
    request.daemon = directory_.name();
    request.wait = settings_.poll_wait;
    request.with_content = with_content;
    request.takes_references = contents_.takes_references();
    for (const collection_watch* watch : watches_) {
        if (watch->replica().has_state()) {
            request.versions.emplace(watch->collection(), watch->replica().version());
        }
    }
    if (with_content) {
        want_configuration(request);
    }
    return request;
}

bool state_relay::has_news_for(const state_request& request) const {
    return std::any_of(watches_.begin(), watches_.end(), [&request](const collection_watch* watch) {
        if (!watch->replica().has_state()) {
            return false;
        }
        const auto known = request.versions.find(watch->collection());
        return known == request.versions.end() || watch->replica().has_changes_since(known->second);
    });
}

collection_update state_relay::make_update(const collection_watch& watch,
                                           const std::optional<store_version>& known, bool takes_references) {
    const collection_replica& replica = watch.replica();
    collection_update update;
    update.version = replica.version();
    const collection_replica::copy_function copy = [&](const stored_object& object) {
        if (!takes_references) {
            return object;
        }
        std::optional<content_reference> reference;
        stored_object copied = contents_.copy(watch.collection(), object, reference);
        if (reference) {
            update.references.emplace(object.name, *reference);
        }
        return copied;
    };
    std::optional<std::vector<store_event>> changes =
        known ? replica.changes_since(*known, copy) : std::nullopt;
    if (changes) {
        update.from = known->revision;
        update.events = std::move(*changes);
        return update;
    }
    for (const auto& [name, object] : replica.objects()) {
        update.objects.push_back(copy(object));
    }
    return update;
}

state_answer state_relay::make_answer(const state_request& request, time_point received_at) {
    state_answer answer;
    answer.daemon = directory_.name();
    answer.store_reachable = is_store_reachable();
    answer.age = state_age().value_or(duration::max());
    answer.has_news = has_news_for(request);
    for (const collection_watch* watch : watches_) {
        const collection_replica& replica = watch->replica();
        if (!replica.has_state()) {
            continue;
        }
        const auto found = request.versions.find(watch->collection());
        const std::optional<store_version> known =
            found != request.versions.end() ? std::optional(found->second) : std::nullopt;
        answer.is_behind = answer.is_behind || (known && *known > replica.version());
        if (request.with_content && (!known || *known < replica.version())) {
            answer.updates.emplace(watch->collection(), make_update(*watch, known, request.takes_references));
        }
    }
    answer.configuration_age = age_for(*watches_.front(), configuration_confirmed_at, now(), request, answer);
    const collection_watch* instances = find(store_collection::instances);
    if (instances != nullptr) {
        answer.instances_age = age_for(*instances, instances_confirmed_at, received_at, request, answer);
    }
    const stored_object* in_effect = configuration ? configuration() : nullptr;
    if (in_effect != nullptr && request.configuration_version &&
        *request.configuration_version < configuration_version() &&
        answer.updates.count(watches_.front()->collection()) == 0) {
        answer.configuration =
            request.takes_references
                ? contents_.copy(store_collection::configuration, *in_effect, answer.configuration_reference)
                : *in_effect;
    }
    return answer;
}

std::optional<duration> state_relay::age_for(const collection_watch& watch,
                                             const std::function<std::optional<time_point>()>& confirmed,
                                             time_point moment, const state_request& request,
                                             const state_answer& answer) {
    const std::optional<time_point> confirmed_at = confirmed ? confirmed() : std::nullopt;
    if (!confirmed_at || !watch.replica().has_state()) {
        return std::nullopt;
    }
    const auto known = request.versions.find(watch.collection());
    const bool has_all = known != request.versions.end() &&
                         known->second.era == watch.replica().version().era &&
                         !watch.replica().has_changes_since(known->second);
    if (!has_all && answer.updates.count(watch.collection()) == 0) {
        return std::nullopt;
    }
    return std::max(moment - *confirmed_at, duration(0));
}

void state_relay::on_request(const nlohmann::json& message, relay_answer_handler respond) {
    error reason;
    const std::optional<state_request> request = state_request::from_json(message, reason);
    if (!request) {
        note_sender(message);
    }
    if (!request || stopped_) {
        requests_refused_.add();
        respond(std::nullopt,
                stopped_ ? error{error_code::draining, "daemon", directory_.name(), ""} : reason);
        return;
    }
    directory_.on_heard(request->daemon);
    const std::map<std::string, held_request>::iterator former = held_.find(request->daemon);
    if (former != held_.end() && request->wait > duration(0)) {
        // Its sender has given it up.
        former->second.respond(std::nullopt, error{error_code::superseded, "request", request->daemon, ""});
        held_.erase(former);
    }
    if (request->wait == duration(0) || has_news_for(*request) || held_.size() >= max_held_requests) {
        requests_answered_.add();
        respond(make_answer(*request, now()).to_json(), {});
        return;
    }
    held_.emplace(request->daemon,
                  held_request{*request, now(), now() + std::min(request->wait, settings_.poll_wait),
                               std::move(respond)});
}

void state_relay::answer_held() {
    const time_point current = now();
    for (std::map<std::string, held_request>::iterator entry = held_.begin(); entry != held_.end();) {
        const held_request& held = entry->second;
        if (current < held.deadline && !has_news_for(held.request)) {
            ++entry;
            continue;
        }
        requests_answered_.add();
        held.respond(make_answer(held.request, held.received_at).to_json(), {});
        entry = held_.erase(entry);
    }
}

void state_relay::on_content_request(std::string_view message, content_answer_handler respond) {
    contents_.on_request(message, std::move(respond));
}

void state_relay::stop() {
    stopped_ = true;
    contents_.stop();
    for (const std::map<std::string, held_request>::value_type& held : held_) {
        held.second.respond(std::nullopt, error{error_code::draining, "daemon", directory_.name(), ""});
    }
    held_.clear();
}

bool state_relay::is_store_reachable() const {
    const collection_watch& first = *watches_.front();
    return (first.is_active() && first.is_reachable()) || selection_.has_healthy();
}

std::optional<duration> state_relay::state_age() const {
    std::optional<time_point> heard = heard_at_;
    const std::optional<time_point>& own = watches_.front()->heard_at();
    if (own && (!heard || *heard < *own)) {
        heard = own;
    }
    return heard ? std::optional(std::max(now() - *heard, duration(0))) : std::nullopt;
}

void state_relay::log_roles() {
    std::string roles = choice_.watches_store ? "store" : "";
    for (const std::string& source : choice_.sources) {
        roles += (roles.empty() ? "" : ",") + source;
    }
    if (roles == logged_roles_) {
        return;
    }
    logged_roles_ = roles;
    log_.write(log_level::info, "relay", "sources_changed",
               {{"sources", roles},
                {"rank", selection_.candidates().size()},
                {"age_ms", to_milliseconds(state_age().value_or(duration(0)))}});
}

} // namespace gentianhill
