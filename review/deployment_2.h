#pragma once

#include "gentianhill/core/event_loop.h"
#include "platform/line_socket.h"
#include "standins/line_platform/line_instances.h"
#include "standins/replicated_service/service_model.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace gentianhill::review {

/// The platform's metadata store and promotion call, from the users' pages alone: revisions, conditional
/// changes, lists and watches, without any header that the pages do not name.
class page_store {
public:
    /// `first_revision` is the revision that the counter starts with.
    page_store(event_loop& loop, std::uint64_t first_revision);
    ~page_store();
    page_store(const page_store&) = delete;
    page_store& operator=(const page_store&) = delete;

    /// Listens on a free port of the loopback address; returns it, 0 when that fails.
    [[nodiscard]] std::uint16_t listen();
    /// Writes an object as its owner does.
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// Removes an object as its owner, or its lapse, does.
    void erase(const std::string& kind, const std::string& name);

    /// Takes a promotion with its holder and fencing token; returns the status of the answer.
    std::function<int(const std::string& id, const std::string& holder, std::uint64_t token)> on_promote;

private:
    struct waiting_watch {
        std::uint64_t number = 0;
        evhttp_request* request = nullptr;
        std::string kind;
        std::uint64_t revision = 0;
    };

    void handle(evhttp_request* request);
    void change(evhttp_request* request, const std::string& kind, const std::string& name);
    void remove(evhttp_request* request, const std::string& kind, const std::string& name);
    void list(evhttp_request* request, const std::string& kind) const;
    void watch(evhttp_request* request, const std::string& kind, std::uint64_t revision,
               std::int64_t wait_ms);
    [[nodiscard]] bool answer_events(evhttp_request* request, const std::string& kind, std::uint64_t revision,
                                     bool even_none) const;
    void wake();

    event_loop& loop_;
    evhttp* server_;
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects_;
    std::vector<std::pair<std::string, nlohmann::json>> history_;
    std::uint64_t revision_;
    std::vector<waiting_watch> watches_;
    std::uint64_t last_watch_ = 0;
};

/// A machine of the system, with an address of its own.
struct machine {
    std::string name;
    std::string zone;
    std::string address;
    /// 0 while no process runs.
    pid_t pid = 0;
};

/// A client with one connection and at most one statement under way.
struct page_client {
    std::size_t machine = 0;
    std::string database;
    std::unique_ptr<platform::line_socket> socket;
    bool ready = false;
    std::string waiting;
    bool writes = false;
    time_point sent_at;
    std::string outcome;
};

/// What became of the statements that were sent in a span of time.
struct span_counts {
    std::size_t sent = 0;
    std::size_t served = 0;
};

/// A small deployment: one database of three instances, three daemons as the deploy file starts them, and
/// clients that write and read.
class small_deployment {
public:
    explicit small_deployment(std::uint64_t first_revision = 1);
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    /// Starts the store, the instances, the daemons and the clients; false when that fails.
    [[nodiscard]] bool start();
    /// Plays for a time.
    void play(duration length);
    void kill_daemons();
    void start_daemons();
    /// Adds an empty replica.
    void add_instance(const std::string& id);
    /// The instance announces that it leaves, and ends after a time. Statements that reach it later than
    /// `bound` after the announcement are counted.
    void drain_instance(const std::string& id, duration bound, duration end);
    /// Statements of clients that have run at an instance that had announced its leaving too long before.
    [[nodiscard]] std::size_t late_runs() const { return late_runs_; }
    /// The instance ends and starts again under its id after a time. It then holds and knows nothing of
    /// before, and writes its entry as it starts.
    void restart_empty(const std::string& id, duration down);
    /// Reads that ran on a log without a commit that was acknowledged to a client before their first byte, on
    /// the route of type `primary`, and that were answered with success.
    [[nodiscard]] std::size_t stale_reads() const { return stale_answered_; }
    /// One of so many statements writes.
    void set_writes_one_in(std::uint64_t count) { writes_one_in_ = count; }
    [[nodiscard]] std::string leader() const { return model_.leader(); }
    /// Statements that clients send from now on are counted here.
    void count_into(span_counts& counts) { counts_ = &counts; }
    /// Writes a line to the record.
    void note(std::string_view text);
    [[nodiscard]] const std::vector<std::string>& violations() const { return model_.violations(); }

private:
    void launch(machine& started);
    void check_read(const std::string& id, const std::vector<standins::model_entry>& log);
    void list(const std::string& id);
    void write_configuration();
    void step();
    void speak(page_client& client);
    void open(page_client& client);
    void on_line(page_client& client, std::string_view line);
    void finish(page_client& client);
    [[nodiscard]] std::string settings_of(const machine& described) const;

    event_loop loop_;
    platform::output_flusher flusher_;
    standins::service_model model_;
    standins::line_instances instances_;
    page_store store_;
    std::uint16_t store_port_ = 0;
    std::uint16_t client_port_ = 0;
    std::uint16_t admin_port_ = 0;
    std::uint16_t peer_port_ = 0;
    std::string folder_;
    std::map<std::string, std::uint16_t> instance_ports_;
    std::map<std::string, bool> listed_primary_;
    std::map<std::string, bool> is_lost_;
    std::vector<machine> machines_;
    std::vector<std::unique_ptr<page_client>> clients_;
    std::map<std::string, span_counts*> open_counts_;
    span_counts* counts_ = nullptr;
    std::map<std::string, std::uint64_t> born_;
    /// Times after which no statement may reach instances that leave.
    std::map<std::string, time_point> drained_at_;
    std::size_t late_runs_ = 0;
    /// Reads under way on the route of type `primary`, with the time at which they were sent.
    std::map<std::string, time_point> latest_reads_;
    std::map<std::string, std::string> stale_;
    std::size_t stale_answered_ = 0;
    std::uint64_t writes_one_in_ = 5;
    std::uint64_t last_id_ = 0;
    std::size_t turn_ = 0;
    time_point start_;
    std::ofstream record_;
};

} // namespace gentianhill::review
