#pragma once

#include "event_poll.h"
#include "recorder.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

/// Times of a service, as the users' pages give them for rimworks-kyushu.
struct service_times {
    milliseconds replication{2};
    milliseconds work{11};
    milliseconds promotion{600};
    /// A superseded primary follows this long after it can reach the new one.
    milliseconds follow{1000};
    std::size_t max_connections = 34;
};

/// A replicated database service over the wire protocol of the instances, by its published page. The first
/// instance leads. `SyncReplicas` is 1: a commit is acknowledged once one replica has received it.
class database_service {
public:
    /// The loop and the recorder must outlive the service.
    database_service(event_poll& loop, recorder& record, std::string name, const service_times& times);
    ~database_service();

    /// Adds an instance; returns its port.
    std::uint16_t add(const std::string& id);
    /// Takes a call of the platform; false if the instance is not running.
    bool promote(const std::string& id);
    /// An instance crashes (its connections are reset and its port is closed), or starts again with its log.
    void set_up(const std::string& id, bool up);
    /// An instance receives nothing from a primary, or does so again.
    void set_deaf(const std::string& id, bool deaf);
    /// Cuts the way between an instance and a process, or heals it. Bytes that are held up arrive when it
    /// heals, unless the process has reset the connection.
    void set_cut(const std::string& id, pid_t process, bool is_cut);
    [[nodiscard]] bool leads(const std::string& id) const { return instances_.at(id)->primary; }
    [[nodiscard]] std::uint64_t term_of(const std::string& id) const { return instances_.at(id)->term; }
    /// Texts of the commits in an instance's log: the client statement or commit that made each.
    [[nodiscard]] bool holds(const std::string& id, const std::string& commit) const;

    /// Called when a statement of a client runs: the instance, the number of its connection, the statements
    /// that its open transaction has run so far (empty outside of one), its id and its text.
    std::function<void(const std::string& instance, std::uint64_t connection,
                       const std::vector<std::string>& transaction, const std::string& id,
                       const std::string& text)>
        on_run;
    /// Called when a promotion has taken effect.
    std::function<void(const std::string& id, std::uint64_t term)> on_promoted;

private:
    struct log_entry {
        std::uint64_t term = 0;
        std::string commit;
    };
    struct connection {
        std::uint64_t number = 0;
        std::shared_ptr<channel> socket;
        std::uint16_t peer_port = 0;
        /// What the process does not get while the way to it is cut.
        std::string held;
        bool started = false;
        char state = 'I';
        bool reads_only = false;
        /// Ids of the statements of the open transaction, and whether it wrote.
        std::vector<std::string> transaction;
        bool wrote = false;
        std::map<std::string, std::string> prepared;
        /// Commands wait for those before them.
        std::list<std::string> queued;
        bool busy = false;
    };
    struct waiting_commit {
        std::size_t length = 0;
        std::uint64_t connection = 0;
        std::string id;
    };
    struct instance {
        std::string id;
        std::uint16_t port = 0;
        int listener = -1;
        bool up = true;
        bool deaf = false;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t fenced_term = 0;
        std::uint64_t run = 1;
        std::vector<log_entry> log;
        std::map<std::string, std::size_t> received;
        std::list<waiting_commit> waiting;
        std::map<std::uint64_t, std::shared_ptr<connection>> connections;
        bool follows_soon = false;
    };

    void open_listener(instance& target);
    [[nodiscard]] bool is_cut(const instance& target, const connection& from) const;
    void send(const instance& target, connection& to, const std::string& bytes);
    void on_input(instance& target, const std::shared_ptr<connection>& from);
    void next(instance& target, const std::shared_ptr<connection>& from);
    void execute(instance& target, const std::shared_ptr<connection>& from, const std::string& line);
    void run_client(instance& target, const std::shared_ptr<connection>& from, const std::string& id,
                    const std::string& text);
    void commit(instance& target, const std::shared_ptr<connection>& from, const std::string& id);
    void answer(instance& target, const std::shared_ptr<connection>& from, const std::string& lines);
    void answer_signed(instance& target, const std::shared_ptr<connection>& from, const std::string& row);
    void replicate();
    void replicate_from(instance& leader);
    void acknowledge(instance& leader);
    void take_effect(const std::string& id);
    [[nodiscard]] std::string status_row(const instance& target) const;
    [[nodiscard]] static std::string position_of(const instance& target);

    event_poll& loop_;
    recorder& record_;
    std::string name_;
    service_times times_;
    std::map<std::string, std::unique_ptr<instance>> instances_;
    std::set<std::pair<std::string, pid_t>> cuts_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_signature_ = 0;
    std::uint64_t newest_term_ = 1;
};

} // namespace review
