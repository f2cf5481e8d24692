#include "gentianhill/proxy/database_group.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Time to wait for evidence from a replica before polling all replicas and reading the promotion record.
constexpr duration evidence_timeout = 30ms;
/// Shortest interval between reads of the promotion record in the store.
constexpr duration record_read_interval = 1000ms;
/// Time after the list of instances by which the daemons have recorded the members, as a rule.
constexpr duration departure_check_delay = 2s;
/// Trust that would be slow to obtain again is renewed for this time after its last use.
constexpr duration trust_retention = 2s;
/// Unconfirmed commits are discarded after this time, which exceeds any route's timeout.
constexpr duration unconfirmed_limit = 20s;
/// Share of a route's target latency by which a replica is asked whether it has received a commit; before,
/// answers to reads may show it.
constexpr double receipt_wait_share = 0.3;
constexpr duration max_receipt_wait = 60ms;
/// A replica is asked at once when none has answered a read for this time.
constexpr duration read_answer_interval = 100ms;
/// Time after which all replicas are asked if the first one has not shown it.
constexpr duration receipt_timeout = 50ms;
/// Trust that was used within `trust_use_interval` is renewed when less than `trust_renewal_lead` is left.
constexpr duration trust_use_interval = 200ms;
constexpr duration trust_renewal_lead = 60ms;
/// Subtracted from the cost of a replica, in ms, while its answer to a read may confirm a commit and so save
/// a status call.
constexpr double receipt_bonus_ms = 12.0;
/// A replica that has not answered for this time cannot show soon that it has received a commit.
constexpr duration witness_silence = 350ms;
/// Term of a group before its first promotion.
constexpr term_number first_term = 1;
/// An unanswered status call is repeated after this time.
constexpr duration status_timeout = 250ms;
/// Shortest interval between two status calls to one instance, so that evidence that cannot be had is not
/// requested again with each answer.
constexpr duration status_spacing = 10ms;
/// Shortest interval between two polls of all instances.
constexpr duration poll_interval = 150ms;
/// Time without an answer after which the primary is probed, with and without an unanswered statement.
constexpr duration probe_after_unanswered = 200ms;
constexpr duration probe_after_idle = 1000ms;
/// The same for a daemon that leaves the frequent probes of an idle primary to others.
constexpr duration seldom_probe_after_idle = 5000ms;
/// Interval of the polls that check whether the remaining members hold everything that a removed replica
/// held.
constexpr duration settlement_poll_interval = 200ms;
/// The same for a daemon that leaves this to others and asks its zone.
constexpr duration seldom_settlement_poll_interval = 1000ms;
/// Time for which the instances are asked directly after the zone had no sufficient evidence.
constexpr duration zone_pause = 100ms;
/// Longest time for which a request of another daemon is held; below its timeout.
constexpr duration zone_answer_limit = 45ms;
/// Trust passed on lasts at least this long, so that it is still valid when it arrives.
constexpr duration min_trust_left = 100ms;
constexpr std::size_t max_provided_points = 8;
/// Requests of other daemons held at once; a further one is answered with what is known.
constexpr std::size_t max_zone_requests = 1024;
/// Number of replicas required before their logs may be used as read points.
constexpr std::size_t min_replicas = 2;
/// A group that has refused statements for this time counts as not serving.
constexpr duration unservable_limit = 900ms;
/// A read point at most this old shows that the group can serve reads again.
constexpr duration recovery_staleness = 500ms;
/// Second reads are limited to this share of all statements, so that they cannot amplify an overload.
constexpr double second_read_ratio = 0.05;
constexpr double second_read_capacity = 20.0;
/// Share of an instance's connections divided among the proxies; the rest is left for proxies that start or
/// are replaced.
constexpr double connection_share = 0.85;
/// A guest's control connection is closed after this time without use: the next status call of a poll that
/// opened it follows within two periods of the periodic work.
constexpr duration guest_control_idle_timeout = 100ms;
/// Longest time for which statements wait for the first read point: an instance counts the connections of a
/// process that has ended for 3 s.
constexpr duration warm_up_limit = 3500ms;
/// True if an instance has or will soon have a connection for a caller that it has no idle one for. Without
/// teams one is opened at each candidate, as it serves the next statement; a team's is opened where it is
/// used.
bool opens_for(proxy_instance& instance, std::string_view team) {
    return team.empty() ? instance.open_more(1, team) : instance.can_open(team);
}

/// Identifies one run of an instance.
std::string key_of(const listed_instance& listed) {
    return listed.id + "@" + std::to_string(listed.started_at_ms);
}

/// Statements in flight beyond the instance's slots, to keep it busy while answers are in transit.
constexpr std::size_t in_flight_reserve = 2;
/// Cost added for an instance without a free connection; above any difference in latency.
constexpr double microseconds_per_ms = 1000.0;
constexpr double full_cost_ms = 1000.0;
/// Cost added for an instance that fails statements, in ms: it is used only while the others are full.
constexpr double avoided_cost_ms = 500.0;
/// Share of a route's timeout after which a statement that still waits for a connection is refused.
constexpr double queue_share = 0.8;
/// Interval of the checks whether the waiting statements can still be served; a few per target latency.
constexpr duration queue_check_interval = 50ms;

} // namespace

proxy_counters::proxy_counters(metrics& registry)
    : statements(registry.add_counter("gentianhill_statements_total", "Statements answered.")),
      refused(
          registry.add_counter("gentianhill_statements_refused_total", "Statements answered as not run.")),
      callers_refused(registry.add_counter("gentianhill_callers_refused_total",
                                           "Sessions and statements refused because of the caller's key.")),
      refused_on_arrival(registry.add_counter("gentianhill_statements_refused_on_arrival_total",
                                              "Statements refused because the queue ahead is too long.")),
      refused_in_queue(
          registry.add_counter("gentianhill_statements_refused_in_queue_total",
                               "Waiting statements refused because others are served before them.")),
      idle_transactions_ended(
          registry.add_counter("gentianhill_idle_transactions_ended_total",
                               "Idle transactions ended because statements waited for their connection.")),
      waiting(registry.add_gauge("gentianhill_waiting_statements",
                                 "Statements that wait for a connection, at the last periodic check.")),
      in_doubt(
          registry.add_counter("gentianhill_statements_in_doubt_total", "Changes with unknown outcome.")),
      repeated(registry.add_counter("gentianhill_attempts_repeated_total", "Attempts that were repeated.")),
      second_reads(registry.add_counter("gentianhill_second_reads_total", "Reads started a second time.")),
      status_calls(registry.add_counter("gentianhill_status_calls_total", "Status calls to instances.")),
      connections_opened(
          registry.add_counter("gentianhill_connections_opened_total", "Connections opened to instances.")),
      answers_copied(registry.add_counter("gentianhill_answers_copied_total",
                                          "Answers of instances that were a copy of an earlier one.")),
      answers_ambiguous(registry.add_counter("gentianhill_answers_ambiguous_total",
                                             "Answers of instances that may have been a copy.")),
      answers_out_of_step(registry.add_counter("gentianhill_answers_out_of_step_total",
                                               "Answers of instances that no command can have had.")),
      promotions(registry.add_counter("gentianhill_promotions_total", "Promotions made by this daemon.")),
      latency(registry.add_histogram("gentianhill_statement_ms", "Time from a statement to its answer.")) {}

database_group::database_group(std::string name, instance_network& network, logger& log,
                               proxy_counters& counters, const database_group_settings& settings,
                               std::function<time_point()> clock)
    : name_(std::move(name)),
      network_(network),
      log_(log),
      counters_(counters),
      settings_(settings),
      clock_(std::move(clock)),
      departed_(network, log, clock_, settings.member_list_limit + settings.trust_window),
      trust_(settings.trust_window),
      failure_detector_(settings.failure_detector) {
    watching_since_ = now();
    failure_detector_.reset(false, now());
    settlement_.unsettle(now());
    departed_.on_connection_attempt = [this] { counters_.connections_opened.add(); };
}

database_group::~database_group() {
    // Tasks are destroyed first, since they use connections owned by the instances.
    queued_tasks_.clear();
}

