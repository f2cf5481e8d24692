#include "gentianhill/daemon/gentianhill_daemon.h"

#include "gentianhill/tickets/policy_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{10};
/// A tick that is later than this shows that the process did not run.
constexpr duration loop_gap_threshold = std::chrono::milliseconds{100};
/// Time between "not ready" and the close of the listening socket, for the load balancer to notice.
constexpr duration ready_notice = std::chrono::milliseconds{500};
constexpr duration drain_check_interval = std::chrono::milliseconds{20};
/// Requests of a group that was replaced may still use its old runtime for this long after their deadline.
constexpr duration retirement_margin = std::chrono::seconds{5};

object_store_settings store_settings_for(const daemon_settings& settings) {
    object_store_settings result;
    result.service = settings.platform;
    return result;
}

http2::server_settings caller_settings_for(const daemon_settings& settings) {
    http2::server_settings result;
    result.listen = settings.listen;
    return result;
}

caller_limits caller_limits_for(const daemon_settings& settings) {
    caller_limits result;
    result.default_deadline = settings.default_deadline;
    result.max_deadline = settings.max_deadline;
    return result;
}

graceful_stop_settings stop_settings_for(const daemon_settings& settings) {
    graceful_stop_settings result;
    result.grace = settings.drain_limit;
    result.balancer_delay = ready_notice;
    result.exits_early = true;
    return result;
}

retry_budget_settings budget_settings_for(const daemon_settings& settings) {
    constexpr double percent = 100.0;
    retry_budget_settings result;
    result.ratio = static_cast<double>(settings.retry_budget_percent) / percent;
    return result;
}

group_configuration configuration_of(const std::string& name, const group_subject& subject) {
    group_configuration result;
    result.name = name;
    for (const ticket_instance& instance : subject.instances) {
        result.instances.push_back(instance_configuration{instance.name, instance.address, instance.zone,
                                                          static_cast<std::uint32_t>(instance.connections),
                                                          static_cast<std::uint32_t>(instance.slots)});
    }
    return result;
}

bool is_same(const group_configuration& known, const group_configuration& wanted) {
    return std::equal(known.instances.begin(), known.instances.end(), wanted.instances.begin(),
                      wanted.instances.end(),
                      [](const instance_configuration& left, const instance_configuration& right) {
                          return left.name == right.name && left.address == right.address &&
                                 left.zone == right.zone && left.connections == right.connections &&
                                 left.slots == right.slots;
                      });
}

} // namespace

std::unique_ptr<gentianhill_daemon>
gentianhill_daemon::create(event_loop& loop, const daemon_settings& settings, error& reason) {
    token_codec_settings keys;
    keys.signing_key = settings.token_key;
    keys.previous_key = settings.token_previous_key;
    std::optional<token_codec> codec = token_codec::create(std::move(keys), reason);
    if (!codec) {
        return nullptr;
    }
    return std::unique_ptr<gentianhill_daemon>{new gentianhill_daemon{loop, settings, std::move(*codec)}};
}

gentianhill_daemon::gentianhill_daemon(event_loop& loop, const daemon_settings& settings, token_codec codec)
    : base_settings_(settings),
      settings_(settings),
      context_(loop, settings_, event_loop::wall_clock_ms()),
      store_(loop, store_settings_for(settings_), [this] { return context_.random(); }),
      service_(make_service_context(std::move(codec))),
      operators_(loop, settings_.operator_listen),
      admin_(loop, settings_.admin_listen),
      stop_(stop_settings_for(settings_)) {
    tickets_ = std::make_unique<ticket_service>(context_, store_);
    tickets_->on_raised = [this](const std::vector<std::string>& subjects) { on_tickets_raised(subjects); };
    fleet_ = std::make_unique<fleet_service>(context_, store_, *tickets_, hooks_for_fleet());
    tickets_->await_comparison = [this](std::function<void()> on_compared) {
        fleet_->await_comparison(std::move(on_compared));
    };
    tickets_->on_new_ticket = [this](const nlohmann::json& accepted) { fleet_->push_ticket(accepted); };
    statements_ = std::make_unique<statement_service>(service_);
    callers_ = std::make_unique<caller_endpoint>(loop, caller_settings_for(settings_),
                                                 caller_limits_for(settings_), statements_->handlers());
    set_operator_hooks();
    admin_.metrics_text = [this] {
        expose_gauges();
        return context_.metric_registry.expose();
    };
    admin_.not_ready_reasons = [this] { return not_ready_reasons(); };
}

