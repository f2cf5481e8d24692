#include "gentianhill/core/merged_timeline.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace gentianhill {

namespace {

using process_key = std::pair<std::string, std::int64_t>;
using event_map = std::map<event_id, timeline_event>;

constexpr std::int64_t max_number = INT64_MAX;

/// What the exports say about one daemon process.
struct process_range {
    /// Smallest sequence asked for, less one.
    std::uint64_t since = UINT64_MAX;
    /// Sequence after the last one that the exports reach.
    std::uint64_t reached = 0;
};

bool read_export(const nlohmann::json& value, const std::string& path, event_map& events,
                 std::map<process_key, process_range>& ranges, error& reason) {
    object_reader reader{value, path, reason};
    const std::string daemon = reader.text("daemon");
    const std::int64_t incarnation = reader.integer("incarnation", 0, max_number);
    const std::uint64_t since = static_cast<std::uint64_t>(reader.integer("since", 0, max_number));
    const std::int64_t next = reader.integer("next_sequence", 1, max_number);
    const nlohmann::json& listed = reader.array("events");
    if (!reader.finish()) {
        return false;
    }
    process_range& range = ranges[process_key{daemon, incarnation}];
    range.since = std::min(range.since, since);
    std::size_t index = 0;
    for (const nlohmann::json& item : listed) {
        std::optional<timeline_event> event =
            timeline_event::from_json(item, fmt::format("{}.events[{}]", path, index++), reason);
        if (!event) {
            return false;
        }
        range.reached = std::max(range.reached, event->id.sequence);
        events.emplace(event->id, std::move(*event));
    }
    // An empty export that is not at the end has lost everything up to its end.
    if (listed.empty()) {
        range.reached = std::max(range.reached, static_cast<std::uint64_t>(next - 1));
    }
    return true;
}

std::vector<timeline_gap> find_gaps(const event_map& events,
                                    const std::map<process_key, process_range>& ranges) {
    std::vector<timeline_gap> gaps;
    for (const std::pair<const process_key, process_range>& entry : ranges) {
        const std::string& daemon = entry.first.first;
        const std::int64_t incarnation = entry.first.second;
        std::uint64_t expected = entry.second.since + 1;
        event_map::const_iterator event = events.lower_bound(event_id{daemon, incarnation, expected});
        for (; event != events.end() && event->first.daemon == daemon &&
               event->first.incarnation == incarnation;
             ++event) {
            if (event->first.sequence > expected) {
                gaps.push_back(timeline_gap{daemon, incarnation, expected, event->first.sequence - 1});
            }
            expected = event->first.sequence + 1;
        }
        if (expected <= entry.second.reached) {
            gaps.push_back(timeline_gap{daemon, incarnation, expected, entry.second.reached});
        }
    }
    return gaps;
}

/// Orders events by time among those whose predecessors have been placed.
class causal_order {
public:
    explicit causal_order(const event_map& events) : events_(events) {
        const event_id* previous = nullptr;
        for (const std::pair<const event_id, timeline_event>& entry : events_) {
            std::size_t& waiting = waiting_[entry.first];
            // An event follows its predecessor in the same process.
            if (previous != nullptr && previous->daemon == entry.first.daemon &&
                previous->incarnation == entry.first.incarnation) {
                successors_[*previous].push_back(entry.first);
                ++waiting;
            }
            // An event follows its cause, where that is known.
            if (entry.second.cause && events_.count(*entry.second.cause) > 0) {
                successors_[*entry.second.cause].push_back(entry.first);
                ++waiting;
            }
            if (waiting == 0) {
                ready_.emplace(entry.second.at, entry.first);
            }
            unplaced_.emplace(entry.second.at, entry.first);
            previous = &entry.first;
        }
    }

    [[nodiscard]] std::vector<timeline_event> place_all() {
        std::vector<timeline_event> result;
        result.reserve(events_.size());
        while (!unplaced_.empty()) {
            // Causes that form a cycle come from a faulty export; the earliest event breaks it.
            const timed_id next = ready_.empty() ? *unplaced_.begin() : *ready_.begin();
            ready_.erase(next);
            unplaced_.erase(next);
            result.push_back(events_.at(next.second));
            release(next.second);
        }
        return result;
    }

private:
    using timed_id = std::pair<hybrid_timestamp, event_id>;

    void release(const event_id& placed) {
        const std::map<event_id, std::vector<event_id>>::const_iterator found = successors_.find(placed);
        if (found == successors_.end()) {
            return;
        }
        for (const event_id& next : found->second) {
            const timed_id candidate{events_.at(next).at, next};
            if (--waiting_[next] == 0 && unplaced_.count(candidate) > 0) {
                ready_.insert(candidate);
            }
        }
    }

    const event_map& events_;
    std::map<event_id, std::vector<event_id>> successors_;
    std::map<event_id, std::size_t> waiting_;
    std::set<timed_id> ready_;
    std::set<timed_id> unplaced_;
};

} // namespace

std::optional<merged_timeline> merged_timeline::merge(const std::vector<nlohmann::json>& exports,
                                                      error& reason) {
    reason = {};
    event_map events;
    std::map<process_key, process_range> ranges;
    for (std::size_t index = 0; index < exports.size(); ++index) {
        if (!read_export(exports[index], fmt::format("exports[{}]", index), events, ranges, reason)) {
            return std::nullopt;
        }
    }
    merged_timeline result;
    result.gaps = find_gaps(events, ranges);
    result.events = causal_order{events}.place_all();
    return result;
}

nlohmann::json merged_timeline::to_json() const {
    nlohmann::json event_list = nlohmann::json::array();
    for (const timeline_event& event : events) {
        event_list.push_back(event.to_json());
    }
    nlohmann::json gap_list = nlohmann::json::array();
    for (const timeline_gap& gap : gaps) {
        gap_list.push_back(nlohmann::json{{"daemon", gap.daemon},
                                          {"incarnation", gap.incarnation},
                                          {"first", gap.first},
                                          {"last", gap.last}});
    }
    return nlohmann::json{{"events", std::move(event_list)}, {"gaps", std::move(gap_list)}};
}

} // namespace gentianhill
