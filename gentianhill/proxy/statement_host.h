#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/ownership/hand_on_messages.h"
#include "gentianhill/proxy/client_session.h"
#include "gentianhill/relay/relay_port.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Limits of the statements that a daemon runs for others.
struct statement_host_settings {
    /// Statements and open transactions held at once. Statements beyond wait longer than any of them may: a
    /// group's instances run some tens at once.
    std::size_t max_sessions = 2048;
    /// Bytes of the statements and sessions held at once; a tenth of the memory of the smallest hosts.
    std::size_t max_bytes = 16U << 20U;
    /// A transaction is rolled back when nothing was heard for this time of the daemon that opened it, which
    /// states each second that it is alive.
    duration silence_limit = std::chrono::milliseconds(3000);
};

/// Runs statements that other daemons of the zone hand on to this one, as the owner of their group. Each runs
/// in a session of its own, which lasts as long as its transaction.
class statement_host {
public:
    /// All arguments but the settings must outlive the host; `name` is that of this daemon, and `incarnation`
    /// that of its process.
    statement_host(const statement_host_settings& settings, const session_environment& environment,
                   logger& log, proxy_counters& counters, metrics& registry, const std::string& name,
                   const std::string& incarnation);
    ~statement_host();
    statement_host(const statement_host&) = delete;
    statement_host& operator=(const statement_host&) = delete;

    /// Called when a statement of a group arrives; may be empty.
    std::function<void(const std::string& group)> on_statement;
    /// Called with the name of each daemon that sends a message; may be empty.
    std::function<void(const std::string& daemon)> on_heard;

    /// Answers a message, at once or when its statement has run.
    void on_message(std::string_view message, const hand_on_handler& respond);
    /// Applies the timeouts and idle limits; call it about every 25 ms.
    void tick();
    /// Refuses new statements and transactions from now on; those that are open go on.
    void refuse_new() { refuses_new_ = true; }
    /// Rolls back the open transactions between two of their statements.
    void end_transactions();
    /// Answers the running statements without waiting for their results.
    void give_up(std::string_view detail);
    /// True while a statement or transaction is open.
    [[nodiscard]] bool has_open_work() const { return !sessions_.empty(); }

private:
    struct hosted_session;

    void run(hand_on_request request, std::size_t bytes, const hand_on_handler& respond);
    void resume(const hand_on_request& request, std::size_t bytes, const hand_on_handler& respond);
    void end(const hand_on_request& request);
    void on_result(std::uint64_t handle, const statement_result& result);
    void refuse(const hand_on_request& request, hand_on_refusal refusal, const hand_on_handler& respond);
    /// Why a statement must not run here; none if it may.
    [[nodiscard]] hand_on_refusal check(const hand_on_request& request, std::size_t bytes);
    /// True if the sender's configuration is not older than what was acted on for its route.
    [[nodiscard]] bool is_current(const hand_on_request& request);
    /// Transaction that a message of its sender names; the end of the sessions if there is none.
    [[nodiscard]] std::map<std::uint64_t, std::unique_ptr<hosted_session>>::iterator
    find(const hand_on_request& request);
    /// Answer of this process without a result.
    [[nodiscard]] hand_on_answer make_answer(hand_on_refusal refusal) const;
    void remove(std::uint64_t handle);
    /// Copied, since a session that answers may be removed.
    [[nodiscard]] std::vector<std::uint64_t> open_handles() const;

    statement_host_settings settings_;
    const session_environment& environment_;
    logger& log_;
    proxy_counters& counters_;
    std::string name_;
    std::string incarnation_;
    std::map<std::uint64_t, std::unique_ptr<hosted_session>> sessions_;
    /// Removed sessions, destroyed by the next tick, when none of their callbacks is on the stack.
    std::vector<std::unique_ptr<hosted_session>> ended_;
    /// Last message of each incarnation of a daemon that has a transaction open here.
    std::map<std::string, time_point> heard_at_;
    /// Newest route that was acted on for a database, while the configuration here is older.
    struct acted_route {
        std::uint64_t version = 0;
        std::shared_ptr<const route> selected_route;
    };
    std::map<std::string, acted_route> acted_routes_;
    std::uint64_t last_handle_ = 0;
    std::size_t bytes_ = 0;
    bool refuses_new_ = false;
    counter& run_for_others_;
    std::array<counter*, 7> refused_{};
    gauge& open_;
};

} // namespace gentianhill
