#include "gentianhill/daemon/group_runtime.h"

#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_teams = 1000;
/// Weight of a team that no ticket sets.
constexpr double default_team_weight = 100.0;

position_tracker_settings position_settings_for(const daemon_settings& settings) {
    position_tracker_settings result;
    result.confirm_stall_limit = settings.confirm_stall_limit;
    return result;
}

failure_detector_settings detector_settings_for(const daemon_settings& settings) {
    failure_detector_settings result;
    result.probe_interval = settings.probe_interval;
    result.silence_limit = settings.suspect_after;
    return result;
}

nlohmann::json report_json(const instance_report& report) {
    return nlohmann::json{{"accepted_term", report.accepted_term},
                          {"log_term", report.last_entry.term},
                          {"position", report.last_entry.position},
                          {"role", report.is_primary ? "primary" : "replica"},
                          {"initialised", report.initialised},
                          {"leaving", report.leaving},
                          {"follows", report.primary}};
}

} // namespace

group_runtime::group_runtime(daemon_context& context, const group_configuration& configuration)
    : context_(context),
      view_(configuration, position_settings_for(context.settings), {}),
      detector_(detector_settings_for(context.settings)) {
    for (const instance_configuration& instance : configuration.instances) {
        instance_runtime& created = instances_[instance.name];
        created.gateway = std::make_unique<instance_gateway>(context, instance, hooks_for(instance.name));
        created.poller = std::make_unique<instance_poller>(
            context, *created.gateway, [this] { return urgency(event_loop::now()); },
            [this, name = instance.name] { return view_.positions().report_of(name); });
    }
}

group_runtime::~group_runtime() {
    alive_.reset();
}

instance_gateway_hooks group_runtime::hooks_for(const std::string& instance) {
    instance_gateway_hooks hooks;
    hooks.on_report = [this](const instance_report& report) { on_report(report); };
    hooks.on_sent = [this, instance] {
        if (is_primary(instance)) {
            detector_.on_request_sent(event_loop::now());
        }
    };
    hooks.on_answer = [this, instance] {
        if (is_primary(instance)) {
            detector_.on_answer(event_loop::now());
        }
    };
    hooks.on_refused = [this, instance] {
        if (is_primary(instance)) {
            detector_.on_connection_refused(event_loop::now());
        }
    };
    hooks.on_no_answer = [this, instance] {
        if (is_primary(instance)) {
            detector_.on_request_unanswered(event_loop::now());
        }
    };
    return hooks;
}

void group_runtime::start() {
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        entry.second.poller->start();
    }
}

bool group_runtime::is_primary(const std::string& instance) const {
    return primary_ && *primary_ == instance;
}

poll_urgency group_runtime::urgency(time_point now) const {
    if (waiters_.has_conditions()) {
        return poll_urgency::fresh;
    }
    if (waiters_.has_confirms() || !view_.positions().is_confirming(now)) {
        return poll_urgency::position;
    }
    return poll_urgency::idle;
}

void group_runtime::on_report(const instance_report& report) {
    const std::map<std::string, instance_runtime>::iterator found = instances_.find(report.instance);
    if (found == instances_.end()) {
        return;
    }
    view_.apply(report);
    found->second.rate.observe(report);
    after_change();
}

bool group_runtime::merge(const nlohmann::json& view, std::optional<time_point> asked_at, error& reason) {
    if (!view_.merge(view, asked_at, event_loop::now(), reason)) {
        return false;
    }
    after_change();
    return true;
}

std::uint64_t group_runtime::observe_primary(std::function<void()> on_change) {
    const std::uint64_t observer = next_observer_++;
    observers_.emplace(observer, std::move(on_change));
    return observer;
}