void database_group::update_instance(const listed_instance& listed) {
    const std::map<std::string, std::unique_ptr<proxy_instance>>::iterator found = instances_.find(listed.id);
    if (found == instances_.end()) {
        on_departed_listed(listed);
        std::unique_ptr<proxy_instance> added =
            std::make_unique<proxy_instance>(listed, network_, log_, settings_.pool, clock_);
        added->on_capacity = [this] { place_waiting_tasks(); };
        added->on_answered = [this](proxy_instance& instance, command_kind kind, time_point sent_at,
                                    const instance_answer& answer) {
            on_answered(instance, kind, sent_at, answer);
        };
        added->on_failure = [this](proxy_instance& instance, disconnect_reason reason) {
            on_failure(instance, reason);
        };
        added->on_repeated_answers = [this](proxy_instance& instance) { on_repeated_answers(instance); };
        added->on_unexpected = [this](answer_verdict verdict) {
            counter& unexpected = verdict == answer_verdict::copy        ? counters_.answers_copied
                                  : verdict == answer_verdict::ambiguous ? counters_.answers_ambiguous
                                                                         : counters_.answers_out_of_step;
            unexpected.add();
        };
        added->on_connection_attempt = [this] { counters_.connections_opened.add(); };
        instances_.emplace(listed.id, std::move(added));
        log_.write(log_level::info, "group", "instance_added",
                   {{"group", name_}, {"instance", listed.id}, {"zone", listed.zone}});
        set_limits(limits_, 0);
        if (on_member_added) {
            on_member_added();
        }
    } else {
        if (listed.started_at_ms != found->second->listed().started_at_ms) {
            log_.write(log_level::info, "group", "instance_restarted",
                       {{"group", name_}, {"instance", listed.id}});
            unfenced_reports_.remove(listed.id);
            received_positions_.erase(listed.id);
            unsettle_by(listed.id);
            if (listed.id == primary_id_) {
                set_primary("", term_);
            }
        }
        found->second->update(listed);
    }
    if (listed.id == primary_id_) {
        failure_detector_.set_leaving(listed.draining);
    }
    // Another instance claims to be primary, or the known primary no longer does.
    if (listed.claims_primary != (listed.id == primary_id_)) {
        last_poll_ = time_point{};
        poll_instances();
    }
    place_waiting_tasks();
}

void database_group::remove_instance(const std::string& id) {
    const std::map<std::string, std::unique_ptr<proxy_instance>>::iterator found = instances_.find(id);
    if (found == instances_.end()) {
        return;
    }
    log_.write(log_level::info, "group", "instance_removed", {{"group", name_}, {"instance", id}});
    // Its connections may be in use by a caller on the stack, so it is destroyed by the next tick.
    removed_.push_back(std::move(found->second));
    instances_.erase(found);
    removed_.back()->close_all();
    departed_.add(removed_.back()->listed(), settings_.pool);
    open_polls_.erase(id);
    status_sent_at_.erase(id);
    unfenced_reports_.remove(id);
    received_positions_.erase(id);
    failure_detector_.on_replica_fence_state(id, false, now());
    // A replica may still receive, and counts as a member until that is over.
    if (has_led(id)) {
        unsettle_by(id);
    }
    if (id == primary_id_) {
        set_primary("", term_);
    }
    check_lost_primary();
}

void database_group::on_departed_listed(const listed_instance& listed) {
    const std::optional<listed_instance> before = departed_.remove(listed.id);
    if (before && before->started_at_ms != listed.started_at_ms) {
        unsettle_by(listed.id);
    }
}

void database_group::resolve_departures() {
    for (const departed_instances::resolution& over : departed_.tick(is_watching())) {
        log_.write(log_level::info, "group", "departure_resolved",
                   {{"group", name_}, {"instance", over.id}, {"ended", over.has_ended}});
        if (!has_led(over.id)) {
            settlement_.unsettle(now());
        }
    }
    if (!departed_.are_known() && is_watching() && departed_.gap_age() >= departure_check_delay) {
        check_departures();
    }
}

proxy_instance* database_group::find_member(const std::string& id) {
    proxy_instance* departed = departed_.find(id);
    return departed != nullptr ? departed : find(id);
}

std::vector<std::string> database_group::departed_ids() const {
    std::vector<std::string> ids;
    for (const listed_instance& entry : departed_.entries()) {
        ids.push_back(entry.id);
    }
    return ids;
}

bool database_group::has_receiving_departed() const {
    const std::vector<std::string> ids = departed_ids();
    return std::any_of(ids.begin(), ids.end(), [this](const std::string& id) { return !has_led(id); });
}

void database_group::unsettle_by(const std::string& id) {
    const bool has_led = former_primary_.leading_log_end(id, term_).has_value();
    if (has_led) {
        settlement_.unsettle_without_primary(term_, now());
    } else {
        settlement_.unsettle(now());
    }
}

void database_group::check_lost_primary() {
    const time_point current = now();
    if (!primary_id_.empty() || !settlement_.needs_promoted_term(term_) || checking_lost_primary_ ||
        !read_promoted_term || current - lost_primary_checked_at_ < record_read_interval) {
        return;
    }
    checking_lost_primary_ = true;
    lost_primary_checked_at_ = current;
    read_promoted_term([this, current, term = term_,
                        alive = std::weak_ptr<bool>(alive_)](std::optional<term_number> promoted) {
        if (alive.expired()) {
            return;
        }
        checking_lost_primary_ = false;
        log_.write(log_level::info, "group", "lost_primary_checked",
                   {{"group", name_},
                    {"term", term},
                    {"answered", promoted.has_value()},
                    {"promoted_term", promoted.value_or(0)}});
        if (primary_id_.empty() && term == term_ && promoted && is_newest(*promoted) &&
            settlement_.on_no_newer_term(term, current)) {
            log_.write(log_level::info, "group", "members_settled",
                       {{"group", name_}, {"without_primary_of_term", term}});
        }
    });
}

void database_group::set_limits(const group_limits& limits, std::size_t proxies) {
    limits_ = limits;
    if (proxies > 0 && limits.max_connections > 0) {
        const double share =
            static_cast<double>(limits.max_connections) * connection_share / static_cast<double>(proxies);
        settings_.pool.max_connections = std::max<std::size_t>(static_cast<std::size_t>(share), 1);
    }
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        instance_pool_settings pool_settings = settings_.pool;
        pool_settings.max_in_flight =
            static_cast<std::size_t>(std::max<std::int64_t>(entry.second->listed().slots, 1)) +
            in_flight_reserve;
        entry.second->set_limits(pool_settings);
    }
}

void database_group::set_role(group_role role, std::size_t connections) {
    const bool was_watching = is_watching();
    const bool is_new = role != role_;
    role_ = role;
    const instance_pool_settings defaults;
    settings_.pool.idle_timeout = defaults.idle_timeout;
    settings_.pool.min_idle = defaults.min_idle;
    settings_.pool.control_idle_timeout = defaults.control_idle_timeout;
    switch (role) {
    case group_role::shared:
        break;
    case group_role::owner:
        settings_.pool.max_connections = connections;
        settings_.pool.idle_timeout = settings_.owner_idle_timeout;
        break;
    case group_role::guest:
        // What this daemon does not use belongs to the owners.
        settings_.pool.max_connections = connections;
        settings_.pool.idle_timeout = duration(0);
        settings_.pool.min_idle = 0;
        settings_.pool.control_idle_timeout = guest_control_idle_timeout;
        break;
    }
    set_limits(limits_, 0);
    if (is_new && !was_watching && is_watching()) {
        begin_watching();
    }
}

bool database_group::is_watching() const {
    return role_ != group_role::guest || unservable_since_ ||
           now() - last_statement_ < settings_.guest_interest;
}

void database_group::note_statement() {
    const bool was_watching = is_watching();
    last_statement_ = now();
    if (!was_watching) {
        begin_watching();
    }
}

void database_group::begin_watching() {
    // What was not watched says nothing about the primary.
    watching_since_ = now();
    failure_detector_.reset(!primary_id_.empty(), watching_since_);
    last_poll_ = time_point{};
    poll_instances();
}

bool database_group::is_warming_up() const {
    const std::optional<time_point> newest = read_points_.newest_at();
    return now() - watching_since_ < warm_up_limit && (!newest || *newest < watching_since_);
}

void database_group::begin_era(std::uint64_t era, time_point evidence_from) {
    era_ = era;
    settlement_.unsettle_for_new_era(evidence_from);
    log_.write(log_level::info, "group", "members_to_settle",
               {{"group", name_}, {"era", era}, {"wait_ms", to_milliseconds(evidence_from - now())}});
}

proxy_instance* database_group::find(const std::string& id) {
    const std::map<std::string, std::unique_ptr<proxy_instance>>::iterator found = instances_.find(id);
    return found == instances_.end() ? nullptr : found->second.get();
}

proxy_instance* database_group::primary() {
    return primary_id_.empty() ? nullptr : find(primary_id_);
}