gentianhill_daemon::~gentianhill_daemon() {
    // The groups go before the services: no handler of a request runs after its gateway has gone.
    callers_.reset();
    for (std::pair<const std::string, group_entry>& entry : groups_) {
        entry.second.driver.reset();
    }
    groups_.clear();
    retired_.clear();
    statements_.reset();
}

service_context gentianhill_daemon::make_service_context(token_codec codec) {
    return service_context{context_,
                           std::move(codec),
                           replica_selector{replica_selector_settings{}},
                           retry_policy{},
                           retry_budget{budget_settings_for(settings_), event_loop::now()},
                           [this](const std::string& name) { return find_group(name); },
                           [this](const std::string& team) -> std::optional<duration> {
                               const team_subject* found = tickets_->view().team(team);
                               if (found == nullptr || !found->max_age_ms) {
                                   return std::nullopt;
                               }
                               return duration{std::chrono::milliseconds{*found->max_age_ms}};
                           }};
}

bool gentianhill_daemon::start(error& reason) {
    if (!callers_->listen(reason) || !operators_.listen(reason) || !admin_.listen(reason) ||
        !fleet_->start(reason)) {
        return false;
    }
    context_.record(event_kind::daemon_started, {}, {{"zone", settings_.zone}});
    context_.log.write(log_level::info, "daemon", "started",
                       {{"name", settings_.name},
                        {"zone", settings_.zone},
                        {"callers", callers_->port()},
                        {"peers", fleet_->port()},
                        {"operators", operators_.port()},
                        {"admin", admin_.port()}});
    last_tick_ = event_loop::now();
    tick();
    return true;
}

void gentianhill_daemon::tick() {
    const time_point now = event_loop::now();
    const duration gap = now - last_tick_ - tick_interval;
    last_tick_ = now;
    if (gap > loop_gap_threshold) {
        context_.record(event_kind::daemon_paused, {}, {{"ms", std::to_string(to_milliseconds(gap))}});
        context_.log.write(log_level::warning, "daemon", "loop_gap", {{"ms", to_milliseconds(gap)}});
        for (std::pair<const std::string, group_entry>& entry : groups_) {
            entry.second.runtime->on_loop_gap(gap);
            entry.second.driver->on_loop_gap(now);
        }
    }
    for (std::pair<const std::string, group_entry>& entry : groups_) {
        entry.second.runtime->tick(now);
        entry.second.driver->tick(now);
    }
    statements_->tick(now);
    // Requests of a group that was replaced still have deadlines.
    for (const retired_group& retired : retired_) {
        retired.runtime->tick(now);
    }
    std::erase_if(retired_, [now](const retired_group& retired) { return retired.until <= now; });
    tick_timer_ = context_.loop.call_after(tick_interval, [this] { tick(); });
}

group_runtime* gentianhill_daemon::find_group(const std::string& name) {
    const std::map<std::string, group_entry>::iterator found = groups_.find(name);
    return found == groups_.end() ? nullptr : found->second.runtime.get();
}

promotion_driver* gentianhill_daemon::find_driver(const std::string& name) {
    const std::map<std::string, group_entry>::iterator found = groups_.find(name);
    return found == groups_.end() ? nullptr : found->second.driver.get();
}

std::vector<std::string> gentianhill_daemon::not_ready_reasons() const {
    std::vector<std::string> reasons;
    if (draining_) {
        reasons.emplace_back("the daemon is draining");
    }
    if (!tickets_->is_loaded()) {
        reasons.emplace_back("no tickets yet: neither the platform nor a peer has answered");
    } else if (groups_.empty()) {
        reasons.emplace_back("no ticket in effect names a database group");
    }
    return reasons;
}

void gentianhill_daemon::on_tickets_raised(const std::vector<std::string>& subjects) {
    const ticket_state& view = tickets_->view();
    if (std::find(subjects.begin(), subjects.end(), "policy") != subjects.end()) {
        apply_policy();
    }
    for (const std::string& subject : subjects) {
        constexpr std::string_view group_prefix = "group/";
        if (!subject.starts_with(group_prefix)) {
            continue;
        }
        const std::string name = subject.substr(group_prefix.size());
        const group_subject* state = view.group(name);
        state != nullptr ? set_group(name, *state) : remove_group(name);
    }
    // The weights of teams may have changed in every group.
    for (const std::string& name : view.group_names()) {
        const group_subject* state = view.group(name);
        if (state != nullptr && groups_.contains(name)) {
            set_teams_of(name, *state);
        }
    }
}

