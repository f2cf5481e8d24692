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

/// Times of the failover of one group.
struct failover_settings {
    /// Pause after a promotion that did not succeed.
    duration retry_pause = std::chrono::milliseconds(400);
    /// Step between the starts of daemons that notice the same failure.
    duration stagger = std::chrono::milliseconds(120);
    /// A primary that is out of reach from here but still replicates is replaced after this time.
    duration replicating_limit = std::chrono::milliseconds(1800);
    /// Time for an instance to answer a status or fence call.
    duration answer_limit = std::chrono::milliseconds(350);
    fenced_promotion_settings promotion;
};

/// Calls that the driver makes outside the group.
struct failover_port {
    std::function<void(const std::string& group, const std::string& id, std::uint64_t token,
                       std::function<void(promotion_call_result)> done)>
        promote;
    std::function<void(const std::string& group,
                       std::function<void(const std::optional<std::vector<listed_instance>>&)> done)>
        list_instances;
    /// Members that may hold the only copy of an acknowledged commit; nothing when that is not known.
    std::function<void(const std::string& group,
                       std::function<void(const std::optional<std::vector<std::string>>&)> done)>
        recorded_members;
    std::function<void(duration delay, std::function<void()> action)> call_after;
};

/// Decides when one group's primary is replaced by this daemon, and runs the promotion.
class failover_driver {
public:
    /// `group`, `lease`, `port` and `log` must outlive the driver. `position` spreads the daemons.
    failover_driver(database_group& group, duty_lease& lease, failover_port& port, logger& log,
                    const failover_settings& settings, std::uint32_t position);

    /// Regular work. `may_start` is false while the lease serves another group or the daemon stops.
    void tick(bool may_start);
    /// True while a promotion is under way or about to start; the duty's lease serves one at a time.
    [[nodiscard]] bool is_running() const { return running_ != nullptr || asking_members_; }

private:
    void start(primary_verdict verdict);
    void start_if_settled(primary_verdict verdict);
    [[nodiscard]] bool lists_all(const std::vector<std::string>& recorded) const;
    [[nodiscard]] fenced_promotion_hooks make_hooks();
    /// Question or order to one instance; answers once, with nothing after the limit.
    struct question {
        std::string id;
        command_kind kind = command_kind::status;
        term_number term = 0;
        fenced_promotion_hooks::answer_handler done;
        time_point until;
        /// Number of the connection on which it was sent; 0 before.
        std::uint64_t sent_on = 0;

        void answer(const std::optional<member_answer>& result);
    };

    void ask(const std::string& id, command_kind kind, term_number term,
             const fenced_promotion_hooks::answer_handler& done);
    void attempt(const std::shared_ptr<question>& open);
    void give_up(question& open);
    /// Sends an order and logs whether it was answered; `done` may be empty.
    void tell(const std::string& id, command_kind kind, term_number term,
              const fenced_promotion_hooks::answer_handler& done);
    void on_end(fenced_promotion_outcome end, const std::string& id);

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
    bool asking_members_ = false;
    /// Members that the record in the store vouches for, for the promotion under way.
    std::vector<std::string> trusted_members_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
