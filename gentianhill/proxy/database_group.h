#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/failover/leaderless_gap.h"
#include "gentianhill/failover/membership_settlement.h"
#include "gentianhill/failover/primary_watch.h"
#include "gentianhill/freshness/primary_trust.h"
#include "gentianhill/freshness/read_points.h"
#include "gentianhill/freshness/replica_log_survey.h"
#include "gentianhill/freshness/replica_witnesses.h"
#include "gentianhill/freshness/unconfirmed_commits.h"
#include "gentianhill/proxy/placement.h"
#include "gentianhill/proxy/proxy_instance.h"
#include "gentianhill/proxy/statement_task.h"
#include "gentianhill/routing/instance_catalog.h"
#include "gentianhill/routing/route_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits and weights of one database group.
struct database_group_settings {
    /// Availability zone of this proxy; its instances are preferred, since bytes between zones are dear.
    std::string zone;
    /// Time for which a primary is trusted after evidence; a promotion takes effect later than that after its
    /// fences.
    duration trust_window = std::chrono::milliseconds(600);
    /// Subtracted from the staleness that a route allows, for the way of the answer.
    duration staleness_margin = std::chrono::milliseconds(100);
    /// Added to the expected time at an instance of another zone, in ms.
    double other_zone_ms = 12.0;
    /// Added where no connection is free, for the opening of one, in ms.
    double opening_ms = 13.0;
    /// Added where the instance may not hold the position yet, in ms.
    double lagging_ms = 15.0;
    primary_watch_settings watch;
    instance_pool_settings pool;
};

/// Counters of all groups.
struct proxy_counters {
    explicit proxy_counters(metrics& registry);

    counter& statements;
    counter& refused;
    counter& in_doubt;
    counter& repeated;
    counter& second_reads;
    counter& status_calls;
    counter& connections_opened;
    counter& promotions;
    latency_histogram& latency;
};

/// One database group: its instances, who leads it, how fresh reads are, and the statements that wait for a
/// connection.
class database_group {
public:
    /// `network`, `log` and `counters` must outlive the group.
    database_group(std::string name, instance_network& network, logger& log, proxy_counters& counters,
                   const database_group_settings& settings, std::function<time_point()> clock);
    ~database_group();
    database_group(const database_group&) = delete;
    database_group& operator=(const database_group&) = delete;

    /// The group's present members hold every acknowledged commit between them, so that this may be recorded.
    std::function<void()> on_settled;
    /// An instance has joined; from now on commits may rest on it.
    std::function<void()> on_member_added;
    /// Asks the store for the newest term of this group that was promoted or may be; nothing when the store
    /// does not answer.
    std::function<void(std::function<void(std::optional<term_number>)> done)> read_promoted_term;

    /// Adds an instance, or takes over a changed entry.
    void update_instance(const listed_instance& listed);
    /// The instance is gone.
    void remove_instance(const std::string& id);
    /// Takes over the group's limits; `proxies` share the connections of each instance.
    void set_rule(const group_rule& rule, std::size_t proxies);

    /// Finds a connection for a statement, and takes it into use.
    [[nodiscard]] placement place(const placement_query& query);
    /// Lets a task wait; it is tried again when something changes.
    void enqueue(const std::shared_ptr<statement_task>& task);
    /// Watches over a task until it is finished.
    void track(const std::shared_ptr<statement_task>& task);
    /// Sends setup steps; `done` is told whether all were acknowledged.
    void send_setup(pooled_connection& connection, const std::vector<setup_step>& steps,
                    std::function<void(bool ready)> done);
    /// Gives a connection back, after a rollback when a transaction is open on it.
    void return_connection(pooled_connection& connection);
    /// A write or a commit that changed data, sent at `sent_at`, was acknowledged by an instance. `done` is
    /// told once whether it stands, at once while the primary is trusted, and never when that stays unknown.
    void confirm_commit(proxy_instance& instance, const statement_result& result, time_point sent_at,
                        const unconfirmed_commits::handler& done);
    /// An instance has refused a write.
    void on_not_primary(const std::string& id);
    /// Asks all instances who leads.
    void survey();
    /// Regular work; call it about every 25 ms.
    void tick();

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] time_point now() const { return clock_(); }
    /// True when no commit can rest on a replica that has left.
    [[nodiscard]] bool is_settled() const { return settlement_.is_settled(); }
    /// Names a member together with its start, since a restart under the same id may have lost its log.
    [[nodiscard]] std::string member_key(const std::string& id) const;
    /// Keys of all members, in order.
    [[nodiscard]] std::vector<std::string> member_keys() const;
    /// Current primary, or the one that the list names while none answers; empty when none is known.
    [[nodiscard]] std::string primary_to_replace() const;
    /// Current primary; empty when none is known.
    [[nodiscard]] const std::string& primary_id() const { return primary_id_; }
    [[nodiscard]] term_number term() const { return term_; }
    [[nodiscard]] const primary_watch& watch() const { return watch_; }
    [[nodiscard]] proxy_instance* find(const std::string& id);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<proxy_instance>>& instances() const {
        return instances_;
    }
    /// True when at least one instance can take work, and statements have not been refused for long for want
    /// of a primary or of a proof that reads are fresh.
    [[nodiscard]] bool is_serving() const;
    /// A statement was refused since nothing could serve it.
    void note_hopeless();
    /// Moment by which a new primary is expected to serve; nothing while one serves.
    [[nodiscard]] std::optional<time_point> primary_expected_at() const;
    /// Takes one from the budget of second reads.
    [[nodiscard]] bool may_start_second_read();
    /// Logs an attempt that did not succeed.
    void log_failed_attempt(const std::string& id, const std::string& instance, statement_outcome outcome,
                            std::uint32_t attempt);
    [[nodiscard]] proxy_counters& counters() { return counters_; }
    [[nodiscard]] logger& log() { return log_; }