void gentianhill_daemon::apply_policy() {
    settings_ = with_policy(base_settings_, tickets_->view().policy());
    callers_->set_limits(caller_limits_for(settings_));
    service_.budget = retry_budget{budget_settings_for(settings_), event_loop::now()};
    for (std::pair<const std::string, group_entry>& entry : groups_) {
        entry.second.runtime->apply_settings();
    }
    context_.log.write(log_level::info, "daemon", "policy_applied",
                       {{"entry_hosts", settings_.entry_hosts},
                        {"suspect_after_ms", to_milliseconds(settings_.suspect_after)}});
}

void gentianhill_daemon::set_group(const std::string& name, const group_subject& subject) {
    const group_configuration wanted = configuration_of(name, subject);
    const group_runtime* known = find_group(name);
    if (known != nullptr && is_same(known->view().configuration(), wanted)) {
        return;
    }
    remove_group(name);
    group_entry created;
    created.runtime = std::make_unique<group_runtime>(context_, wanted);
    created.driver =
        std::make_unique<promotion_driver>(context_, *created.runtime, store_, hooks_for_driver(name));
    created.runtime->start();
    groups_.emplace(name, std::move(created));
}

void gentianhill_daemon::set_teams_of(const std::string& name, const group_subject& subject) {
    std::map<std::string, double> teams;
    for (const std::string& team : subject.teams) {
        const team_subject* found = tickets_->view().team(team);
        teams[team] = static_cast<double>(found != nullptr ? found->weight : team_subject{}.weight);
    }
    find_group(name)->set_teams(teams, subject.teams.empty());
}

void gentianhill_daemon::remove_group(const std::string& name) {
    const std::map<std::string, group_entry>::iterator found = groups_.find(name);
    if (found == groups_.end()) {
        return;
    }
    found->second.driver.reset();
    const time_point until = event_loop::now() + settings_.max_deadline + retirement_margin;
    retired_.push_back(retired_group{std::move(found->second.runtime), until});
    groups_.erase(found);
}

bool gentianhill_daemon::merge_views(const std::vector<nlohmann::json>& views, error& reason) {
    bool is_news = false;
    for (const nlohmann::json& view : views) {
        if (!view.is_object() || !view.contains("group") || !view["group"].is_string()) {
            reason = error{error_code::missing_field, "views.group", {}, "the name of a database group"};
            return false;
        }
        group_runtime* group = find_group(view["group"].get<std::string>());
        if (group == nullptr) {
            continue;
        }
        const term_number before = group->view().positions().primary_term();
        if (!group->merge(view, std::nullopt, reason)) {
            return false;
        }
        is_news = is_news || group->view().positions().primary_term() > before;
    }
    return is_news;
}

opinion_answer gentianhill_daemon::give_opinion(const opinion_request& question) {
    opinion_answer answer;
    group_runtime* group = find_group(question.group);
    if (group == nullptr) {
        return answer;
    }
    const position_tracker& positions = group->view().positions();
    const bool is_same_primary =
        positions.primary_term() > question.term ||
        (positions.primary_term() == question.term && positions.primary() == question.primary);
    const bool is_healthy = group->detector().assessment(event_loop::now()).health == primary_health::healthy;
    answer.saw_commit_recently = is_same_primary && is_healthy;
    context_.record(
        event_kind::opinion_given, question.group,
        {{"primary", question.primary}, {"healthy", answer.saw_commit_recently ? "true" : "false"}});
    return answer;
}

void gentianhill_daemon::set_servers(const std::map<std::string, bool>& leaving_by_address) {
    for (std::pair<const std::string, group_entry>& entry : groups_) {
        group_runtime& group = *entry.second.runtime;
        for (const instance_configuration& instance : group.view().configuration().instances) {
            const std::map<std::string, bool>::const_iterator found =
                leaving_by_address.find(instance.address.to_string());
            const instance_report* report = group.view().positions().report_of(instance.name);
            const bool says_itself = report != nullptr && report->leaving;
            if (found != leaving_by_address.end()) {
                group.set_leaving(instance.name, found->second || says_itself);
            }
        }
    }
}

fleet_service_hooks gentianhill_daemon::hooks_for_fleet() {
    fleet_service_hooks hooks;
    hooks.group_terms = [this] {
        nlohmann::json terms = nlohmann::json::object();
        for (const std::pair<const std::string, group_entry>& entry : groups_) {
            const position_tracker& positions = entry.second.runtime->view().positions();
            terms[entry.first] = {positions.primary_term(), positions.primary().value_or("")};
        }
        return terms;
    };
    hooks.merge_views = [this](const std::vector<nlohmann::json>& views, error& reason) {
        return merge_views(views, reason);
    };
    hooks.opinion = [this](const opinion_request& question) { return give_opinion(question); };
    hooks.on_servers = [this](const std::map<std::string, bool>& leaving) { set_servers(leaving); };
    return hooks;
}