statement_lane database_group::lane_of(const placement_query& query) {
    const bool reads_replica =
        (query.access == access_kind::read || query.access == access_kind::read_transaction) &&
        query.consistency != consistency_level::latest;
    return reads_replica ? statement_lane::any_instance : statement_lane::primary;
}

placement database_group::place(const placement_query& query) {
    note_statement();
    return lane_of(query) == statement_lane::any_instance ? place_read(query) : place_at_primary(query);
}

placement database_group::place_at_primary(const placement_query& query) {
    proxy_instance* instance = primary();
    const bool only_reads =
        query.access == access_kind::read || query.access == access_kind::read_transaction;
    if (only_reads && (instance == nullptr || !instance->is_usable())) {
        return place_latest_read(query);
    }
    if (instance == nullptr) {
        return {nullptr, std::nullopt, placement_wait::no_primary};
    }
    // A superseded primary never acknowledges a write, but a read on it could be stale.
    if (query.access != access_kind::write && !trust_.covers(trust_needed_at(query))) {
        request_evidence();
        return {nullptr, std::nullopt, placement_wait::no_evidence};
    }
    last_trust_use_ = now();
    if (!instance->is_usable()) {
        static_cast<void>(instance->open_more(1, query.team));
        return {nullptr, std::nullopt, placement_wait::no_primary};
    }
    // The outcome of a write would be in doubt.
    if (!only_reads && limits_.sync_replicas > 0 && !has_reachable_replica()) {
        poll_replicas();
        return {nullptr, std::nullopt, placement_wait::no_evidence};
    }
    // The instance may have started again under its id without its log. Until a write shows that it no longer
    // leads, only the position tells.
    return take_connection(*instance, query,
                           only_reads ? former_primary_.leading_log_end(primary_id_, term_) : std::nullopt);
}

time_point database_group::trust_needed_at(const placement_query& query) const {
    // Reads in a transaction may be as stale as the route allows, but must see the session's own commits.
    const bool may_be_stale = query.consistency != consistency_level::latest &&
                              query.fresh_after == time_point{} &&
                              (!query.session_position || query.session_position->term <= term_);
    return may_be_stale ? oldest_allowed_time(query) : now();
}

time_point database_group::oldest_allowed_time(const placement_query& query) const {
    const duration allowed = std::max(query.max_staleness - settings_.staleness_margin, duration(0));
    return std::max(query.begun_at - allowed, query.fresh_after);
}

placement database_group::place_read(const placement_query& query) {
    const std::optional<log_position> point = find_read_point(oldest_allowed_time(query));
    if (!point) {
        request_read_point(oldest_allowed_time(query));
        return {nullptr, std::nullopt, placement_wait::no_read_point};
    }
    const log_position min_position =
        query.session_position ? std::max(*point, *query.session_position) : *point;
    proxy_instance* instance = choose(query, min_position);
    if (instance == nullptr) {
        return {nullptr, std::nullopt, placement_wait::no_instance};
    }
    return take_connection(*instance, query, min_position);
}

std::optional<log_position> database_group::find_read_point(time_point oldest) const {
    const std::optional<log_position> point = read_points_.find_oldest(oldest, trust_.until());
    return point ? point : replica_read_points_.find_oldest(oldest, time_point::max());
}

placement database_group::place_latest_read(const placement_query& query) {
    const std::optional<log_position> point =
        replica_read_points_.find_oldest(query.begun_at, time_point::max());
    proxy_instance* instance = point ? choose(query, *point) : nullptr;
    if (instance == nullptr) {
        request_replica_read_point();
        return {nullptr, std::nullopt, placement_wait::no_primary};
    }
    return take_connection(*instance, query, *point);
}

proxy_instance* database_group::choose(const placement_query& query, const log_position& min_position) {
    proxy_instance* best = nullptr;
    proxy_instance* best_excluded = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    double best_excluded_cost = best_cost;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        proxy_instance& instance = *entry.second;
        if (instance.listed().draining) {
            continue;
        }
        if (!instance.is_usable()) {
            static_cast<void>(instance.open_more(1, query.team));
            continue;
        }
        const bool full =
            !instance.has_room() || (!instance.has_idle(query.team) && !opens_for(instance, query.team));
        const bool probes = query.access == access_kind::read && instance.has_idle(query.team) &&
                            instance.errors().is_probe_due(now());
        const double total_cost =
            (probes ? 0.0 : cost(instance, min_position, query.team)) + (full ? full_cost_ms : 0.0);
        const bool is_excluded = std::find(query.excluded_instances->begin(), query.excluded_instances->end(),
                                           entry.first) != query.excluded_instances->end();
        if (is_excluded || instance.lag().is_behind(min_position, now())) {
            if (total_cost < best_excluded_cost) {
                best_excluded = &instance;
                best_excluded_cost = total_cost;
            }
        } else if (total_cost < best_cost) {
            best = &instance;
            best_cost = total_cost;
        }
    }
    proxy_instance* chosen = best != nullptr ? best : best_excluded;
    if (chosen != nullptr && chosen->errors().is_avoided()) {
        chosen->errors().on_probe(now());
    }
    return chosen;
}

double database_group::cost(const proxy_instance& instance, const log_position& min_position,
                            std::string_view team) const {
    double expected_cost = instance.expected_ms();
    if (instance.listed().zone != settings_.zone) {
        expected_cost += settings_.other_zone_ms;
    }
    if (!instance.has_idle(team)) {
        // Those that wait already take the connections that are opened first.
        const double turns = static_cast<double>(queue_.size(statement_lane::any_instance)) /
                             static_cast<double>(instance.limits().max_opening);
        expected_cost += settings_.opening_ms * std::max(turns, 1.0);
    }
    if (!instance.position() || *instance.position() < min_position) {
        expected_cost += settings_.lagging_ms;
    }
    if (is_witness(instance) && unconfirmed_.ask_at()) {
        expected_cost -= receipt_bonus_ms;
    }
    if (instance.errors().is_avoided()) {
        expected_cost += avoided_cost_ms;
    }
    // Writes and reads of the latest state have no other instance.
    if (instance.listed().id == primary_id_) {
        const bool is_nearly_full = instance.in_flight() + 1 >= instance.in_flight_limit();
        const std::size_t displaced = queue_.size(statement_lane::primary) + (is_nearly_full ? 1 : 0);
        expected_cost += static_cast<double>(displaced) * instance.expected_ms();
    }
    return expected_cost;
}

placement database_group::take_connection(proxy_instance& instance, const placement_query& query,
                                          std::optional<log_position> min_position) {
    pooled_connection* connection = instance.take(*query.session, query.team);
    if (connection == nullptr) {
        // The other waiting statements may be those of other teams, which open connections of their own.
        static_cast<void>(instance.open_more(query.team.empty() ? queue_.size() + 1 : 1, query.team));
        return {nullptr, std::nullopt, placement_wait::no_connection};
    }
    return {connection, min_position, placement_wait::none};
}

queued_statement database_group::describe(const statement_task& task) const {
    const statement_task::request& request = task.task_request();
    const route& selected = *request.selected_route;
    queued_statement described;
    described.priority = selected.priority;
    described.team = request.team;
    described.lane = lane_of(task.query());
    const duration service = expected_service(described.lane);
    const duration slow_service = slow_service_of(described.lane);
    const duration longest_wait(
        static_cast<duration::rep>(static_cast<double>(selected.timeout.count()) * queue_share));
    described.target_start = request.begun_at + selected.target_latency - slow_service;
    described.last_start = request.received_at + std::min(longest_wait, selected.timeout - service);
    described.cost_ms = static_cast<double>(service.count()) / microseconds_per_ms;
    return described;
}

void database_group::enqueue(const std::shared_ptr<statement_task>& task) {
    dequeue(*task);
    const statement_queue::push_result result = queue_.push(describe(*task), now());
    if (result.displaced) {
        refuse_displaced(*result.displaced);
    }
    if (!result.added) {
        counters_.refused_on_arrival.add();
        log_refusal(*task, "queue_full", queue_.size(), duration(0));
        task->refuse_unservable();
        return;
    }
    task->set_queue_entry(*result.added);
    queued_tasks_.emplace(*result.added, task);
}

void database_group::refuse_displaced(statement_queue::entry_id id) {
    const std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>>::iterator found =
        queued_tasks_.find(id);
    if (found == queued_tasks_.end()) {
        return;
    }
    const std::shared_ptr<statement_task> displaced = found->second;
    queued_tasks_.erase(found);
    if (displaced->is_waiting() && displaced->may_be_refused()) {
        counters_.refused_in_queue.add();
        log_refusal(*displaced, "displaced_from_queue", queue_.size(), duration(0));
        displaced->refuse_unservable();
    }
}

