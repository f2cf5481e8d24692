#pragma once

#include "gentianhill/admission/idle_transaction_policy.h"
#include "gentianhill/admission/statement_queue.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/failover/former_primary.h"
#include "gentianhill/failover/membership_settlement.h"
#include "gentianhill/failover/primary_failure_detector.h"
#include "gentianhill/failover/primary_outage_estimator.h"
#include "gentianhill/freshness/primary_trust.h"
#include "gentianhill/freshness/read_points.h"
#include "gentianhill/freshness/replica_log_poll.h"
#include "gentianhill/freshness/unconfirmed_commits.h"
#include "gentianhill/freshness/unfenced_replica_reports.h"
#include "gentianhill/proxy/departed_instances.h"
#include "gentianhill/proxy/placement.h"
#include "gentianhill/proxy/proxy_instance.h"
#include "gentianhill/proxy/statement_task.h"
#include "gentianhill/relay/relay_messages.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/routing/route_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentianhill {

/// Part of a daemon in running the statements of a group.
enum class group_role : std::uint8_t {
    /// Each daemon runs the statements of its own clients.
    shared,
    /// This daemon runs those of all clients of the zone, and keeps connections for them.
    owner,
    /// Another daemon does. This one opens connections only for statements that reach no owner.
    guest,
};

/// Limits, timeouts and placement costs of one database group.
struct database_group_settings {
    /// Availability zone of this proxy. Instances in it are preferred, since traffic between zones is
    /// expensive.
    std::string zone;
    /// Time for which a primary is trusted after evidence that it leads. A promotion takes effect only after
    /// this time has passed since its fences.
    duration trust_window = std::chrono::milliseconds(600);
    /// Age of the list of instances up to which the word of a single replica counts. Covers two long polls of
    /// the store and one of another daemon. Must be the same on all daemons.
    duration member_list_limit = std::chrono::milliseconds(7000);
    /// Subtracted from the staleness that a route allows, to cover the transit time of the answer.
    duration staleness_margin = std::chrono::milliseconds(100);
    /// Cost added for an instance in another zone, in ms.
    double other_zone_ms = 12.0;
    /// Cost added when a connection must be opened first, in ms.
    double opening_ms = 13.0;
    /// Cost added when the instance may not have reached the required log position, in ms.
    double lagging_ms = 15.0;
    primary_failure_detector_settings failure_detector;
    instance_pool_settings pool;
    /// Idle time after which an owner closes a connection. An instance counts the connections of a process
    /// that has ended for seconds, so idle ones take places that the processes which replace it need.
    duration owner_idle_timeout = std::chrono::seconds(4);
    /// Time after the last statement for which a guest goes on watching the instances of the group.
    duration guest_interest = std::chrono::seconds(2);
};

/// Metrics shared by all groups.
struct proxy_counters {
    explicit proxy_counters(metrics& registry);

    counter& statements;
    counter& refused;
    counter& callers_refused;
    counter& refused_on_arrival;
    counter& refused_in_queue;
    counter& idle_transactions_ended;
    gauge& waiting;
    counter& in_doubt;
    counter& repeated;
    counter& second_reads;
    counter& status_calls;
    counter& connections_opened;
    counter& answers_copied;
    counter& answers_ambiguous;
    counter& answers_out_of_step;
    counter& promotions;
    latency_histogram& latency;
};

/// One database group. Tracks its instances, the current primary and read freshness, and queues the
/// statements that wait for a connection.
class database_group {
public:
    /// `network`, `log` and `counters` must outlive the group.
    database_group(std::string name, instance_network& network, logger& log, proxy_counters& counters,
                   const database_group_settings& settings, std::function<time_point()> clock);
    ~database_group();
    database_group(const database_group&) = delete;
    database_group& operator=(const database_group&) = delete;

    /// Called when the current members together hold every acknowledged commit, so that they may be recorded.
    std::function<void()> on_settled;
    /// Called when an instance joins; from then on a commit may be held by it alone besides the primary.
    std::function<void()> on_member_added;
    /// Reads from the store the newest term of this group for which a promotion was made or may have been
    /// made; nothing when the store does not answer.
    std::function<void(std::function<void(std::optional<term_number>)> done)> read_promoted_term;