promotion_driver_hooks gentianhill_daemon::hooks_for_driver(const std::string& group) {
    promotion_driver_hooks hooks;
    hooks.live_daemons = [this] { return fleet_->live_daemons(); };
    hooks.is_running = [this](const daemon_incarnation& run) { return fleet_->is_running(run); };
    hooks.ask_other_zones = [this](const std::string& name, const std::string& primary, term_number term,
                                   std::function<void(const std::string&, bool)> on_opinion) {
        return fleet_->ask_other_zones(opinion_request{name, primary, term}, std::move(on_opinion));
    };
    hooks.publish_view = [this, group] {
        const group_runtime* found = find_group(group);
        if (found != nullptr) {
            fleet_->push_views({found->view().to_json(event_loop::now())});
        }
    };
    return hooks;
}

bool gentianhill_daemon::drain() {
    if (draining_) {
        return false;
    }
    draining_ = true;
    stop_.request(event_loop::now());
    statements_->set_draining(true);
    fleet_->set_draining();
    context_.record(event_kind::drain_started, {}, {});
    context_.log.write(log_level::info, "daemon", "drain_started",
                       {{"open_requests", callers_->open_requests()},
                        {"open_transactions", statements_->open_transactions()}});
    continue_drain();
    return true;
}

void gentianhill_daemon::continue_drain() {
    const bool has_open_work =
        statements_->open_transactions() > 0 || !callers_->is_shut_down() || !operators_.is_shut_down();
    const stop_phase before = stop_.phase();
    const stop_phase phase = stop_.advance(event_loop::now(), has_open_work);
    if (phase != before) {
        enter(phase);
    }
    if (phase == stop_phase::stopped) {
        finish_drain();
        return;
    }
    // A caller cannot finish its transaction after GOAWAY, so transactions end first.
    const bool may_go_away = phase >= stop_phase::refusing ||
                             (phase == stop_phase::closing_sessions && statements_->open_transactions() == 0);
    if (!going_away_ && may_go_away) {
        going_away_ = true;
        callers_->shut_down();
        operators_.shut_down();
    }
    drain_timer_ = context_.loop.call_after(drain_check_interval, [this] { continue_drain(); });
}

void gentianhill_daemon::enter(stop_phase phase) {
    context_.log.write(log_level::info, "daemon", "drain_phase",
                       {{"phase", to_string(phase)},
                        {"open_requests", callers_->open_requests()},
                        {"open_transactions", statements_->open_transactions()}});
    if (phase >= stop_phase::closing_sessions) {
        callers_->stop_accepting();
    }
    if (phase == stop_phase::refusing) {
        statements_->begin_refusing();
    }
    if (phase == stop_phase::ending) {
        callers_->refuse_incomplete();
        statements_->give_up_at_stop();
        operators_.give_up_at_stop();
    }
}

void gentianhill_daemon::finish_drain() {
    context_.record(event_kind::drain_finished, {}, {});
    context_.log.write(log_level::info, "daemon", "drain_finished",
                       {{"cut_off", callers_->open_requests() + operators_.open_requests()},
                        {"ms", to_milliseconds(stop_.elapsed(event_loop::now()))}});
    if (on_drained) {
        on_drained();
    }
}

nlohmann::json gentianhill_daemon::state_json() {
    nlohmann::json subjects = nlohmann::json::object();
    for (const std::pair<const std::string, subject_view>& entry : tickets_->view().subjects()) {
        subjects[entry.first] = {{"number", entry.second.number}, {"state", to_json(entry.second.state)}};
    }
    return nlohmann::json{{"daemon", settings_.name},
                          {"zone", settings_.zone},
                          {"incarnation", context_.incarnation},
                          {"draining", draining_},
                          {"not_ready", not_ready_reasons()},
                          {"platform_available", store_.is_available()},
                          {"fingerprint", tickets_->view().fingerprint()},
                          {"highest_ticket", tickets_->view().highest_number()},
                          {"open_requests", callers_->open_requests()},
                          {"open_transactions", statements_->open_transactions()},
                          {"subjects", subjects}};
}

