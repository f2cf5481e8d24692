#include "gentianhill/freshness/read_points.h"

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Points closer together than this are merged to limit memory use. A read is at most this much fresher than
/// required.
constexpr duration spacing = 25ms;
/// Longer than the staleness that any route is expected to allow; older points are not needed.
constexpr duration retention = 10s;

} // namespace

void read_points::add(log_position position, time_point sent_at) {
    if (!points_.empty() && sent_at < points_.back().sent_at) {
        return;
    }
    // The last point is always the newest one. It is replaced while it is less than `spacing` after the one
    // before it.
    if (points_.size() >= 2 && points_.back().sent_at - points_[points_.size() - 2].sent_at < spacing) {
        points_.back() = {position, sent_at};
    } else {
        points_.push_back({position, sent_at});
    }
    while (points_.front().sent_at + retention < sent_at) {
        points_.pop_front();
    }
}

std::optional<log_position> read_points::find_oldest(time_point oldest, time_point trusted_until) const {
    // The match is usually among the recent points, so the search starts at the back.
    std::optional<log_position> found;
    for (std::deque<point>::const_reverse_iterator entry = points_.rbegin(); entry != points_.rend();
         ++entry) {
        if (entry->sent_at < oldest) {
            break;
        }
        if (entry->sent_at <= trusted_until) {
            found = entry->position;
        }
    }
    return found;
}

std::vector<read_points::point> read_points::find_some(time_point oldest, time_point trusted_until,
                                                       std::size_t count) const {
    std::vector<point> found;
    for (const point& entry : points_) {
        if (entry.sent_at >= oldest && entry.sent_at <= trusted_until) {
            found.push_back(entry);
        }
    }
    if (count > 0 && found.size() > count) {
        found.erase(found.begin() + 1, found.end() - static_cast<std::ptrdiff_t>(count - 1));
    }
    return found;
}

std::optional<time_point> read_points::newest_at() const {
    return points_.empty() ? std::nullopt : std::optional(points_.back().sent_at);
}

} // namespace gentianhill