    /// Reads the instances from the store, adds those that are new, and then calls `on_members_listed`;
    /// several requests at once cost one call. Without it, no read is served by the logs of the replicas
    /// alone.
    std::function<void()> list_members;
    /// Reads the recorded members (see `member_record`).
    std::function<void(std::function<void(const std::optional<std::vector<std::string>>&)> done)>
        read_recorded_members;
    /// Moment as of which this daemon's list of instances is complete; without it, the list counts as
    /// current.
    std::function<std::optional<time_point>()> members_current_as_of;
    /// Calls an action later; without it, periodic work alone finds what is due.
    std::function<void(duration delay, std::function<void()> action)> call_after;

    /// Asks the daemon of this zone that collects the evidence about this group; false when this daemon has
    /// to ask the instances itself. `done` receives the answer, if any, and when it was asked for.
    std::function<bool(
        const evidence_need& need,
        std::function<void(const std::optional<evidence_answer>& answer, time_point asked_at)> done)>
        ask_zone;

    /// Adds an instance, or applies a change of its entry.
    void update_instance(const listed_instance& listed);
    /// Removes an instance and closes its connections. Promotions go on fencing it until it has ended or no
    /// daemon can believe it any longer.
    void remove_instance(const std::string& id);
    /// Records that changes of the list may have been missed before now, so that an instance may have joined
    /// and departed unseen.
    void on_list_gap() { departed_.on_list_gap(); }
    /// Applies the group's limits. Each instance's connections are divided among `proxies` proxies; 0 keeps
    /// the current share.
    void set_limits(const group_limits& limits, std::size_t proxies);

    /// Sets the part of this daemon; as owner or guest it has at most that many connections to an instance.
    void set_role(group_role role, std::size_t connections);
    [[nodiscard]] group_role role() const { return role_; }
    /// True if this daemon keeps itself informed of the instances.
    [[nodiscard]] bool is_watching() const;

    /// Starts an era of the metadata store. A member may have joined in the time that the restore has removed
    /// and have ended unseen, so the group is settled only by evidence requested at or after `evidence_from`.
    void begin_era(std::uint64_t era, time_point evidence_from);

    /// Called when the group has all instances that a list of the store names, which was requested at
    /// `sent_at`.
    void on_members_listed(time_point sent_at);

    /// Sets whether this daemon is one of those that probe an idle primary often; the others find out by
    /// their statements.
    void set_prober(bool is_prober) { is_prober_ = is_prober; }

