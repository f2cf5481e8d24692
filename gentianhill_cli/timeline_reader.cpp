#include "gentianhill_cli/timeline_reader.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t page_events = 2000;
/// A daemon that records faster than it is read must not keep the tool busy for ever.
constexpr std::size_t max_pages = 200;

// Incarnation of an export, and the sequence of its last event; the latter is 0 without events.
std::optional<std::pair<std::int64_t, std::uint64_t>> position_of(const nlohmann::json& exported,
                                                                  error& reason) {
    reason = {};
    object_reader reader{exported, "timeline", reason};
    const std::int64_t incarnation = reader.integer("incarnation", 0, INT64_MAX);
    const nlohmann::json& events = reader.array("events");
    if (!reader.ok()) {
        return std::nullopt;
    }
    if (events.empty()) {
        return std::pair{incarnation, std::uint64_t{0}};
    }
    object_reader last{events.back(), "timeline.events", reason};
    const std::optional<event_id> id = event_id::parse(last.text("id"), "timeline.events.id", reason);
    if (!id) {
        return std::nullopt;
    }
    return std::pair{incarnation, id->sequence};
}

} // namespace

daemon_reply timeline_reader::read_pages(const endpoint& daemon, std::vector<nlohmann::json>& exports) {
    progress& place = progress_[daemon];
    daemon_reply reply;
    for (std::size_t page = 0; page < max_pages; ++page) {
        reply = client_.call(
            daemon, {"GET", fmt::format("timeline?since={}&limit={}", place.since, page_events), ""});
        if (!reply.value) {
            return reply;
        }
        const std::optional<std::pair<std::int64_t, std::uint64_t>> position =
            position_of(*reply.value, reply.reason);
        if (!position) {
            reply.value.reset();
            return reply;
        }
        // Sequences start again when the daemon has restarted.
        if (place.incarnation != position->first) {
            const bool restarted = place.since > 0;
            place = progress{position->first, 0};
            if (restarted) {
                continue;
            }
        }
        exports.push_back(*reply.value);
        if (position->second <= place.since) {
            return reply;
        }
        place.since = position->second;
    }
    return reply;
}

std::optional<merged_timeline> timeline_reader::read(exit_code& result) {
    std::vector<nlohmann::json> exports;
    std::vector<daemon_reply> replies;
    for (const endpoint& daemon : context_.daemons) {
        replies.push_back(read_pages(daemon, exports));
    }
    result = client_.report_failures(replies);
    if (exports.empty()) {
        return std::nullopt;
    }
    error reason;
    std::optional<merged_timeline> merged = merged_timeline::merge(exports, reason);
    if (!merged) {
        context_.errors << fmt::format("gentianhill: {}\n  next: tool and daemons may be of different "
                                       "versions\n",
                                       reason.describe());
        result = exit_code::refused;
    }
    return merged;
}

} // namespace gentianhill
