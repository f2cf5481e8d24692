#pragma once

#include "gentianhill/http2/server.h"
#include "standins/common/hold_list.h"
#include "standins/database/answer_faults.h"
#include "standins/database/connection_gate.h"
#include "standins/database/database_call.h"
#include "standins/database/database_faults.h"
#include "standins/database/database_requests.h"
#include "standins/database/database_settings.h"
#include "standins/database/replicator.h"
#include "standins/database/sql_store.h"
#include "standins/database/statement_service.h"
#include "standins/database/term_rules.h"

#include <functional>
#include <map>
#include <memory>
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
    using call_handler = void (database_instance::*)(const database_call&);

    void receive(http2::connection_id connection, const http2::request& request,
                 const http2::server::responder& respond);
    void handle(http2::connection_id connection, const http2::request& request,
                const http2::server::responder& respond);

    void connect_statements();

    void on_status(const database_call& received);
    void on_execute(const database_call& received);
    void on_begin(const database_call& received);
    void on_commit(const database_call& received);
    void on_roll_back(const database_call& received);
    void on_fence(const database_call& received);
    void on_promote(const database_call& received);
    void on_follow(const database_call& received);
    void on_replicate(const database_call& received);

    void refuse_connection(http2::connection_id connection, const http2::request& request,
                           const http2::server::responder& respond);
    void on_control(const http2::request& request, const http2::server::responder& respond);
    void apply_faults(bool was_leaving);
    [[nodiscard]] nlohmann::json counters() const;
    void count_new_work();

    [[nodiscard]] http2::response answer_to(const database_call& received, nlohmann::json body) const;
    [[nodiscard]] http2::response refusal_of(const database_call& received, const error& reason) const;
    void answer(const database_call& received, nlohmann::json body);
    void refuse(const database_call& received, const error& reason);
    void answer_status(const database_call& received);
    void answer_replicate(const database_call& received, const replicate_request& request);
    [[nodiscard]] nlohmann::json status_fields() const;
    [[nodiscard]] bool is_past(const status_request& request) const;
    void log_changed();

    event_loop& loop_;
    database_settings settings_;
    http2::server server_;
    term_rules rules_;
    sql_store store_;
    database_faults faults_;
    answer_faults statement_answers_;
    statement_service statements_;
    connection_gate gate_;
    replicator replicator_;
    hold_list held_status_;
    hold_list held_replication_;
    std::map<std::string, call_handler, std::less<>> calls_;
    endpoint followed_address_;
    time_point leaving_since_;
    std::uint64_t dropped_requests_ = 0;
    std::uint64_t new_work_after_leaving_ = 0;
    /// Longest time between the notice of leaving and the arrival of new work.
    duration latest_new_work_{0};
    /// Expires with the instance; pending timers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill::standins
