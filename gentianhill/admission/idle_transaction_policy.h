#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Limits of an idle transaction policy.
struct idle_transaction_policy_settings {
    /// Weight of the newest pause in the moving averages.
    double weight = 0.05;
    /// Mean deviations above the mean pause that a client may rest; few pauses of any distribution are
    /// longer.
    double deviations = 8.0;
    /// Shortest idle time after which a transaction may be ended for others: a human-scale pause, and several
    /// round trips between zones.
    duration min_limit = std::chrono::milliseconds{400};
};

/// Decides how long a transaction may rest between two statements. It may rest for the configured time while
/// connections are free. While statements wait for a connection that it holds, it may rest for clearly longer
/// than the clients of the group usually do, since it is then taken for abandoned.
class idle_transaction_policy {
public:
    explicit idle_transaction_policy(const idle_transaction_policy_settings& settings = {})
        : settings_(settings) {}

    /// Records a pause that ended with the client's next statement.
    void on_pause(duration pause);
    /// Idle time after which a transaction is ended; zero means never. `configured` is the operator's limit.
    [[nodiscard]] duration limit(duration configured, bool statements_wait) const;

private:
    idle_transaction_policy_settings settings_;
    duration mean_{0};
    duration deviation_{0};
};

} // namespace gentianhill
