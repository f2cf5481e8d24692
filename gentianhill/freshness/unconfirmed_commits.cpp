#include "gentianhill/freshness/unconfirmed_commits.h"

#include "gentianhill/freshness/primary_trust.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

void unconfirmed_commits::add(log_position position, time_point sent_at, time_point acknowledged_at,
                              time_point ask_at, handler done) {
    commits_.push_back({position, sent_at, acknowledged_at, ask_at, std::nullopt, std::move(done)});
}

std::optional<time_point> unconfirmed_commits::on_received(log_position position, time_point moment) {
    std::optional<time_point> newest;
    for (commit& entry : commits_) {
        // A log of another term may be longer without this commit.
        if (entry.received_at || entry.position.term != position.term || position < entry.position) {
            continue;
        }
        entry.received_at = moment;
        newest = std::max(newest.value_or(entry.sent_at), entry.sent_at);
    }
    return newest;
}

void unconfirmed_commits::resolve(term_number term, const primary_trust& trust) {
    std::vector<commit> open;
    open.swap(commits_);
    // Handlers may add commits, so the list is emptied before they are called.
    for (commit& entry : open) {
        const bool superseded = entry.position.term < term;
        const bool confirmed =
            entry.position.term == term && entry.received_at && trust.covers(*entry.received_at);
        if (superseded || confirmed) {
            entry.done(confirmed);
        } else {
            commits_.push_back(std::move(entry));
        }
    }
}

void unconfirmed_commits::fail_not_received_before(time_point oldest) {
    std::vector<commit> open;
    open.swap(commits_);
    for (commit& entry : open) {
        if (!entry.received_at && entry.acknowledged_at < oldest) {
            entry.done(false);
        } else {
            commits_.push_back(std::move(entry));
        }
    }
}

void unconfirmed_commits::discard_before(time_point oldest) {
    commits_.erase(std::remove_if(commits_.begin(), commits_.end(),
                                  [oldest](const commit& entry) { return entry.acknowledged_at < oldest; }),
                   commits_.end());
}

std::optional<time_point> unconfirmed_commits::ask_at() const {
    std::optional<time_point> earliest;
    for (const commit& entry : commits_) {
        if (!entry.received_at && (!earliest || entry.ask_at < *earliest)) {
            earliest = entry.ask_at;
        }
    }
    return earliest;
}

} // namespace gentianhill
