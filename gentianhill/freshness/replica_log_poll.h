#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Asks all replicas for the end of their logs. A commit is acknowledged once one replica has received it, so
/// the longest of all logs covers every commit acknowledged before the question, whoever leads.
class replica_log_poll {
public:
    /// Point that a complete survey gives.
    struct snapshot {
        log_position longest;
        time_point asked_at;
        std::size_t replicas = 0;
    };

    /// Starts to ask, unless a survey younger than `timeout` is under way; true when the replicas are to be
    /// asked.
    [[nodiscard]] bool start(time_point now, duration timeout);
    /// Takes the answer of one replica to a question sent at `sent_at`; gives a point once each of `replicas`
    /// has answered.
    [[nodiscard]] std::optional<snapshot> on_answer(const std::string& id, log_position received,
                                                    time_point sent_at,
                                                    const std::vector<std::string>& replicas);

private:
    std::map<std::string, log_position> log_ends_;
    std::optional<time_point> asked_at_;
};

} // namespace gentianhill
