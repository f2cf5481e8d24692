#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/proxy/instance_link.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill::standins {

/// Times of a modelled service.
struct service_model_settings {
    duration replication = std::chrono::milliseconds(2);
    duration apply = std::chrono::milliseconds(6);
    duration promotion = std::chrono::milliseconds(500);
    /// Time from a promotion's effect until the other replicas follow; they are not fenced meanwhile.
    duration notice = std::chrono::milliseconds(12);
    duration work = std::chrono::milliseconds(2);
    /// Statements that an instance runs at once; the others queue. Zero means any number.
    std::size_t slots = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    std::size_t sync_replicas = 1;
    /// Time after which an old primary that reaches the new one follows it.
    duration follow = std::chrono::milliseconds(1000);
    std::size_t max_connections = 40;
};

/// Commit that a client was told of, with its place in the log, which no promotion changes.
struct model_acknowledgement {
    std::string id;
    time_point at;
    std::size_t index = 0;
};

/// One committed change.
struct model_entry {
    /// Statement, or commit, that wrote it.
    std::string id;
    term_number term = 0;

    friend bool operator==(const model_entry&, const model_entry&) = default;
};

/// Connection as the instance sees it.
struct model_connection {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<std::string, bool>> prepared;
    transaction_state state = transaction_state::idle;
    bool reads_only = false;
    bool wrote = false;
    /// Number of the last transaction that was begun on it, unique over all connections; 0 before the first.
    std::uint64_t transaction = 0;
};

/// Command with its own storage.
struct model_command {
    explicit model_command(const instance_command& command);
    model_command() = default;

    command_kind kind = command_kind::status;
    std::string id;
    std::string name;
    std::string argument;
    bool writes = false;
    std::optional<log_position> since;
    term_number term = 0;
};

/// A replicated database service by the published rules of its instances, with what its users rely on checked
/// as it happens: no commit that a client was told of is lost by a promotion, or comes from a superseded
/// primary.
class service_model {
public:
    using answer_handler = std::function<void(instance_answer)>;

    explicit service_model(const service_model_settings& settings);

    /// Calls an action later; must be set.
    std::function<void(duration delay, std::function<void()> action)> call_after;
    std::function<time_point()> now;
    /// A read has run: its id, and the log that it saw.
    std::function<void(const model_command&, const model_connection&, const std::vector<model_entry>& log)>
        on_read;
    /// Any statement of a client has run on a connection.
    std::function<void(const model_command&, const model_connection&)> on_run;

    /// Adds an instance; the first one leads.
    void add(const std::string& id);
    /// Starts the regular replication.
    void start();
    /// Opens a connection; nothing when the instance is down or full.
    [[nodiscard]] std::shared_ptr<model_connection> open(const std::string& id);
    /// Runs a command; `done` may never be called, as when an answer is lost.
    void handle(const std::shared_ptr<model_connection>& connection, const model_command& command,
                answer_handler done);
    /// Closes a connection; its transaction is rolled back.
    void close(const std::shared_ptr<model_connection>& connection);
    /// Promotes an instance; false when it does not run.
    bool promote(const std::string& id);

    /// A client was told that a statement is done; statements that committed nothing are ignored.
    void confirm(const std::string& id);

    void set_up(const std::string& id, bool up);
    /// Changes the slots and the work of a statement on all instances.
    void set_capacity(std::size_t slots, duration work);
    /// Sets whether an instance fails every statement of a client that it runs.
    void set_failing(const std::string& id, bool fails) { instances_.at(id).fails = fails; }
    /// Starts an instance again under its id; it knows nothing of before.
    void rebirth(const std::string& id);
    /// Cuts or heals the way between two instances.
    void set_cut(const std::string& a, const std::string& b, bool cut);
    [[nodiscard]] bool is_up(const std::string& id) const { return instances_.at(id).up; }
    [[nodiscard]] bool is_primary(const std::string& id) const { return instances_.at(id).primary; }
    [[nodiscard]] term_number fenced_term(const std::string& id) const {
        return instances_.at(id).fenced_term;
    }
    /// The instance that leads the newest term.
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::vector<std::string> ids() const;
    /// Commits that an instance has acknowledged, with the time.
    [[nodiscard]] const std::map<std::string, time_point>& acknowledged() const { return acknowledged_; }
    /// Commits that clients were told of, in that order.
    [[nodiscard]] const std::vector<model_acknowledgement>& acknowledgements() const { return in_order_; }
    /// What was found to be broken; empty while all holds.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Promotions that have taken effect.
    [[nodiscard]] std::size_t promotions() const { return promotions_; }

private:
    struct waiting_commit {
        std::size_t length = 0;
        std::string id;
        std::shared_ptr<model_connection> connection;
        answer_handler done;
    };
    struct instance {
        bool up = true;
        bool primary = false;
        term_number term = 1;
        term_number fenced_term = 0;
        std::uint64_t incarnation = 1;
        std::vector<model_entry> log;
        std::size_t applied = 0;
        std::size_t connections = 0;
        /// Times at which its slots become free.
        std::vector<time_point> slots_free_at;
        bool fails = false;
        std::optional<time_point> sees_newer_since;
        std::deque<waiting_commit> waiting;
        /// How far each replica is known to have received.
        std::map<std::string, std::size_t> received;
    };

    /// Time until a statement that arrives now has run.
    [[nodiscard]] duration take_slot(const std::string& id);
    void replicate();
    void replicate_from(const std::string& id, instance& leader);
    void receive(const std::string& from, const std::string& to, const std::vector<model_entry>& log,
                 term_number term, std::uint64_t incarnation);
    void acknowledge(instance& leader);
    void take_effect(const std::string& id);
    void follow(const std::string& from, const std::string& to, term_number term, std::uint64_t incarnation);
    /// Position of the first `length` entries of a log: the term of the last one, and their number.
    [[nodiscard]] static log_position position_at(const instance& holder, std::size_t length);
    /// Place of an entry in an instance's log.
    [[nodiscard]] static std::optional<std::size_t> find_entry(const instance& holder, const std::string& id);
    void run(const std::shared_ptr<model_connection>& connection, const model_command& command,
             const answer_handler& done);
    [[nodiscard]] instance_answer run_own(instance& target, model_connection& connection,
                                          const model_command& command);
    void run_client(instance& target, const std::shared_ptr<model_connection>& connection,
                    const model_command& command, const answer_handler& done);
    void commit(instance& target, const std::shared_ptr<model_connection>& connection, const std::string& id,
                const answer_handler& done);
    [[nodiscard]] instance_answer make_answer(const instance& target, const model_connection& connection,
                                              statement_outcome outcome) const;
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;

    service_model_settings settings_;
    std::map<std::string, instance> instances_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::string, time_point> acknowledged_;
    std::set<std::string> committed_;
    std::vector<model_acknowledgement> in_order_;
    std::vector<std::string> violations_;
    std::uint64_t last_transaction_ = 0;
    term_number newest_term_ = 1;
    std::size_t promotions_ = 0;
};

} // namespace gentianhill::standins
