#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Size of a retry budget.
struct retry_budget_settings {
    /// Retries earned by each request.
    double ratio = 0.1;
    /// Retries earned per second without requests, so that a quiet daemon can still retry.
    double min_per_second = 1.0;
    /// Most retries that can be saved up.
    double capacity = 20.0;
};

/// Token bucket that bounds the load added by retries.
class retry_budget {
public:
    /// The bucket starts full.
    retry_budget(const retry_budget_settings& settings, time_point now);

    /// Counts a request from a caller, not a retry.
    void add_request(time_point now);
    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool try_spend(time_point now);
    /// Retries available now.
    [[nodiscard]] double available(time_point now) const;

private:
    retry_budget_settings settings_;
    double tokens_;
    time_point updated_;
};

} // namespace gentianhill