void database_group::refuse_if_unservable(const std::shared_ptr<statement_task>& task) {
    if (!task->is_waiting() || !task->may_be_refused() ||
        task->wait_reason() != placement_wait::no_connection) {
        return;
    }
    const queued_statement described = describe(*task);
    const std::size_t with_itself = queue_.ahead_of(described, now());
    const std::size_t ahead = with_itself - std::min<std::size_t>(with_itself, 1);
    const double rate = service_rate(described.lane);
    const duration wait = expected_wait(ahead, rate);
    // The first one gets the next connection. Without a usable instance, the wait depends on its return.
    if (ahead == 0 || rate <= 0 || now() + wait <= queue_.servable_until(described, now())) {
        return;
    }
    counters_.refused_on_arrival.add();
    log_refusal(*task, "refused_on_arrival", ahead, wait);
    task->refuse_unservable();
}

void database_group::dequeue(statement_task& task) {
    const statement_queue::entry_id id = task.queue_entry();
    const std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>>::iterator found =
        queued_tasks_.find(id);
    if (found == queued_tasks_.end()) {
        return;
    }
    static_cast<void>(queue_.remove(id));
    queued_tasks_.erase(found);
}

void database_group::place_waiting_tasks() {
    // Reentrant call from a task that is being placed; the outer call continues with the remaining tasks.
    if (placing_tasks_ || queue_.size() == 0) {
        return;
    }
    placing_tasks_ = true;
    queue_.offer(now(), [this](statement_queue::entry_id id) { return offer_connection(id); });
    placing_tasks_ = false;
}

offer_result database_group::offer_connection(statement_queue::entry_id id) {
    const std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>>::iterator found =
        queued_tasks_.find(id);
    const std::shared_ptr<statement_task> task = found == queued_tasks_.end() ? nullptr : found->second;
    if (task == nullptr || !task->is_waiting()) {
        queued_tasks_.erase(id);
        static_cast<void>(queue_.remove(id));
        return offer_result::left_queue;
    }
    if (task->try_place()) {
        queued_tasks_.erase(id);
        return offer_result::left_queue;
    }
    // Others of the lane may use an instance that this one avoids.
    const bool may_differ =
        task->avoids_instances() || (lane_of(task->query()) == statement_lane::any_instance && has_lagging());
    if (task->wait_reason() != placement_wait::no_connection || may_differ) {
        return offer_result::waits;
    }
    // Connections belong to a team.
    return task->task_request().team.empty() ? offer_result::lane_is_full : offer_result::team_is_full;
}

bool database_group::has_lagging() const {
    const time_point current = now();
    return std::any_of(
        instances_.begin(), instances_.end(),
        [current](const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry) {
            return entry.second->lag().is_avoided(current);
        });
}

double database_group::service_rate(statement_lane lane) const {
    double rate = 0.0;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        const proxy_instance& instance = *entry.second;
        const bool is_primary = entry.first == primary_id_;
        // While statements wait for the primary alone, it serves those.
        const bool serves_lane = lane == statement_lane::primary
                                     ? is_primary
                                     : !instance.listed().draining && !instance.lag().is_avoided(now()) &&
                                           (!is_primary || queue_.size(statement_lane::primary) == 0);
        if (serves_lane && instance.is_usable()) {
            rate += instance.service_rate();
        }
    }
    return rate;
}

duration database_group::expected_service(statement_lane lane) const {
    std::optional<duration> shortest;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (lane == statement_lane::any_instance || entry.first == primary_id_) {
            const duration expected = entry.second->expected_service();
            shortest = std::min(shortest.value_or(expected), expected);
        }
    }
    return shortest.value_or(duration(0));
}

duration database_group::slow_service_of(statement_lane lane) const {
    std::optional<duration> shortest;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (lane == statement_lane::any_instance || entry.first == primary_id_) {
            const duration slow = entry.second->slow_service();
            shortest = std::min(shortest.value_or(slow), slow);
        }
    }
    return shortest.value_or(duration(0));
}

void database_group::refuse_unservable_tasks(time_point current) {
    if (current - last_queue_check_ < queue_check_interval) {
        return;
    }
    last_queue_check_ = current;
    if (queue_.size() == 0) {
        return;
    }
    const std::array<double, statement_lanes> rates{service_rate(statement_lane::primary),
                                                    service_rate(statement_lane::any_instance)};
    const std::vector<statement_queue::entry_id> unservable =
        queue_.find_unservable(current, [&rates](statement_lane lane, std::size_t ahead) {
            const double rate = rates.at(static_cast<std::size_t>(lane));
            return rate > 0 ? expected_wait(ahead, rate) : duration(0);
        });
    for (const statement_queue::entry_id id : unservable) {
        const std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>>::iterator found =
            queued_tasks_.find(id);
        if (found == queued_tasks_.end()) {
            continue;
        }
        const std::shared_ptr<statement_task> task = found->second;
        if (task->is_waiting() && task->may_be_refused() &&
            task->wait_reason() == placement_wait::no_connection) {
            counters_.refused_in_queue.add();
            log_refusal(*task, "refused_in_queue", queue_.size(), current - task->task_request().received_at);
            task->refuse_unservable();
        }
    }
}

void database_group::log_refusal(const statement_task& task, std::string_view event, std::size_t ahead,
                                 duration wait) {
    const statement_task::request& request = task.task_request();
    log_.write(log_level::info, "statement", event,
               {{"id", request.client_statement.id},
                {"group", name_},
                {"route", request.selected_route->name},
                {"priority", request.selected_route->priority},
                {"ahead", ahead},
                {"waiting", queue_.size()},
                {"wait_ms", to_milliseconds(wait)},
                {"timeout_ms", to_milliseconds(request.selected_route->timeout)}});
}

void database_group::track(const std::shared_ptr<statement_task>& task) {
    active_.push_back(task);
}

void database_group::refuse_new_attempts() {
    accepts_attempts_ = false;
    // Listed first, since a task that finishes may start another one.
    for (const statement_queue::entry_id id : queue_.ids()) {
        const std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>>::iterator found =
            queued_tasks_.find(id);
        if (found != queued_tasks_.end()) {
            const std::shared_ptr<statement_task> task = found->second;
            task->refuse_waiting();
        }
    }
}

void database_group::send_setup(pooled_connection& connection, const std::vector<setup_step>& steps,
                                std::function<void(bool ready)> done) {
    struct progress {
        std::size_t open = 0;
        bool failed = false;
        std::function<void(bool ready)> done;
    };
    const std::shared_ptr<progress> state = std::make_shared<progress>();
    state->open = steps.size();
    state->done = std::move(done);
    for (const setup_step& step : steps) {
        instance_command command;
        command.kind = step.kind == setup_kind::reset       ? command_kind::reset
                       : step.kind == setup_kind::set_value ? command_kind::set_value
                                                            : command_kind::prepare;
        command.name = step.name;
        command.argument = step.argument;
        command.writes = step.writes;
        connection.send(command, [state, step, target = &connection](instance_answer& answer) {
            if (answer.result.outcome == statement_outcome::done) {
                target->setup.apply(step);
            } else {
                state->failed = true;
            }
            if (--state->open == 0) {
                state->done(!state->failed);
            }
        });
    }
}

void database_group::return_connection(pooled_connection& connection) {
    connection.on_lost = nullptr;
    if (!connection.is_open()) {
        return;
    }
    if (connection.has_unanswered() || connection.state() == transaction_state::idle) {
        connection.owner().return_to_pool(connection);
        return;
    }
    instance_command command;
    command.kind = command_kind::rollback;
    connection.send(command,
                    [target = &connection](instance_answer&) { target->owner().return_to_pool(*target); });
}

bool database_group::ends_idle_transaction(const pooled_connection& connection, duration configured,
                                           duration idle_time) {
    const proxy_instance& instance = connection.owner();
    const bool is_primary = instance.listed().id == primary_id_;
    const std::size_t waiting =
        queue_.size(statement_lane::any_instance) + (is_primary ? queue_.size(statement_lane::primary) : 0);
    if (idle_endings_left_ == 0 || waiting == 0 || !instance.is_out_of_connections()) {
        return false;
    }
    const duration limit = idle_policy_.limit(configured, true);
    if (limit <= duration(0) || idle_time <= limit) {
        return false;
    }
    --idle_endings_left_;
    counters_.idle_transactions_ended.add();
    log_.write(log_level::info, "transaction", "ended_for_waiting_statements",
               {{"group", name_},
                {"instance", instance.listed().id},
                {"idle_ms", to_milliseconds(idle_time)},
                {"limit_ms", to_milliseconds(limit)},
                {"waiting", waiting}});
    return true;
}

