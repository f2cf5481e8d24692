#pragma once

#include "gentianhill/failover/duty_lease.h"
#include "gentianhill/failover/fenced_promotion.h"
#include "gentianhill/proxy/database_group.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Delays and timeouts of the failover of one group.
struct failover_settings {
    /// Delay before a promotion is retried.
    duration retry_pause = std::chrono::milliseconds(400);
    /// Start offset between daemons that detect the same failure; multiplied by the daemon's position.
    duration stagger = std::chrono::milliseconds(120);
    /// Further delay of a daemon that cannot reach all replicas, for which others are better placed.
    duration unreachable_pause = std::chrono::milliseconds(600);
    /// A primary that this daemon cannot reach but that still replicates is replaced only after this time.
    duration replicating_limit = std::chrono::milliseconds(1800);
    /// Timeout of a status, fence, unfence or step-down call.
    duration answer_timeout = std::chrono::milliseconds(350);
    fenced_promotion_settings promotion;
};

/// External operations used by the driver.
struct failover_port {
    std::function<void(const std::string& group, const std::string& id, std::uint64_t token,
                       std::function<void(promotion_call_result)> done)>
        promote;
    std::function<void(const std::string& group,
                       std::function<void(const std::optional<std::vector<listed_instance>>&)> done)>
        list_instances;
    /// Reads the recorded members, any of which may hold the only copy of an acknowledged commit; nothing
    /// when the record is missing or cannot be read.
    std::function<void(const std::string& group,
                       std::function<void(const std::optional<std::vector<std::string>>&)> done)>
        recorded_members;
    std::function<void(duration delay, std::function<void()> action)> call_after;
};

/// Decides when this daemon replaces a group's primary, and runs the promotion.
class failover_driver {
public:
    /// `group`, `lease`, `port` and `log` must outlive the driver. `position` staggers the daemons.
    failover_driver(database_group& group, duty_lease& lease, failover_port& port, logger& log,
                    const failover_settings& settings, std::uint32_t position);

    /// Runs periodic work. `may_start` is false while the lease is in use for another group or the daemon
    /// stops.
    void tick(bool may_start);
    /// Changes the number of daemons that act before this one.
    void set_position(std::uint32_t position) { position_ = position; }
    /// True while a promotion is running or about to start; the lease covers one promotion at a time.
    [[nodiscard]] bool is_running() const { return running_ != nullptr || reading_members_; }

private:
    void start(primary_verdict verdict);
    void start_if_settled(primary_verdict verdict);
    [[nodiscard]] bool reaches_replicas() const;
    [[nodiscard]] bool all_present(const std::vector<std::string>& recorded) const;
    /// Adds the departed instances that may still receive; returns the primary to be replaced, which may be
    /// one of them.
    [[nodiscard]] std::string add_departed(std::vector<promotion_member>& members) const;
    [[nodiscard]] fenced_promotion_hooks make_hooks();
    /// Status, fence, unfence or step-down call to one instance. `done` is called once, with nothing on
    /// timeout.
    struct instance_call {
        std::string id;
        command_kind kind = command_kind::status;
        term_number term = 0;
        fenced_promotion_hooks::answer_handler done;
        time_point deadline;
        /// Number of the connection on which it was sent; 0 until it is sent.
        std::uint64_t connection_number = 0;

        void answer(const std::optional<member_answer>& result);
    };

    /// Connection for a command; null while it is being opened.
    [[nodiscard]] static pooled_connection* connection_for(proxy_instance& instance, command_kind kind);
    void call_instance(const std::string& id, command_kind kind, term_number term,
                       const fenced_promotion_hooks::answer_handler& done);
    void send_call(const std::shared_ptr<instance_call>& call);
    void time_out_call(instance_call& call);
    /// Sends a call and logs whether it was answered; `done` may be empty.
    void call_and_log(const std::string& id, command_kind kind, term_number term,
                      const fenced_promotion_hooks::answer_handler& done);
    void on_promotion_end(fenced_promotion_outcome outcome, const std::string& id);

    database_group& group_;
    duty_lease& lease_;
    failover_port& port_;
    logger& log_;
    failover_settings settings_;
    std::uint32_t position_;
    std::shared_ptr<fenced_promotion> running_;
    std::optional<time_point> verdict_since_;
    primary_verdict last_verdict_ = primary_verdict::healthy;
    time_point not_before_;
    bool reading_members_ = false;
    /// Members covered by the record in the store, for the running promotion.
    std::vector<std::string> trusted_members_;
    /// Era of the metadata store of that record.
    std::uint64_t trusted_era_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
