#pragma once

#include "gentianhill/core/time.h"

namespace gentianhill {

/// Size of a retry budget.
struct retry_budget_settings {
    /// Retries earned by each request.
    double ratio = 0.1;
    /// Retries granted per second in advance, so that a quiet daemon can still retry; later requests earn
    /// nothing until they have repaid them.
    double min_per_second = 1.0;
    /// Most retries that can be saved up.
    double capacity = 20.0;
};

/// Token bucket that bounds the load added by retries: over any time since the start, the retries are at most
/// the greater of `ratio` times the requests and what was granted in advance.
class retry_budget {
public:
    /// The bucket starts full, as an advance.
    retry_budget(const retry_budget_settings& settings, time_point now);

    /// Counts a request from a caller, not a retry.
    void add_request(time_point now);
    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool try_spend(time_point now);
    /// Retries available now.
    [[nodiscard]] double available(time_point now) const;

private:
    void grant_advance(time_point now);

    retry_budget_settings settings_;
    double tokens_;
    double advance_;
    time_point updated_;
};

} // namespace gentianhill