void database_group::confirm_commit(proxy_instance& instance, const statement_result& result,
                                    time_point sent_at, duration target_latency,
                                    const unconfirmed_commits::handler& done) {
    const time_point received_at = now();
    const bool of_primary = instance.listed().id == primary_id_;
    if (of_primary) {
        failure_detector_.on_commit_acknowledged(sent_at);
    }
    // Without synchronous replicas, an acknowledgement is final and needs no confirmation.
    if (limits_.sync_replicas == 0) {
        done(true);
        return;
    }
    if (!result.position) {
        // There is no way to tell which replica has received it.
        done(false);
        return;
    }
    const time_point ask_at = std::max(sent_at + receipt_wait(target_latency, received_at), received_at);
    unconfirmed_.add(*result.position, sent_at, received_at, ask_at, done);
    last_trust_use_ = received_at;
    const log_position received = received_position();
    if (result.position->term == term_ && received >= *result.position) {
        static_cast<void>(unconfirmed_.on_received(received, received_at));
    }
    unconfirmed_.resolve(term_, trust_);
    if (unconfirmed_.empty()) {
        return;
    }
    if (!trust_.covers(received_at)) {
        request_evidence();
    }
    if (call_after) {
        call_after(ask_at - received_at, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) {
                check_unconfirmed_commits(now());
            }
        });
    }
}

duration database_group::receipt_wait(duration target_latency, time_point current) const {
    if (current - last_replica_read_ > read_answer_interval) {
        return duration(0);
    }
    const double wait = static_cast<double>(target_latency.count()) * receipt_wait_share;
    return std::min(duration(static_cast<std::int64_t>(wait)), max_receipt_wait);
}

void database_group::on_not_primary(const std::string& id) {
    if (id == primary_id_) {
        log_.write(log_level::info, "group", "primary_refuses_writes", {{"group", name_}, {"instance", id}});
        set_primary("", term_);
    }
    poll_instances();
}

void database_group::on_lagging(const std::string& id, const log_position& min_position) {
    proxy_instance* instance = find(id);
    if (instance != nullptr) {
        instance->lag().on_lagging(min_position, now());
    }
    const std::optional<log_position> stated = former_primary_.leading_log_end(id, term_);
    if (id == primary_id_ && stated && min_position <= *stated) {
        log_.write(log_level::warning, "group", "primary_lacks_its_log",
                   {{"group", name_}, {"instance", id}, {"position", min_position.position}});
        set_primary("", term_);
        poll_instances();
    }
}

void database_group::on_answered(proxy_instance& instance, command_kind kind, time_point sent_at,
                                 const instance_answer& answer) {
    const time_point current = now();
    const std::string& id = instance.listed().id;
    if (kind == command_kind::read || kind == command_kind::write || kind == command_kind::execute) {
        second_read_budget_ = std::min(second_read_budget_ + second_read_ratio, second_read_capacity);
        if (id != primary_id_) {
            last_replica_read_ = current;
        }
    }
    if (id == primary_id_) {
        failure_detector_.on_answer(current);
    }
    if (answer.status) {
        on_status(instance, *answer.status, sent_at);
        return;
    }
    const std::optional<log_position>& position = answer.result.position;
    if (!position) {
        return;
    }
    if (position->term > term_) {
        poll_instances();
        return;
    }
    // Any other answer may be a copy, and its position older than the request.
    if (answer.result.signature.empty()) {
        return;
    }
    if (position->term == term_ && id == primary_id_) {
        read_points_.add(*position, sent_at);
        former_primary_.on_leading(id, instance.listed().started_at_ms, term_, *position);
    } else if (id != primary_id_) {
        on_replica_position(instance, *position);
    }
}

void database_group::on_repeated_answers(const proxy_instance& instance) {
    log_.write(log_level::warning, "group", "instance_repeats_answers",
               {{"group", name_}, {"instance", instance.listed().id}, {"primary", primary_id_}});
    // A copied status row may have been taken for the state at a later time.
    trust_.reset();
    trust_from_record_ = false;
    unfenced_reports_.clear();
    read_points_.clear();
    replica_read_points_.clear();
    replica_logs_.reset();
    settlement_.unsettle(now());
}

void database_group::on_failure(proxy_instance& instance, disconnect_reason reason) {
    const bool is_alive = reason == disconnect_reason::rejected || reason == disconnect_reason::out_of_step ||
                          reason == disconnect_reason::too_large;
    if (instance.listed().id == primary_id_ && !is_alive) {
        failure_detector_.on_failure(reason == disconnect_reason::refused, now());
    }
    // The instance is alive: it rejects the connection because its connection limit is reached.
    if (reason == disconnect_reason::rejected &&
        (instance.listed().id == primary_id_ || (primary_id_.empty() && instance.listed().claims_primary))) {
        failure_detector_.on_primary_alive(now());
    }
    open_polls_.erase(instance.listed().id);
}

bool database_group::poll_status(proxy_instance& instance) {
    const std::string& id = instance.listed().id;
    const time_point current = now();
    const std::map<std::string, status_poll>::iterator open = open_polls_.find(id);
    if (open != open_polls_.end() && current - open->second.sent_at < status_timeout) {
        return true;
    }
    const std::map<std::string, time_point>::iterator last = status_sent_at_.find(id);
    if (last != status_sent_at_.end() && current - last->second < status_spacing) {
        return true;
    }
    pooled_connection* connection = instance.take_for_status_call();
    if (connection == nullptr) {
        return false;
    }
    open_polls_.insert_or_assign(id, status_poll{current, connection->number()});
    status_sent_at_[id] = current;
    counters_.status_calls.add();
    instance_command command;
    command.kind = command_kind::status;
    connection->send(command, [this, id, target = connection](instance_answer& answer) {
        open_polls_.erase(id);
        // The control connection is never marked as used and stays open.
        if (target->is_used()) {
            target->owner().return_to_pool(*target);
        }
        if (answer.result.outcome != statement_outcome::done) {
            log_.write(log_level::debug, "group", "status_refused",
                       {{"instance", id}, {"outcome", to_string(answer.result.outcome)}});
        }
    });
    return true;
}

void database_group::on_status(proxy_instance& instance, const instance_status& status, time_point sent_at) {
    const std::string& id = instance.listed().id;
    if (id != primary_id_) {
        on_replica_log(id, status, sent_at);
    }
    if (!status.is_primary) {
        former_primary_.on_following(id, status);
        if (id != primary_id_) {
            settle_by_replica(instance, status, sent_at);
            on_replica_position(instance, status.log_end);
        }
    }
    if (status.is_primary) {
        if (status.term > term_ || (status.term == term_ && primary_id_.empty())) {
            set_primary(id, status.term);
        }
        if (id == primary_id_ && status.term == term_) {
            read_points_.add(status.log_end, sent_at);
            settlement_.on_primary_position(status.log_end, sent_at);
            former_primary_.on_leading(id, instance.listed().started_at_ms, term_, status.log_end);
            answer_zone_requests();
            place_waiting_tasks();
        }
        return;
    }
    // One that follows after it has led, but states a lower term, has started again without its log.
    const std::optional<time_point> led_at = read_points_.newest_at();
    if (id == primary_id_ && (status.term >= term_ || (led_at && sent_at > *led_at))) {
        set_primary("", term_);
        poll_instances();
        return;
    }
    if (status.term == term_ && !primary_id_.empty()) {
        failure_detector_.on_replica_fence_state(id, !status.accepts_replication(), now());
    }
    if (status.term == term_ && status.accepts_replication() && !primary_id_.empty()) {
        on_replica_evidence(id, sent_at);
    } else if (status.term > term_) {
        // A newer primary exists; poll the instances to find it.
        set_primary("", status.term);
        poll_instances();
    }
}

