#include "gentianhill/freshness/unconfirmed_commits.h"

#include "gentianhill/freshness/primary_trust.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

void unconfirmed_commits::add(term_number term, time_point received_at, handler done) {
    commits_.push_back({term, received_at, std::move(done)});
}

void unconfirmed_commits::resolve(term_number term, const primary_trust& trust) {
    std::vector<commit> open;
    open.swap(commits_);
    // Handlers may add commits, so the list is emptied before they are called.
    for (commit& entry : open) {
        const bool superseded = entry.term < term;
        const bool confirmed = entry.term == term && trust.covers(entry.received_at);
        if (superseded || confirmed) {
            entry.done(confirmed);
        } else {
            commits_.push_back(std::move(entry));
        }
    }
}

void unconfirmed_commits::discard_before(time_point oldest) {
    commits_.erase(std::remove_if(commits_.begin(), commits_.end(),
                                  [oldest](const commit& entry) { return entry.received_at < oldest; }),
                   commits_.end());
}

} // namespace gentianhill