    /// Selects an instance for a statement and takes a connection to it.
    [[nodiscard]] placement place(const placement_query& query);
    /// Queues a task; placement is retried whenever a connection, read point or evidence may have become
    /// available. Refuses it if the queue is full.
    void enqueue(const std::shared_ptr<statement_task>& task);
    /// Refuses a task that waits for a connection if, by the measured service times, those that are served
    /// before it leave no time for it.
    void refuse_if_unservable(const std::shared_ptr<statement_task>& task);
    /// Removes a task from the queue, if it waits there.
    void dequeue(statement_task& task);
    /// True if statements wait, which may have to be served before a new one.
    [[nodiscard]] bool has_waiting_tasks() const { return queue_.size() > 0; }
    /// Calls the task's tick() until it is finished.
    void track(const std::shared_ptr<statement_task>& task);
    /// Sends setup steps; `done` receives whether all of them were acknowledged.
    void send_setup(pooled_connection& connection, const std::vector<setup_step>& steps,
                    std::function<void(bool ready)> done);
    /// Tries again to place the waiting statements.
    void place_waiting_tasks();
    /// Time after which the instances are asked as well when the zone has not answered.
    static constexpr duration zone_patience = std::chrono::milliseconds(8);
    /// Records a pause of a client inside a transaction, which ended with its next statement.
    void on_transaction_pause(duration pause) { idle_policy_.on_pause(pause); }
    /// True if a transaction that has been idle for `idle_time` is to be ended because statements wait for a
    /// connection of its instance. `configured` is the operator's limit. No more are ended than wait.
    [[nodiscard]] bool ends_idle_transaction(const pooled_connection& connection, duration configured,
                                             duration idle_time);
    /// Returns a connection to its pool, after a rollback if a transaction is open on it.
    void return_connection(pooled_connection& connection);
    /// Confirms a write or commit, sent at `sent_at`, that an instance acknowledged. `done` is called once
    /// with whether it is confirmed, as soon as a replica is known to have received it while the primary was
    /// trusted; never if that stays unknown. `target_latency` is that of the statement's route.
    void confirm_commit(proxy_instance& instance, const statement_result& result, time_point sent_at,
                        duration target_latency, const unconfirmed_commits::handler& done);
    /// Refuses the waiting statements, and from now on every further attempt, because the daemon stops.
    void refuse_new_attempts();
    /// False once refuse_new_attempts() was called.
    [[nodiscard]] bool accepts_attempts() const { return accepts_attempts_; }
    /// Called when an instance has rejected a write because it is not the primary.
    void on_not_primary(const std::string& id);
    /// Called when an instance has rejected a read because its log lacks `min_position`. A primary that lacks
    /// what it has stated itself has started again without its log.
    void on_lagging(const std::string& id, const log_position& min_position);
    /// Requests the status of all instances to find the primary.
    void poll_instances();
    /// Provides evidence to another daemon of the zone: at once if it suffices, otherwise when it does, and
    /// after a short time whatever is known.
    void provide_evidence(const evidence_need& need, std::function<void(evidence_answer)> done);
    /// Runs periodic work; call it about every 25 ms.
    void tick();

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] time_point now() const { return clock_(); }
    /// True when no acknowledged commit can exist only on a replica that has left.
    [[nodiscard]] bool is_settled() const { return settlement_.is_settled(); }
    /// True if the listed members hold every acknowledged commit, as far as this daemon knows who has
    /// departed.
    [[nodiscard]] bool is_settled_by_members() const {
        return settlement_.is_settled() && !settlement_.is_settled_without_primary() &&
               !has_receiving_departed();
    }
    /// True if the group is also settled for daemons that learn of its members later.
    [[nodiscard]] bool is_settled_for_others() const {
        return is_settled_by_members() && departed_.are_known();
    }
    /// True if the primary is trusted now on evidence that was requested at or after `moment`.
    [[nodiscard]] bool is_trusted_since(time_point moment) const;
    /// Requests evidence that the primary leads.
    void request_evidence();
    /// Position that the longest log of the members reaches while the group is settled.
    [[nodiscard]] log_position settled_position() const { return settlement_.settled_position(); }
    /// Identifies a member by id and start time, since an instance restarted under its id may have lost its
    /// log.
    [[nodiscard]] std::string member_key(const std::string& id) const;
    /// Keys of all members, sorted by id.
    [[nodiscard]] std::vector<std::string> member_keys() const;
    /// The same with the departed instances that may still receive.
    [[nodiscard]] std::vector<std::string> keys_to_record() const { return keys_with_departed(false); }
    /// Departed instances that may live.
    [[nodiscard]] std::vector<std::string> departed_ids() const;
    [[nodiscard]] bool is_departed(const std::string& id) const { return departed_.contains(id); }
    /// True if one of them may receive from the primary of the newest known term.
    [[nodiscard]] bool has_receiving_departed() const;
    /// True if no instance can have departed unseen that another daemon still believes.
    [[nodiscard]] bool knows_departures() const { return departed_.are_known(); }
    /// True if each of the recorded members is listed or known to have departed.
    [[nodiscard]] bool knows_all(const std::vector<std::string>& recorded) const;
    /// Current primary or, when none is known, the only instance whose entry claims that role; empty
    /// otherwise, and when the group is settled by its former primary.
    [[nodiscard]] std::string primary_to_replace() const;
    /// True if the instance leads or has led the newest known term, by its own answers.
    [[nodiscard]] bool has_led(const std::string& id) const {
        return id == primary_id_ || former_primary_.leading_log_end(id, term_).has_value();
    }
    /// Current primary; empty when none is known.
    [[nodiscard]] const std::string& primary_id() const { return primary_id_; }
    [[nodiscard]] term_number term() const { return term_; }
    [[nodiscard]] const primary_failure_detector& failure_detector() const { return failure_detector_; }
    [[nodiscard]] proxy_instance* find(const std::string& id);
    /// The same, or a departed instance that may still receive.
    [[nodiscard]] proxy_instance* find_member(const std::string& id);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<proxy_instance>>& instances() const {
        return instances_;
    }
    /// True when at least one instance is usable and statements have not been refused for some time because
    /// no instance or no sufficiently fresh read point was available.
    [[nodiscard]] bool is_serving() const;
    /// Records that a statement was refused because no instance or fresh read point was available.
    void on_unservable_statement();
    /// True while this daemon has watched the instances for a short time only and lacks a read point. Places
    /// at instances that are full of the connections of ended processes become free in that time.
    [[nodiscard]] bool is_warming_up() const;
    /// Time by which a new primary is expected to serve; nothing while one serves.
    [[nodiscard]] std::optional<time_point> primary_expected_at() const;
    /// Consumes one second read from the budget; false when it is exhausted.
    [[nodiscard]] bool may_start_second_read();
    /// Logs and counts a failed attempt.
    void log_failed_attempt(const std::string& id, const std::string& instance, statement_outcome outcome,
                            std::uint32_t attempt);
    [[nodiscard]] proxy_counters& counters() { return counters_; }
    [[nodiscard]] logger& log() { return log_; }