void database_group::settle_by_replica(const proxy_instance& replica, const instance_status& status,
                                       time_point sent_at) {
    const listed_instance& listed = replica.listed();
    const bool holds_all_of_term =
        primary_id_.empty() && former_primary_.holds_log(listed.id, listed.started_at_ms, term_);
    const bool has_led = former_primary_.leading_log_end(listed.id, term_).has_value();
    // A draining replica will be removed as well, so its position does not count.
    const bool settles =
        (holds_all_of_term && settlement_.on_former_primary(status.log_end, sent_at, false)) ||
        (!listed.draining && settlement_.on_replica_position(status.log_end, has_led));
    if (settles) {
        on_settled_by(listed.id, status.log_end);
    } else if (holds_all_of_term && settlement_.needs_position(sent_at)) {
        check_former_primary(listed.id, status.log_end, sent_at);
    }
}

void database_group::on_settled_by(const std::string& id, log_position position) {
    log_.write(log_level::info, "group", "members_settled",
               {{"group", name_},
                {"instance", id},
                {"position", position.position},
                {"former_primary", settlement_.is_settled_by_former_primary()}});
    if (on_settled) {
        on_settled();
    }
}

void database_group::check_former_primary(const std::string& id, log_position log_end, time_point sent_at) {
    const time_point current = now();
    if (checking_former_primary_ || !read_promoted_term ||
        current - former_primary_checked_at_ < record_read_interval) {
        return;
    }
    checking_former_primary_ = true;
    former_primary_checked_at_ = current;
    // Read after the answer, so the record includes any promotion made before it.
    read_promoted_term([this, id, log_end, sent_at, term = term_,
                        alive = std::weak_ptr<bool>(alive_)](std::optional<term_number> promoted) {
        if (alive.expired()) {
            return;
        }
        checking_former_primary_ = false;
        const proxy_instance* replica = find(id);
        const bool holds_log = replica != nullptr && primary_id_.empty() && term == term_ &&
                               former_primary_.holds_log(id, replica->listed().started_at_ms, term);
        log_.write(log_level::info, "group", "former_primary_checked",
                   {{"group", name_},
                    {"instance", id},
                    {"answered", promoted.has_value()},
                    {"promoted_term", promoted.value_or(0)},
                    {"holds_log", holds_log}});
        if (holds_log && promoted && is_newest(*promoted) &&
            settlement_.on_former_primary(log_end, sent_at, true)) {
            on_settled_by(id, log_end);
        }
    });
}

void database_group::on_replica_evidence(const std::string& id, time_point sent_at) {
    unfenced_reports_.add(id, sent_at);
    const proxy_instance* replica = find(id);
    const bool extended =
        replica != nullptr && is_list_current() && is_witness(*replica) && trust_.extend(sent_at, now());
    if (!extended) {
        const std::optional<time_point> all = unfenced_reports_.all_reported_since(replica_ids());
        if (!all) {
            return;
        }
        trust_from_record_ = false;
        trust_.confirm(*all);
    }
    on_evidence();
}

void database_group::on_evidence() {
    if (!trust_.covers(now())) {
        return;
    }
    evidence_requested_at_.reset();
    unconfirmed_.resolve(term_, trust_);
    answer_zone_requests();
    place_waiting_tasks();
}

void database_group::on_replica_position(const proxy_instance& replica, log_position position) {
    if (position.term != term_ || !is_witness(replica)) {
        return;
    }
    const time_point current = now();
    log_position& received = received_positions_[replica.listed().id];
    received = std::max(received, position);
    const std::optional<time_point> sent_at =
        unconfirmed_.on_received(is_list_current() ? position : received_position(), current);
    if (!sent_at) {
        return;
    }
    // The replica has received a commit after this time, so it was not fenced before.
    if (trust_.extend(*sent_at, current)) {
        on_evidence();
    } else {
        request_evidence();
    }
}

bool database_group::is_witness(const proxy_instance& instance) const {
    // A promotion lists the instances once more after it has fenced them. An instance that registers later is
    // not asked, but by the time it counts here, trust from before the fences has ended.
    return instance.listed().id != primary_id_ && now() - instance.listed_since() >= settings_.trust_window;
}

bool database_group::is_list_current() const {
    if (!members_current_as_of) {
        return true;
    }
    const std::optional<time_point> moment = members_current_as_of();
    return moment && now() - *moment <= settings_.member_list_limit;
}

log_position database_group::received_position() const {
    const bool needs_all = !is_list_current();
    std::optional<log_position> result;
    for (const std::string& id : replica_ids()) {
        const std::map<std::string, log_position>::const_iterator found = received_positions_.find(id);
        const log_position received = found == received_positions_.end() ? log_position{} : found->second;
        if (!result) {
            result = received;
        }
        result = needs_all ? std::min(*result, received) : std::max(*result, received);
    }
    return result.value_or(log_position{});
}

std::optional<time_point> database_group::last_replica_answer() const {
    std::optional<time_point> last;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (entry.first != primary_id_) {
            last = std::max(last.value_or(time_point{}), entry.second->last_answer());
        }
    }
    return last;
}

bool database_group::has_reachable_replica() const {
    const time_point current = now();
    const std::vector<std::string> replicas = replica_ids();
    const std::ptrdiff_t reachable =
        std::count_if(replicas.begin(), replicas.end(), [&](const std::string& id) {
            const proxy_instance& instance = *instances_.at(id);
            const bool silent = instance.last_answer() < witnesses_silent_at_;
            return (instance.is_usable() && !silent) || current - instance.last_answer() < witness_silence;
        });
    return reachable > 0 && (is_list_current() || reachable == std::ssize(replicas));
}

void database_group::check_unconfirmed_commits(time_point current) {
    unconfirmed_.discard_before(current - unconfirmed_limit);
    const std::optional<time_point> ask_at = unconfirmed_.ask_at();
    if (!ask_at || current < *ask_at) {
        return;
    }
    if (current - *ask_at < receipt_timeout) {
        poll_witness();
        return;
    }
    poll_replicas();
    const std::optional<time_point> answered = last_replica_answer();
    const time_point silent_since = current - witness_silence;
    if (!answered || *answered < silent_since) {
        witnesses_silent_at_ = current;
        unconfirmed_.fail_not_received_before(silent_since);
    }
}

std::vector<std::string> database_group::replica_ids() const {
    std::vector<std::string> ids;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (entry.first != primary_id_) {
            ids.push_back(entry.first);
        }
    }
    return ids;
}

void database_group::read_promotion_record() {
    const std::optional<time_point> reported_at = unfenced_reports_.latest();
    if (!reported_at || reading_record_ || !read_promoted_term ||
        now() - last_record_read_ < record_read_interval) {
        return;
    }
    // The record is read after the replica has answered, so it includes any promotion that had taken effect
    // by then.
    reading_record_ = true;
    read_promoted_term([this, reported_at, leader = primary_id_, term = term_,
                        alive = std::weak_ptr<bool>(alive_)](std::optional<term_number> promoted) {
        if (alive.expired()) {
            return;
        }
        reading_record_ = false;
        last_record_read_ = now();
        const bool none_since = promoted && is_newest(*promoted);
        log_.write(log_level::info, "group", "promotion_record_read",
                   {{"group", name_}, {"answered", promoted.has_value()}, {"none_since", none_since}});
        if (none_since && leader == primary_id_ && term == term_) {
            trust_.confirm(*reported_at);
            trust_from_record_ = true;
            on_evidence();
        }
    });
}

bool database_group::is_newest(term_number promoted) const {
    return promoted == term_ || (promoted == 0 && term_ == first_term);
}

void database_group::set_primary(const std::string& id, term_number term) {
    if (id == primary_id_ && term == term_) {
        return;
    }
    log_.write(log_level::info, "group", "primary_changed",
               {{"group", name_}, {"from", primary_id_}, {"to", id}, {"old_term", term_}, {"term", term}});
    if (term != term_ || !id.empty()) {
        trust_.reset();
        unfenced_reports_.clear();
        trust_from_record_ = false;
        read_points_.clear();
        received_positions_.clear();
    }
    if ((term != term_ || !id.empty()) && settlement_.is_settled_without_primary()) {
        settlement_.unsettle(now());
    }
    primary_id_ = id;
    term_ = term;
    unconfirmed_.resolve(term_, trust_);
    failure_detector_.reset(!id.empty(), now());
    proxy_instance* leader = primary();
    if (leader != nullptr) {
        failure_detector_.set_leaving(leader->listed().draining);
        poll_replicas();
    }
}

void database_group::poll_instances() {
    const time_point current = now();
    if (!is_watching() || current - last_poll_ < poll_interval) {
        return;
    }
    bool is_sent = instances_.empty();
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        is_sent = poll_status(*entry.second) || is_sent;
    }
    // While all connections are being opened, the next periodic work tries again.
    last_poll_ = is_sent ? current : last_poll_;
}

