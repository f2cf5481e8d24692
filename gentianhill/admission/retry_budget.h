#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Limits of a retry budget.
struct retry_budget_settings {
    /// Retries earned per request.
    double ratio = 0.1;
    /// Retries granted per second in advance, so that a daemon with little traffic can still retry. Later
    /// requests earn nothing until they have paid back what was granted in advance.
    double min_per_second = 1.0;
    /// Maximum number of accumulated retries.
    double capacity = 20.0;
};

/// Token bucket that bounds the load added by retries: at any time, the number of retries since the start is
/// at most the greater of `ratio` times the number of requests and the number of retries granted in advance.
class retry_budget {
public:
    /// The bucket starts full; these tokens count as granted in advance.
    retry_budget(const retry_budget_settings& settings, time_point now);

    /// Counts an original request of a caller; must not be called for retries.
    void add_request(time_point now);
    /// Takes one token for a retry; returns false when the budget is exhausted.
    [[nodiscard]] bool try_spend(time_point now);
    /// Returns the number of retries available now.
    [[nodiscard]] double available(time_point now) const;

private:
    /// Adds the tokens granted since the last refill.
    void refill(time_point now);

    retry_budget_settings settings_;
    double tokens_;
    /// Tokens granted in advance that no request has earned yet.
    double unearned_tokens_;
    time_point refilled_at_;
};

} // namespace gentianhill
