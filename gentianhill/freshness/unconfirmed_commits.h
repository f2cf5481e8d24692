#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <functional>
#include <vector>

namespace gentianhill {

class primary_trust;

/// Commits acknowledged by a primary that may already have been superseded.
///
/// When a promotion takes effect, its fences are lifted shortly before the replicas follow the new primary. A
/// replica that still receives from the old primary in this interval lets it acknowledge commits that the new
/// primary lacks.
class unconfirmed_commits {
public:
    /// Receives whether the commit is confirmed. If it is never called, the outcome of the commit is unknown.
    using handler = std::function<void(bool confirmed)>;

    /// Adds a commit of `term` whose acknowledgement arrived at `received_at`.
    void add(term_number term, time_point received_at, handler done);
    /// Confirms the commits of `term` whose acknowledgements `trust` covers, and reports those of older terms
    /// as not confirmed.
    void resolve(term_number term, const primary_trust& trust);
    /// Discards commits acknowledged before `oldest`, whose clients have been answered by then.
    void discard_before(time_point oldest);
    [[nodiscard]] bool empty() const { return commits_.empty(); }

private:
    struct commit {
        term_number term = 0;
        time_point received_at;
        handler done;
    };

    std::vector<commit> commits_;
};

} // namespace gentianhill
