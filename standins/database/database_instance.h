#pragma once

#include "gentianhill/http2/server.h"
#include "standins/common/hold_list.h"
#include "standins/database/connection_gate.h"
#include "standins/database/database_requests.h"
#include "standins/database/database_settings.h"
#include "standins/database/replicator.h"
#include "standins/database/slot_queue.h"
#include "standins/database/sql_store.h"
#include "standins/database/term_rules.h"

#include <functional>
#include <map>
#include <string>

namespace gentianhill::standins {

/// One instance of a database group: the calls of docs/design.md, section 4.1, over HTTP/2.
class database_instance {
public:
    /// The loop must outlive the instance.
    database_instance(event_loop& loop, const database_settings& settings);
    ~database_instance();
    database_instance(const database_instance&) = delete;
    database_instance& operator=(const database_instance&) = delete;

    /// Starts to listen and, if the settings say so, to follow. Errors: bind_failed.
    [[nodiscard]] bool start(error& reason);
    /// Address that the instance listens on.
    [[nodiscard]] endpoint address() const;

private:
    /// One request whose envelope has been read.
    struct call {
        http2::connection_id connection = 0;
        request_envelope envelope;
        http2::server::responder respond;
    };
    using call_handler = void (database_instance::*)(const call&);

    void receive(http2::connection_id connection, const http2::request& request,
                 const http2::server::responder& respond);
    void handle(http2::connection_id connection, const http2::request& request,
                const http2::server::responder& respond);

    void on_status(const call& received);
    void on_execute(const call& received);
    void on_fence(const call& received);
    void on_promote(const call& received);
    void on_follow(const call& received);
    void on_replicate(const call& received);

    void answer(const call& received, nlohmann::json body);
    void refuse(const call& received, const error& reason);
    void answer_status(const call& received);
    void answer_replicate(const call& received, const replicate_request& request);
    [[nodiscard]] nlohmann::json status_fields() const;
    [[nodiscard]] bool may_execute(const execute_request& request, error& reason) const;
    void run_batch(const call& received, const execute_request& request);
    void answer_results(const call& received, const sql_store::results& results);
    [[nodiscard]] bool is_past(const status_request& request) const;
    void log_changed();

    event_loop& loop_;
    database_settings settings_;
    http2::server server_;
    term_rules rules_;
    sql_store store_;
    slot_queue slots_;
    connection_gate gate_;
    replicator replicator_;
    hold_list held_status_;
    hold_list held_replication_;
    std::map<std::string, call_handler, std::less<>> calls_;
    bool leaving_ = false;
};

} // namespace gentianhill::standins
