#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <functional>
#include <vector>

namespace gentianhill {

class primary_trust;

/// Commits that a primary has acknowledged while it was not known whether it still led.
///
/// As a promotion takes effect, its fences are gone a moment before the replicas follow; a replica that
/// reaches the old primary in that moment lets it acknowledge commits that the new one lacks.
class unconfirmed_commits {
public:
    /// Told whether the commit stands; without an answer its outcome is unknown.
    using handler = std::function<void(bool stands)>;

    /// Adds a commit of a term whose acknowledgement arrived at `received_at`.
    void add(term_number term, time_point received_at, handler done);
    /// Answers the commits of `term` whose acknowledgements are covered by trust in its primary, and those of
    /// older terms.
    void resolve(term_number term, const primary_trust& trust);
    /// Forgets commits that were acknowledged before `oldest`: their clients have their answers by now.
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