void group_runtime::take_note_of_primary(time_point now) {
    const position_tracker& positions = view_.positions();
    const std::optional<std::string> primary = positions.primary();
    const bool is_changed = primary != primary_ || positions.primary_term() != primary_term_;
    detector_.observe_primary(primary, positions.primary_term(), now);
    if (!is_changed) {
        return;
    }
    // Requests that wait for connections to the old primary choose again.
    if (primary_ && primary != primary_) {
        gateway(*primary_)->refuse_waiting(
            error{error_code::no_primary, "instance", *primary_, "the new primary of the group"});
    }
    primary_ = primary;
    primary_term_ = positions.primary_term();
    context_.record(event_kind::primary_changed, name(),
                    {{"primary", primary_.value_or("")}, {"term", std::to_string(primary_term_)}});
    context_.log.write(log_level::info, "group", "primary_changed",
                       {{"group", name()}, {"primary", primary_.value_or("none")}, {"term", primary_term_}});
    const std::map<std::uint64_t, std::function<void()>> observers = observers_;
    for (const std::pair<const std::uint64_t, std::function<void()>>& observer : observers) {
        observer.second();
    }
}

void group_runtime::after_change() {
    const time_point now = event_loop::now();
    const position_tracker& positions = view_.positions();
    // A new primary changes where waiting writes go, so it is noted first.
    take_note_of_primary(now);
    if (positions.confirmed() > confirmed_) {
        confirmed_ = positions.confirmed();
        detector_.on_confirm_progress(!waiters_.has_confirms(), now);
    }
    // Handlers may cause further reports; they are covered by the outer call.
    if (!advancing_) {
        advancing_ = true;
        waiters_.advance(positions);
        advancing_ = false;
    }
}

void group_runtime::apply_settings() {
    view_.positions().set_settings(position_settings_for(context_.settings));
    detector_.set_settings(detector_settings_for(context_.settings));
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        entry.second.gateway->apply_settings();
    }
}

void group_runtime::tick(time_point now) {
    waiters_.expire(now);
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        const instance_report* report = view_.positions().report_of(entry.first);
        entry.second.gateway->tick(now);
        if (report != nullptr && report->leaving && !entry.second.gateway->is_leaving()) {
            set_leaving(entry.first, true);
        }
    }
}

instance_gateway* group_runtime::gateway(const std::string& instance) {
    const std::map<std::string, instance_runtime>::iterator found = instances_.find(instance);
    return found == instances_.end() ? nullptr : found->second.gateway.get();
}

instance_gateway* group_runtime::primary_gateway() {
    return primary_ ? gateway(*primary_) : nullptr;
}

void group_runtime::set_teams(const std::map<std::string, double>& teams, bool admits_all) {
    admits_all_teams_ = admits_all;
    teams_ = teams;
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        for (const std::pair<const std::string, double>& team : teams_) {
            entry.second.gateway->set_team(team.first, team.second);
        }
    }
}

bool group_runtime::has_team(const std::string& team) {
    if (teams_.contains(team)) {
        return true;
    }
    // Bounded, since the names come from callers.
    if (!admits_all_teams_ || teams_.size() >= max_teams) {
        return false;
    }
    teams_.emplace(team, default_team_weight);
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        entry.second.gateway->set_team(team, default_team_weight);
    }
    return true;
}

void group_runtime::set_leaving(const std::string& instance, bool leaving) {
    instance_gateway* found = gateway(instance);
    if (found == nullptr || found->is_leaving() == leaving) {
        return;
    }
    found->set_leaving(leaving);
    context_.record(leaving ? event_kind::host_leaving : event_kind::host_live, name(),
                    {{"instance", instance}});
    context_.log.write(log_level::info, "group", leaving ? "instance_leaving" : "instance_live",
                       {{"group", name()}, {"instance", instance}});
}

const std::vector<read_candidate>& group_runtime::candidates(time_point now) {
    candidates_.clear();
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        const instance_gateway& gateway = *entry.second.gateway;
        read_candidate candidate;
        candidate.instance = entry.first;
        candidate.zone = gateway.configuration().zone;
        candidate.report = view_.positions().report_of(entry.first);
        if (candidate.report != nullptr) {
            candidate.age = view_.age(candidate.report->last_entry, now);
        }
        candidate.load = gateway.load();
        candidate.entries_per_second = entry.second.rate.entries_per_second();
        candidate.leaving = gateway.is_leaving();
        candidate.reachable = gateway.is_reachable();
        candidate.is_primary = is_primary(entry.first);
        candidates_.push_back(candidate);
    }
    return candidates_;
}