bool database_group::is_trusted_since(time_point moment) const {
    return !primary_id_.empty() && trust_.covers(now()) && trust_.until() - trust_.window() >= moment;
}

void database_group::request_evidence() {
    last_evidence_use_ = now();
    if (!ask_zone_for({true, std::nullopt})) {
        request_evidence_from_instances();
    }
}

void database_group::request_evidence_from_instances() {
    const time_point current = now();
    if (!evidence_requested_at_) {
        evidence_requested_at_ = current;
    }
    // Expired trust can be confirmed again only by all replicas.
    if (!trust_.covers(current)) {
        poll_replicas();
        return;
    }
    // renew_evidence() polls the others if it does not answer.
    poll_witness();
}

void database_group::poll_witness() {
    if (is_list_current()) {
        poll_nearest_replica();
    } else {
        poll_replicas();
    }
}

void database_group::poll_nearest_replica() {
    // A replica in the own zone is fastest and cheapest.
    proxy_instance* nearest = nullptr;
    bool any_poll_open = false;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (!is_witness(*entry.second) || !entry.second->is_usable()) {
            continue;
        }
        any_poll_open = any_poll_open || open_polls_.find(entry.first) != open_polls_.end();
        if (nearest == nullptr || entry.second->listed().zone == settings_.zone) {
            nearest = entry.second.get();
        }
    }
    if (nearest != nullptr && !any_poll_open) {
        poll_status(*nearest);
    }
}

void database_group::request_read_point(time_point oldest) {
    proxy_instance* leader = primary();
    if (leader == nullptr || !leader->is_usable()) {
        request_replica_read_point();
        return;
    }
    if (!ask_zone_for({false, std::max(now() - oldest, duration(0))})) {
        request_read_point_from_instances();
    }
}

void database_group::request_read_point_from_instances() {
    proxy_instance* leader = primary();
    if (leader == nullptr || !leader->is_usable()) {
        request_replica_read_point();
        return;
    }
    poll_status(*leader);
    if (!trust_.covers(now())) {
        request_evidence_from_instances();
    }
}

bool database_group::ask_zone_for(const evidence_need& need) {
    if (!ask_zone || now() < zone_pause_until_) {
        return false;
    }
    if (asking_zone_) {
        return now() - zone_asked_at_ < zone_patience;
    }
    zone_asked_at_ = now();
    asking_zone_ = ask_zone(need, [this, need, alive = std::weak_ptr<bool>(alive_)](
                                      const std::optional<evidence_answer>& answer, time_point asked_at) {
        if (!alive.expired()) {
            on_zone_answer(need, answer, asked_at);
        }
    });
    return asking_zone_;
}

void database_group::on_zone_answer(const evidence_need& need, const std::optional<evidence_answer>& answer,
                                    time_point asked_at) {
    asking_zone_ = false;
    if (answer) {
        apply_zone_answer(*answer, asked_at);
    }
    const bool suffices =
        (!need.trust || trust_.covers(now())) &&
        (!need.max_point_age || read_points_.find_oldest(asked_at - *need.max_point_age, trust_.until()));
    if (!suffices) {
        zone_pause_until_ = now() + zone_pause;
        if (need.trust && !unconfirmed_.empty()) {
            // No waiting statement asks again for a commit that waits for its confirmation.
            request_evidence_from_instances();
        }
    }
    place_waiting_tasks();
}

void database_group::apply_zone_answer(const evidence_answer& answer, time_point asked_at) {
    if (answer.term > term_) {
        poll_instances();
        return;
    }
    // Evidence about another primary or term says nothing about the one known here.
    if (answer.term != term_ || answer.primary != primary_id_ || primary_id_.empty()) {
        return;
    }
    if (answer.trust_left > trust_.window()) {
        log_.write(log_level::error, "group", "evidence_not_valid",
                   {{"group", name_},
                    {"daemon", answer.daemon},
                    {"trust_left_ms", to_milliseconds(answer.trust_left)}});
        return;
    }
    // The answer was made after the question, so both times are lower bounds of the true ones.
    trust_.confirm_until(asked_at + answer.trust_left);
    for (const aged_position& point : answer.points) {
        if (point.position.term == term_) {
            read_points_.add(point.position, asked_at - point.age);
        }
    }
    if (!settlement_.is_settled() && !answer.settled_members.empty() && answer.settled_era == era_ &&
        answer.settled_members == member_keys()) {
        settlement_.settle();
        log_.write(log_level::info, "group", "members_settled",
                   {{"group", name_}, {"daemon", answer.daemon}});
        if (on_settled) {
            on_settled();
        }
    }
    on_evidence();
}

bool database_group::satisfies(const evidence_need& need) const {
    const time_point current = now();
    return (!need.trust || trust_.covers(current + min_trust_left)) &&
           (!need.max_point_age ||
            read_points_.find_oldest(current - *need.max_point_age, trust_.until()).has_value());
}

evidence_answer database_group::make_evidence(const evidence_need& need) const {
    const time_point current = now();
    evidence_answer answer;
    answer.primary = primary_id_;
    answer.term = term_;
    answer.trust_left = trust_.until() - current;
    for (const read_points::point& point : read_points_.find_some(
             current - need.max_point_age.value_or(duration(0)), trust_.until(), max_provided_points)) {
        answer.points.push_back({point.position, current - point.sent_at});
    }
    if (is_settled_for_others()) {
        answer.settled_members = member_keys();
        answer.settled_era = era_;
    }
    return answer;
}

void database_group::provide_evidence(const evidence_need& need, std::function<void(evidence_answer)> done) {
    if (primary_id_.empty() || satisfies(need) || zone_requests_.size() >= max_zone_requests) {
        done(make_evidence(need));
        renew_for_zone(need);
        return;
    }
    zone_requests_.push_back({need, now() + zone_answer_limit, std::move(done)});
    if (need.max_point_age) {
        request_read_point_from_instances();
    }
    if (need.trust) {
        request_evidence_from_instances();
    }
}

void database_group::renew_for_zone(const evidence_need& need) {
    const time_point current = now();
    if (need.max_point_age) {
        const std::optional<time_point> newest = read_points_.newest_at();
        if (!newest || *newest < current - *need.max_point_age / 2) {
            request_read_point_from_instances();
        }
    }
    if (need.trust && !trust_.covers(current + trust_.window() / 2)) {
        request_evidence_from_instances();
    }
}

void database_group::answer_zone_requests() {
    if (zone_requests_.empty()) {
        return;
    }
    const time_point current = now();
    std::vector<zone_request> requests;
    requests.swap(zone_requests_);
    for (zone_request& request : requests) {
        if (current >= request.deadline || primary_id_.empty() || satisfies(request.need)) {
            request.done(make_evidence(request.need));
        } else {
            zone_requests_.push_back(std::move(request));
        }
    }
}

void database_group::request_replica_read_point() {
    if (replica_log_poll_.start(now(), status_timeout)) {
        poll_replicas();
    }
}

void database_group::on_replica_log(const std::string& id, const instance_status& status,
                                    time_point sent_at) {
    const std::vector<std::string> replicas = replica_ids();
    const std::optional<replica_log_poll::snapshot> found =
        replica_log_poll_.on_answer(id, status.log_end, sent_at, replicas);
    if (found) {
        replica_logs_ = found;
        polled_replicas_ = replicas;
        use_replica_logs();
    }
}

void database_group::use_replica_logs() {
    // A daemon may have confirmed a commit by an instance that has departed.
    if (!replica_logs_ || replica_logs_->replicas < min_replicas || limits_.sync_replicas == 0 ||
        !settlement_.is_settled() || has_receiving_departed()) {
        replica_logs_.reset();
        return;
    }
    if (!knows_departures()) {
        check_departures();
        return;
    }
    // A replica counts for the confirmation of commits once a daemon has listed it for the trust window. So a
    // list that is older than the poll by no more than that names each one that may hold a confirmed commit
    // of before the poll.
    if (members_listed_at_ + settings_.trust_window < replica_logs_->asked_at) {
        if (list_members) {
            list_members();
        }
        return;
    }
    const replica_log_poll::snapshot logs = *replica_logs_;
    replica_logs_.reset();
    if (polled_replicas_ != replica_ids()) {
        request_replica_read_point();
        return;
    }
    replica_read_points_.add(logs.longest, logs.asked_at);
    place_waiting_tasks();
}

bool database_group::knows_all(const std::vector<std::string>& recorded) const {
    const std::vector<std::string> known = keys_with_departed(true);
    return std::all_of(recorded.begin(), recorded.end(), [&known](const std::string& key) {
        return std::find(known.begin(), known.end(), key) != known.end();
    });
}