private:
    [[nodiscard]] placement place_at_primary(const placement_query& query);
    [[nodiscard]] placement place_read(const placement_query& query);
    [[nodiscard]] proxy_instance* choose(const placement_query& query, const log_position& since);
    [[nodiscard]] double cost(const proxy_instance& instance, const log_position& since) const;
    [[nodiscard]] placement take(proxy_instance& instance, const placement_query& query,
                                 std::optional<log_position> since);
    void pump();
    void on_answered(proxy_instance& instance, command_kind kind, time_point sent_at,
                     const instance_answer& answer);
    void on_failure(proxy_instance& instance, disconnect_reason end);
    void ask_status(proxy_instance& instance);
    void on_status(proxy_instance& instance, const instance_status& status, time_point sent_at);
    void adopt(const std::string& id, term_number term);
    /// A replica follows the primary and was not fenced when it answered a question sent at `sent_at`.
    void on_witness(const std::string& id, time_point sent_at);
    void on_evidence();
    [[nodiscard]] std::vector<std::string> replica_ids() const;
    /// Obtains trust again with a replica that cannot be asked: by one witness and the store's record of
    /// promotions.
    void read_promotion_record();
    void want_evidence();
    void want_read_point();
    /// Asks every replica for the end of its log; the longest covers all acknowledged commits without the
    /// primary.
    void want_replica_point();
    void on_replica_log(const std::string& id, const instance_status& status, time_point sent_at);
    void ask_others();
    void settle(time_point current);
    void look_for_proof(time_point current);
    [[nodiscard]] std::optional<log_position> find_point(time_point oldest) const;
    /// Places a read that must see every commit, while no primary serves.
    [[nodiscard]] placement place_latest_read(const placement_query& query);
    void repeat_questions(time_point current);
    /// Moment at which the primary has to have been the only one, for a read there.
    [[nodiscard]] time_point trust_needed_at(const placement_query& query) const;
    /// Moment after which a read must have seen every commit that was acknowledged before it.
    [[nodiscard]] time_point oldest_allowed(const placement_query& query) const;
    void probe_primary(time_point current);
    void tick_tasks(time_point current);
    [[nodiscard]] proxy_instance* primary();

    std::string name_;
    instance_network& network_;
    logger& log_;
    proxy_counters& counters_;
    database_group_settings settings_;
    std::function<time_point()> clock_;
    group_rule rule_;

    std::map<std::string, std::unique_ptr<proxy_instance>> instances_;
    std::vector<std::unique_ptr<proxy_instance>> removed_;
    std::string primary_id_;
    term_number term_ = 0;
    primary_trust trust_;
    replica_witnesses witnesses_;
    unconfirmed_commits unconfirmed_;
    /// Not all replicas answer, so that trust has to be kept up between uses.
    bool trusted_by_record_ = false;
    bool record_asked_ = false;
    time_point last_record_;
    time_point last_evidence_use_;
    read_points points_;
    /// Points from the logs of all replicas; they hold whoever leads.
    read_points replica_points_;
    replica_log_survey survey_of_logs_;
    membership_settlement settlement_;
    time_point last_settle_question_;
    primary_watch watch_;

    std::vector<std::shared_ptr<statement_task>> waiting_;
    std::vector<std::weak_ptr<statement_task>> active_;
    bool pumping_ = false;

    struct open_question {
        time_point asked_at;
        /// Number of the connection on which it was asked.
        std::uint64_t connection = 0;
    };
    /// Status calls under way, by instance.
    std::map<std::string, open_question> asked_;
    std::optional<time_point> evidence_wanted_;
    leaderless_gap gap_;
    /// First refusal for want of anything that could serve, since the last proof to the contrary.
    std::optional<time_point> hopeless_since_;
    time_point last_survey_;
    double second_read_budget_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