void group_runtime::wait_confirmed(const log_position& position, time_point deadline,
                                   group_waiters::confirm_handler on_done) {
    waiters_.add_confirm(position, deadline, std::move(on_done));
    wake_pollers();
    schedule_advance();
}

void group_runtime::wait_until(std::function<bool()> condition, time_point deadline,
                               group_waiters::condition_handler on_done) {
    waiters_.add_condition(std::move(condition), deadline, std::move(on_done));
    wake_pollers();
    schedule_advance();
}

void group_runtime::schedule_advance() {
    const std::weak_ptr<bool> alive = alive_;
    context_.loop.run_after(duration{0}, [this, alive] {
        if (!alive.expired()) {
            after_change();
        }
    });
}

void group_runtime::wake_pollers() {
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        entry.second.poller->wake();
    }
}

void group_runtime::note_write_sent() {
    ++writes_sent_;
    detector_.on_write_sent(event_loop::now());
}

void group_runtime::note_write_executed(const log_position& position) {
    const time_point now = event_loop::now();
    assert(writes_sent_ > 0);
    --writes_sent_;
    view_.positions().on_write_executed(position, now);
    detector_.on_write_executed(now);
}

void group_runtime::note_write_failed(request_progress progress) {
    const time_point now = event_loop::now();
    assert(writes_sent_ > 0);
    --writes_sent_;
    progress == request_progress::answered ? detector_.on_write_rejected(now)
                                           : detector_.on_write_unanswered(now);
}

nlohmann::json group_runtime::to_json(time_point now) {
    const position_tracker& positions = view_.positions();
    nlohmann::json instances = nlohmann::json::array();
    for (const read_candidate& candidate : candidates(now)) {
        nlohmann::json entry{{"instance", candidate.instance},
                             {"zone", candidate.zone},
                             {"reachable", candidate.reachable},
                             {"leaving", candidate.leaving},
                             {"load", candidate.load}};
        if (candidate.report != nullptr) {
            entry.update(report_json(*candidate.report));
        }
        entry["age_ms"] =
            candidate.age ? nlohmann::json(to_milliseconds(*candidate.age)) : nlohmann::json(nullptr);
        instances.push_back(std::move(entry));
    }
    const primary_assessment assessment = detector_.assessment(now);
    return nlohmann::json{
        {"group", name()},
        {"term", positions.current_term()},
        {"primary", primary_.value_or("")},
        {"primary_term", primary_term_},
        {"primary_health", std::string{to_string(assessment.health)}},
        {"suspicion", std::string{to_string(assessment.reason)}},
        {"confirmed", {{"term", positions.confirmed().term}, {"position", positions.confirmed().position}}},
        {"accepts_writes", primary_.has_value() && accepts_writes(now)},
        {"waiting", waiters_.size()},
        {"writes_sent", writes_sent_},
        {"lowest_awaited",
         {{"term", waiters_.lowest_awaited().term}, {"position", waiters_.lowest_awaited().position}}},
        {"instances", std::move(instances)}};
}

nlohmann::json group_runtime::shares_json(time_point now) {
    nlohmann::json result = nlohmann::json::array();
    for (std::pair<const std::string, instance_runtime>& entry : instances_) {
        instance_gateway& gateway = *entry.second.gateway;
        const connection_counts counts = gateway.counts(now);
        nlohmann::json teams = nlohmann::json::array();
        for (const team_queue_stats& share : gateway.shares()) {
            teams.push_back({{"team", share.team},
                             {"weight", share.weight},
                             {"queued", share.queued},
                             {"served", share.served},
                             {"refused", share.refused},
                             {"expired", share.expired}});
        }
        result.push_back({{"group", name()},
                          {"instance", entry.first},
                          {"connections",
                           {{"opening", counts.opening},
                            {"idle", counts.idle},
                            {"busy", counts.busy},
                            {"pinned", counts.pinned},
                            {"closing", counts.closing}}},
                          {"teams", std::move(teams)}});
    }
    return result;
}

} // namespace gentianhill