private:
    /// Instances that can serve a statement.
    [[nodiscard]] static statement_lane lane_of(const placement_query& query);
    [[nodiscard]] queued_statement describe(const statement_task& task) const;
    /// Tries to place a task of the queue.
    [[nodiscard]] offer_result offer_connection(statement_queue::entry_id id);
    /// True if a replica is avoided because of its short log.
    [[nodiscard]] bool has_lagging() const;
    /// Connections that become free for a lane, per second; zero while no instance is usable.
    [[nodiscard]] double service_rate(statement_lane lane) const;
    /// Expected time from sending a statement to its answer.
    [[nodiscard]] duration expected_service(statement_lane lane) const;
    /// The same for a statement that takes longer than most.
    [[nodiscard]] duration slow_service_of(statement_lane lane) const;
    /// Refuses the waiting statements that other ones will keep from being served in time.
    void refuse_unservable_tasks(time_point current);
    /// Refuses a statement that had to leave the full queue.
    void refuse_displaced(statement_queue::entry_id id);
    void log_refusal(const statement_task& task, std::string_view event, std::size_t ahead, duration wait);
    [[nodiscard]] placement place_at_primary(const placement_query& query);
    [[nodiscard]] placement place_read(const placement_query& query);
    [[nodiscard]] proxy_instance* choose(const placement_query& query, const log_position& min_position);
    [[nodiscard]] double cost(const proxy_instance& instance, const log_position& min_position,
                              std::string_view team) const;
    [[nodiscard]] placement take_connection(proxy_instance& instance, const placement_query& query,
                                            std::optional<log_position> min_position);
    void on_answered(proxy_instance& instance, command_kind kind, time_point sent_at,
                     const instance_answer& answer);
    void on_failure(proxy_instance& instance, disconnect_reason reason);
    /// Called when an instance is found to send answers twice.
    void on_repeated_answers(const proxy_instance& instance);
    /// Returns false if the call has to wait for a connection.
    bool poll_status(proxy_instance& instance);
    void on_status(proxy_instance& instance, const instance_status& status, time_point sent_at);
    void set_primary(const std::string& id, term_number term);
    /// Settles the group by the answer of a replica to a status call sent at `sent_at`, if it suffices.
    void settle_by_replica(const proxy_instance& replica, const instance_status& status, time_point sent_at);
    /// Settles the group by its former primary, whose status call was sent at `sent_at`, if the store shows
    /// that no newer term has been promoted.
    void check_former_primary(const std::string& id, log_position log_end, time_point sent_at);
    void on_settled_by(const std::string& id, log_position position);
    /// Unsettles the group because an instance has left or lost its log.
    void unsettle_by(const std::string& id);
    /// Settles the group, whose primary has left, if the store shows that no newer term has been promoted.
    void check_lost_primary();
    /// Called when a replica that follows the primary and is not fenced has answered a status call sent at
    /// `sent_at`.
    void on_replica_evidence(const std::string& id, time_point sent_at);
    void on_evidence();
    /// Called when a replica has stated that it has received the log up to `position`.
    void on_replica_position(const proxy_instance& replica, log_position position);
    /// Time from the sending of a commit for which answers to reads may show that a replica has received it.
    [[nodiscard]] duration receipt_wait(duration target_latency, time_point current) const;
    /// Requests proof that a replica has received the unconfirmed commits, and gives up those for which there
    /// can be none.
    void check_unconfirmed_commits(time_point current);
    /// True if every promotion that may end the trust of this daemon in the primary asks this instance, as
    /// far as the list of instances is current.
    [[nodiscard]] bool is_witness(const proxy_instance& instance) const;
    /// True if the list of instances is current. Otherwise any one of them may have departed, and only the
    /// word of all replicas counts.
    [[nodiscard]] bool is_list_current() const;
    /// Position of the present term that a witness has received, or all replicas if the list is not current.
    [[nodiscard]] log_position received_position() const;
    /// Called when a departed instance is listed again; it may have started again without its log.
    void on_departed_listed(const listed_instance& listed);
    /// Keys of all members and of the departed instances, sorted, with or without one that has led the newest
    /// term.
    [[nodiscard]] std::vector<std::string> keys_with_departed(bool with_leader) const;
    /// Finds out which departed instances have ended. Those, and the ones that no daemon believes any longer,
    /// may have taken the only copy of a commit with them until now, so the group is settled anew.
    void resolve_departures();
    /// Time of the latest answer of any listed replica.
    [[nodiscard]] std::optional<time_point> last_replica_answer() const;
    /// True if a listed replica is believed to answer; it can confirm commits now, or once it is a witness.
    [[nodiscard]] bool has_reachable_replica() const;
    /// Polls the usable replica that is nearest, unless one is being polled.
    void poll_nearest_replica();
    /// Polls as many replicas as it takes to confirm a commit.
    void poll_witness();
    [[nodiscard]] std::vector<std::string> replica_ids() const;
    /// Confirms trust when not all replicas can be polled, from the answer of one replica and the promotion
    /// record in the store.
    void read_promotion_record();
    /// True if the newest known term is the one that the store states as the newest promoted one.
    [[nodiscard]] bool is_newest(term_number promoted) const;
    /// Requests evidence for a use now, from the zone or from the instances.
    void request_evidence_from_instances();
    /// Requests a read point that is not older than `oldest`, from the zone or from the instances.
    void request_read_point(time_point oldest);
    void request_read_point_from_instances();
    /// Asks the zone unless it is being asked; false when the instances have to be asked, also because the
    /// zone has not answered soon.
    [[nodiscard]] bool ask_zone_for(const evidence_need& need);
    void on_zone_answer(const evidence_need& need, const std::optional<evidence_answer>& answer,
                        time_point asked_at);
    void apply_zone_answer(const evidence_answer& answer, time_point asked_at);
    [[nodiscard]] bool satisfies(const evidence_need& need) const;
    [[nodiscard]] evidence_answer make_evidence(const evidence_need& need) const;
    /// Renews evidence that other daemons use before it is too old for them.
    void renew_for_zone(const evidence_need& need);
    void answer_zone_requests();
    /// Requests the log position of every replica. The highest one covers all acknowledged commits, even
    /// without an answer from the primary.
    void request_replica_read_point();
    void on_replica_log(const std::string& id, const instance_status& status, time_point sent_at);
    /// Adds the read point of the last complete poll of the replicas once the members are known to be
    /// current.
    void use_replica_logs();
    /// Reads the recorded members to learn whether one has departed before this daemon listed the others.
    void check_departures();
    void on_departures_checked(time_point gap, const std::vector<std::string>& recorded);
    void poll_replicas();
    void poll_for_settlement(time_point current);
    void check_recovery(time_point current);
    [[nodiscard]] std::optional<log_position> find_read_point(time_point oldest) const;
    /// Places a read that must see every acknowledged commit while no primary serves.
    [[nodiscard]] placement place_latest_read(const placement_query& query);
    void renew_evidence(time_point current);
    /// Polls a replica before trust that is in use expires. Once it has expired, all replicas must be polled.
    void renew_trust_in_use(time_point current);
    /// Time up to which the primary must be known to have been the only one, for a read on it.
    [[nodiscard]] time_point trust_needed_at(const placement_query& query) const;
    /// A read must see every commit that was acknowledged before this time.
    [[nodiscard]] time_point oldest_allowed_time(const placement_query& query) const;
    void probe_primary(time_point current);
    void begin_watching();
    /// Records that a statement is to be placed; a guest then begins to watch the instances.
    void note_statement();
    void tick_tasks(time_point current);
    [[nodiscard]] proxy_instance* primary();

    std::string name_;
    instance_network& network_;
    logger& log_;
    proxy_counters& counters_;
    database_group_settings settings_;
    std::function<time_point()> clock_;
    group_limits limits_;

    std::map<std::string, std::unique_ptr<proxy_instance>> instances_;
    std::vector<std::unique_ptr<proxy_instance>> removed_;
    departed_instances departed_;
    time_point departures_checked_at_;
    std::string primary_id_;
    term_number term_ = 0;
    primary_trust trust_;
    unfenced_replica_reports unfenced_reports_;
    unconfirmed_commits unconfirmed_;
    /// Time of the last answer of a replica to a statement of a client.
    time_point last_replica_read_;
    /// Time at which no replica had answered for so long that unconfirmed commits were given up.
    time_point witnesses_silent_at_;
    /// Highest positions of the present term that the witnesses have received.
    std::map<std::string, log_position> received_positions_;
    /// The promotion record is being read to learn whether the primary that has left was the last one.
    bool checking_lost_primary_ = false;
    time_point lost_primary_checked_at_;
    /// Trust was confirmed by the promotion record because not all replicas answer; it is then renewed before
    /// it expires, since obtaining it again is slow.
    bool trust_from_record_ = false;
    bool reading_record_ = false;
    bool checking_departures_ = false;
    /// The promotion record is being read to learn whether the former primary was the last one.
    bool checking_former_primary_ = false;
    time_point last_record_read_;
    time_point last_evidence_use_;
    /// Time at which a statement last relied on trust.
    time_point last_trust_use_;
    read_points read_points_;
    /// Read points from the logs of all replicas; valid regardless of which instance is primary.
    read_points replica_read_points_;
    replica_log_poll replica_log_poll_;
    /// Complete poll for which the members are not known to be current yet, and the replicas asked.
    std::optional<replica_log_poll::snapshot> replica_logs_;
    std::vector<std::string> polled_replicas_;
    /// Request time of the newest list of the store whose instances the group has.
    time_point members_listed_at_;
    membership_settlement settlement_;
    former_primary former_primary_;
    time_point former_primary_checked_at_;
    /// Era of the metadata store in which the group is settled or to be settled.
    std::uint64_t era_ = 0;
    time_point last_settlement_poll_;
    primary_failure_detector failure_detector_;

    statement_queue queue_;
    std::unordered_map<statement_queue::entry_id, std::shared_ptr<statement_task>> queued_tasks_;
    time_point last_queue_check_;
    idle_transaction_policy idle_policy_;
    /// Idle transactions that may still be ended before the next tick.
    std::size_t idle_endings_left_ = 0;
    /// Waiting statements that this group has added to the metric.
    double counted_waiting_ = 0;
    std::vector<std::weak_ptr<statement_task>> active_;
    bool placing_tasks_ = false;
    bool accepts_attempts_ = true;

    struct status_poll {
        time_point sent_at;
        /// Number of the connection that carries the call.
        std::uint64_t connection = 0;
    };
    /// Unanswered status calls, by instance.
    std::map<std::string, status_poll> open_polls_;
    /// Time of the last status call, by instance.
    std::map<std::string, time_point> status_sent_at_;
    std::optional<time_point> evidence_requested_at_;
    /// True while the zone is being asked; it is not asked before `zone_pause_until_`.
    bool asking_zone_ = false;
    time_point zone_asked_at_;
    time_point zone_pause_until_;
    struct zone_request {
        evidence_need need;
        time_point deadline;
        std::function<void(evidence_answer)> done;
    };
    /// Requests of other daemons that wait for evidence.
    std::vector<zone_request> zone_requests_;
    primary_outage_estimator outage_estimator_;
    /// Time of the first refusal for lack of a usable instance or fresh read point since the group last
    /// proved able to serve.
    std::optional<time_point> unservable_since_;
    time_point last_poll_;
    bool is_prober_ = true;
    group_role role_ = group_role::shared;
    /// Time since which this daemon has watched the instances without interruption.
    time_point watching_since_;
    /// Time at which a statement was last to be placed.
    time_point last_statement_;
    double second_read_budget_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