void gentianhill_daemon::ticket_status(ticket_number number, const operator_answer& answer) {
    tickets_->show(number, [this, number, answer](const std::optional<nlohmann::json>& stored,
                                                  const error& failure) {
        if (!stored) {
            answer(std::nullopt, failure);
            return;
        }
        nlohmann::json subjects = nlohmann::json::object();
        bool is_applied = true;
        for (nlohmann::json::const_iterator subject = stored->at("subjects").begin();
             subject != stored->at("subjects").end(); ++subject) {
            const std::optional<ticket_number> newer = tickets_->view().superseded_by(number, subject.key());
            const std::map<std::string, ticket_number> numbers = tickets_->view().numbers();
            const std::map<std::string, ticket_number>::const_iterator known = numbers.find(subject.key());
            const ticket_number current = known == numbers.end() ? 0 : known->second;
            is_applied = is_applied && current >= number;
            subjects[subject.key()] = {{"in_effect", current},
                                       {"superseded_by", newer ? nlohmann::json(*newer) : nullptr}};
        }
        nlohmann::json daemons = nlohmann::json::object();
        const nlohmann::json views = fleet_->ticket_views();
        for (nlohmann::json::const_iterator view = views.begin(); view != views.end(); ++view) {
            const bool is_same = view.value()["same"].is_boolean() && view.value()["same"].get<bool>();
            daemons[view.key()] = is_applied && is_same;
        }
        answer(nlohmann::json{{"number", number}, {"subjects", subjects}, {"applied", daemons}}, error{});
    });
}

void gentianhill_daemon::set_operator_hooks() {
    operators_.hooks.groups = [this] {
        nlohmann::json result = nlohmann::json::array();
        for (std::pair<const std::string, group_entry>& entry : groups_) {
            nlohmann::json group = entry.second.runtime->to_json(event_loop::now());
            group["coordination"] = entry.second.driver->to_json();
            result.push_back(std::move(group));
        }
        return result;
    };
    operators_.hooks.state = [this] { return state_json(); };
    operators_.hooks.shares = [this] {
        nlohmann::json result = nlohmann::json::array();
        for (std::pair<const std::string, group_entry>& entry : groups_) {
            for (nlohmann::json& share : entry.second.runtime->shares_json(event_loop::now())) {
                result.push_back(std::move(share));
            }
        }
        return result;
    };
    operators_.hooks.hosts = [this] { return fleet_->hosts_json(); };
    operators_.hooks.timeline = [this](std::uint64_t since, std::size_t limit) {
        return context_.events.export_since(since, limit);
    };
    operators_.hooks.tickets = [this] { return tickets_->view().export_view(); };
    operators_.hooks.submit_ticket = [this](const ticket& submitted, const operator_answer& answer) {
        tickets_->submit(submitted, answer);
    };
    operators_.hooks.show_ticket = [this](ticket_number number, const operator_answer& answer) {
        tickets_->show(number, answer);
    };
    operators_.hooks.ticket_status = [this](ticket_number number, const operator_answer& answer) {
        ticket_status(number, answer);
    };
    operators_.hooks.outcome = [this](const std::string& group, const std::string& key,
                                      const operator_answer& answer) {
        group_runtime* found = find_group(group);
        const group_subject* subject = tickets_->view().group(group);
        if (found == nullptr || subject == nullptr) {
            answer(std::nullopt, error{error_code::unknown_group, "group", group, "a group in effect"});
            return;
        }
        outcome_request question;
        question.group = group;
        question.team = subject->teams.empty() ? "operators" : subject->teams.front();
        question.key = key;
        question.deadline = settings_.default_deadline;
        statements_->query_outcome(
            question, [answer](const caller_answer& reply) { answer(reply.to_json(), error{}); });
    };
    operators_.hooks.drain = [this](error& reason) {
        if (!drain()) {
            reason = error{error_code::draining, "daemon", settings_.name, "it has begun to stop already"};
            return false;
        }
        return true;
    };
}

void gentianhill_daemon::expose_gauges() {
    const peer_network_counters peers = fleet_->counters();
    const http2::client_counters platform = store_.counters();
    metrics& registry = context_.metric_registry;
    registry.add_gauge("gentianhill_peer_bytes", "Bytes exchanged with other daemons since the start")
        .set(static_cast<double>(peers.bytes_sent + peers.bytes_received));
    registry.add_gauge("gentianhill_platform_calls", "Calls on the platform's service since the start")
        .set(static_cast<double>(platform.calls));
    registry.add_gauge("gentianhill_platform_bytes", "Bytes exchanged with the platform since the start")
        .set(static_cast<double>(platform.bytes_sent + platform.bytes_received));
    std::uint64_t control_bytes = 0;
    for (std::pair<const std::string, group_entry>& entry : groups_) {
        for (const instance_configuration& instance :
             entry.second.runtime->view().configuration().instances) {
            control_bytes += entry.second.runtime->gateway(instance.name)->control_bytes();
        }
    }
    registry
        .add_gauge("gentianhill_instance_control_bytes",
                   "Bytes of control calls to instances since the start")
        .set(static_cast<double>(control_bytes));
}

} // namespace gentianhill