void database_group::check_departures() {
    const time_point current = now();
    if (checking_departures_ || !read_recorded_members ||
        current - departures_checked_at_ < record_read_interval) {
        return;
    }
    checking_departures_ = true;
    departures_checked_at_ = current;
    read_recorded_members([this, gap = departed_.gap_at(), alive = std::weak_ptr<bool>(alive_)](
                              const std::optional<std::vector<std::string>>& recorded) {
        if (alive.expired()) {
            return;
        }
        checking_departures_ = false;
        if (recorded) {
            on_departures_checked(gap, *recorded);
        }
    });
}

void database_group::on_departures_checked(time_point gap, const std::vector<std::string>& recorded) {
    const bool is_complete = knows_all(recorded);
    // An unknown instance may have taken the only copy of a commit with it until now.
    if (departed_.on_record_read(gap, is_complete)) {
        settlement_.unsettle(now());
    }
    log_.write(log_level::info, "group", "departures_checked",
               {{"group", name_},
                {"recorded", recorded.size()},
                {"complete", is_complete},
                {"known", departed_.are_known()}});
    if (departed_.are_known()) {
        use_replica_logs();
    }
}

void database_group::on_members_listed(time_point sent_at) {
    members_listed_at_ = std::max(members_listed_at_, sent_at);
    use_replica_logs();
}

void database_group::poll_replicas() {
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (entry.first != primary_id_) {
            poll_status(*entry.second);
        }
    }
}

void database_group::renew_evidence(time_point current) {
    const bool slow_to_renew =
        trust_from_record_ ||
        std::any_of(instances_.begin(), instances_.end(),
                    [](const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry) {
                        return !entry.second->is_usable();
                    });
    if (slow_to_renew && trust_.covers(current) && !trust_.covers(current + trust_.window() / 2) &&
        current - last_evidence_use_ < trust_retention && !ask_zone_for({true, std::nullopt})) {
        poll_replicas();
    }
    if (!evidence_requested_at_ || current - *evidence_requested_at_ <= evidence_timeout) {
        return;
    }
    // A replica has not answered. While trust lasts, an answer from any replica renews it; after that, the
    // promotion record can confirm it.
    evidence_requested_at_ = current;
    poll_replicas();
    if (!trust_.covers(current)) {
        read_promotion_record();
    }
}

void database_group::renew_trust_in_use(time_point current) {
    const bool in_use = current - last_trust_use_ < trust_use_interval;
    if (in_use && trust_.covers(current) && !trust_.covers(current + trust_renewal_lead)) {
        poll_witness();
    }
}

void database_group::probe_primary(time_point current) {
    proxy_instance* leader = primary();
    if (leader == nullptr) {
        poll_instances();
        return;
    }
    const std::optional<time_point> unanswered = leader->oldest_unanswered();
    const bool answer_expected =
        (unanswered && current - *unanswered >= probe_after_unanswered) || failure_detector_.has_failed();
    const duration idle_limit = is_prober_ ? probe_after_idle : seldom_probe_after_idle;
    if (failure_detector_.silence(current) < (answer_expected ? probe_after_unanswered : idle_limit)) {
        return;
    }
    const std::map<std::string, status_poll>::iterator open = open_polls_.find(primary_id_);
    if (open != open_polls_.end() && current - open->second.sent_at >= status_timeout) {
        // The connection alone may have failed; the next probe uses another one.
        const std::uint64_t overdue = open->second.connection;
        open_polls_.erase(open);
        failure_detector_.on_failure(false, current);
        leader->drop_overdue(overdue);
    }
    poll_status(*leader);
}

void database_group::tick() {
    removed_.clear();
    const time_point current = now();
    resolve_departures();
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        entry.second->tick();
    }
    idle_endings_left_ = queue_.size();
    counters_.waiting.add(static_cast<double>(queue_.size()) - counted_waiting_);
    counted_waiting_ = static_cast<double>(queue_.size());
    if (is_watching()) {
        probe_primary(current);
    }
    proxy_instance* leader = primary();
    if (is_watching()) {
        outage_estimator_.update(leader != nullptr && leader->is_usable(), current);
    }
    if (leader != nullptr) {
        const std::optional<time_point> commit = leader->commit_waiting_since();
        if (commit) {
            failure_detector_.on_commit_waiting(*commit, current);
        }
    }
    check_unconfirmed_commits(current);
    if (is_watching()) {
        renew_evidence(current);
        renew_trust_in_use(current);
        poll_for_settlement(current);
        check_lost_primary();
        check_recovery(current);
    }
    answer_zone_requests();
    tick_tasks(current);
    refuse_unservable_tasks(current);
    place_waiting_tasks();
}

void database_group::tick_tasks(time_point current) {
    active_.erase(std::remove_if(active_.begin(), active_.end(),
                                 [](const std::weak_ptr<statement_task>& entry) {
                                     const std::shared_ptr<statement_task> task = entry.lock();
                                     return task == nullptr || task->is_finished();
                                 }),
                  active_.end());
    // Copied, since a task that finishes may start another one.
    const std::vector<std::weak_ptr<statement_task>> tasks = active_;
    for (const std::weak_ptr<statement_task>& entry : tasks) {
        const std::shared_ptr<statement_task> task = entry.lock();
        if (task != nullptr) {
            task->tick(current);
        }
    }
}

bool database_group::is_serving() const {
    if (unservable_since_ && now() - *unservable_since_ > unservable_limit) {
        return false;
    }
    return std::any_of(instances_.begin(), instances_.end(),
                       [](const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry) {
                           return entry.second->is_usable();
                       });
}

void database_group::on_unservable_statement() {
    if (!unservable_since_) {
        unservable_since_ = now();
    }
}

void database_group::poll_for_settlement(time_point current) {
    proxy_instance* leader = primary();
    const duration interval = is_prober_ ? settlement_poll_interval : seldom_settlement_poll_interval;
    if (!settlement_.needs_position(current) || leader == nullptr ||
        current - last_settlement_poll_ < interval) {
        return;
    }
    last_settlement_poll_ = current;
    if (!is_prober_ && ask_zone_for({})) {
        return;
    }
    poll_status(*leader);
    poll_replicas();
}

std::string database_group::member_key(const std::string& id) const {
    const std::map<std::string, std::unique_ptr<proxy_instance>>::const_iterator found = instances_.find(id);
    return found == instances_.end() ? id : key_of(found->second->listed());
}

std::vector<std::string> database_group::member_keys() const {
    std::vector<std::string> keys;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        keys.push_back(member_key(entry.first));
    }
    return keys;
}

std::vector<std::string> database_group::keys_with_departed(bool with_leader) const {
    std::vector<std::string> keys = member_keys();
    for (const listed_instance& entry : departed_.entries()) {
        if (with_leader || !has_led(entry.id)) {
            keys.push_back(key_of(entry));
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::string database_group::primary_to_replace() const {
    if (!primary_id_.empty()) {
        return primary_id_;
    }
    if (settlement_.is_settled_by_former_primary() || settlement_.is_settled_without_primary()) {
        // An entry that claims the lead may be that of a newer primary, which must be asked, or an old one of
        // the former primary.
        return "";
    }
    std::string claimed;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry : instances_) {
        if (entry.second->listed().claims_primary) {
            if (!claimed.empty()) {
                return "";
            }
            claimed = entry.first;
        }
    }
    return claimed;
}

void database_group::check_recovery(time_point current) {
    if (!unservable_since_) {
        return;
    }
    // Without client statements nothing else requests read points, so the recovery would never be detected.
    if (find_read_point(current - recovery_staleness)) {
        unservable_since_.reset();
    } else {
        request_read_point(current - recovery_staleness);
    }
}

std::optional<time_point> database_group::primary_expected_at() const {
    return outage_estimator_.expected_end();
}

bool database_group::may_start_second_read() {
    if (!accepts_attempts_ || second_read_budget_ < 1.0) {
        return false;
    }
    second_read_budget_ -= 1.0;
    counters_.second_reads.add();
    return true;
}

void database_group::log_failed_attempt(const std::string& id, const std::string& instance,
                                        statement_outcome outcome, std::uint32_t attempt) {
    counters_.repeated.add();
    log_.write(log_level::info, "statement", "attempt_failed",
               {{"id", id},
                {"group", name_},
                {"instance", instance},
                {"outcome", to_string(outcome)},
                {"attempt", attempt},
                {"primary", primary_id_},
                {"term", term_}});
}

} // namespace gentianhill
