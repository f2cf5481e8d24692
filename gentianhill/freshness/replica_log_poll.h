#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Collects the log ends of all replicas. A commit is acknowledged once one replica has received it, so the
/// longest log covers every commit acknowledged before the poll started, whichever instance is the primary.
class replica_log_poll {
public:
    /// Result of a complete poll.
    struct snapshot {
        log_position longest;
        time_point asked_at;
        std::size_t replicas = 0;
    };

    /// Starts a poll unless one started less than `timeout` ago is still in progress. Returns true if the
    /// caller has to query the replicas.
    [[nodiscard]] bool start(time_point now, duration timeout);
    /// Records the log end that a replica reported in answer to a request sent at `sent_at`. Returns a
    /// snapshot once each of `replicas` has answered.
    [[nodiscard]] std::optional<snapshot> on_answer(const std::string& id, log_position received,
                                                    time_point sent_at,
                                                    const std::vector<std::string>& replicas);

private:
    std::map<std::string, log_position> log_ends_;
    std::optional<time_point> asked_at_;
};

} // namespace gentianhill
