#include "gentianhill/operators/timeline_report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

// Layout of the drawing, in pixels.
constexpr double left_margin = 150;
constexpr double right_margin = 60;
constexpr double top_margin = 40;
constexpr double lane_height = 56;
constexpr double marker_radius = 6;
/// Distance of neighbouring events. Quiet time is shortened and bursts are spread, so that both stay
/// readable.
constexpr double min_step = 16;
constexpr double max_step = 90;
constexpr double pixels_per_ms = 0.1;
constexpr double label_distance = 150;

struct point {
    double x = 0;
    double y = 0;
};

std::string escape(std::string_view text) {
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

// Neighbouring kinds get hues that are far apart (golden angle).
std::string colour_of(event_kind kind) {
    constexpr double golden_angle = 137.508;
    constexpr int full_circle = 360;
    const int hue = static_cast<int>(static_cast<double>(kind) * golden_angle) % full_circle;
    return fmt::format("hsl({},65%,{}%)", hue, static_cast<int>(kind) % 2 == 0 ? 42 : 58);
}

std::string format_fields(const timeline_event& event) {
    std::string text;
    for (const std::pair<std::string, std::string>& field : event.fields) {
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", field.first, field.second);
    }
    return text;
}

/// Draws the latest events.
class drawing {
public:
    drawing(const std::vector<timeline_event>& events, std::size_t limit) : events_(events) {
        first_ = events_.size() > limit ? events_.size() - limit : 0;
        std::set<std::string> daemons;
        for (std::size_t index = first_; index < events_.size(); ++index) {
            daemons.insert(events_[index].id.daemon);
        }
        for (const std::string& daemon : daemons) {
            const double lane = static_cast<double>(lanes_.size());
            lanes_.emplace(daemon, top_margin + lane_height * (lane + 0.5));
        }
        place_events();
    }

    [[nodiscard]] std::string svg() const {
        const double height = top_margin + lane_height * static_cast<double>(lanes_.size()) + 10;
        std::string text =
            fmt::format("<div class=\"scroll\"><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" "
                        "height=\"{1:.0f}\" viewBox=\"0 0 {0:.0f} {1:.0f}\">\n",
                        width_, height);
        append_lanes(text);
        append_times(text, height);
        append_causes(text);
        append_markers(text);
        return text + "</svg></div>\n";
    }

    [[nodiscard]] std::size_t omitted() const { return first_; }

private:
    void place_events() {
        double x = left_margin;
        for (std::size_t index = first_; index < events_.size(); ++index) {
            if (index > first_) {
                const std::int64_t ms = events_[index].at.wall_ms - events_[index - 1].at.wall_ms;
                x += std::clamp(static_cast<double>(ms) * pixels_per_ms, min_step, max_step);
            }
            points_[events_[index].id] = point{x, lanes_.at(events_[index].id.daemon)};
        }
        width_ = x + right_margin;
    }

    void append_lanes(std::string& text) const {
        for (const std::pair<const std::string, double>& lane : lanes_) {
            text += fmt::format("<line class=\"lane\" x1=\"{0}\" x2=\"{1:.0f}\" y1=\"{2}\" y2=\"{2}\"/>"
                                "<text x=\"8\" y=\"{3}\">{4}</text>\n",
                                left_margin, width_, lane.second, lane.second + 4, escape(lane.first));
        }
    }

    void append_times(std::string& text, double height) const {
        double last = -label_distance;
        for (std::size_t index = first_; index < events_.size(); ++index) {
            const double x = points_.at(events_[index].id).x;
            if (x - last < label_distance) {
                continue;
            }
            last = x;
            constexpr std::size_t date_bytes = 11;
            text +=
                fmt::format("<line class=\"tick\" x1=\"{0:.0f}\" x2=\"{0:.0f}\" y1=\"24\" y2=\"{1:.0f}\"/>"
                            "<text class=\"time\" x=\"{0:.0f}\" y=\"18\">{2}</text>\n",
                            x, height, format_time(events_[index].at.wall_ms).substr(date_bytes));
        }
    }

    void append_causes(std::string& text) const {
        for (std::size_t index = first_; index < events_.size(); ++index) {
            const timeline_event& event = events_[index];
            if (!event.cause || points_.count(*event.cause) == 0) {
                continue;
            }
            const point from = points_.at(*event.cause);
            const point to = points_.at(event.id);
            // Curves within a lane, since a straight line would be hidden by the lane.
            const double bend = from.y == to.y ? -lane_height / 2 : 0;
            text += fmt::format("<path class=\"cause\" d=\"M{:.0f},{:.0f} Q{:.0f},{:.0f} {:.0f},{:.0f}\"/>\n",
                                from.x, from.y, (from.x + to.x) / 2, (from.y + to.y) / 2 + bend, to.x, to.y);
        }
    }

    void append_markers(std::string& text) const {
        for (std::size_t index = first_; index < events_.size(); ++index) {
            const timeline_event& event = events_[index];
            const point place = points_.at(event.id);
            text += fmt::format("<a href=\"#e{}\"><circle cx=\"{:.0f}\" cy=\"{:.0f}\" r=\"{}\" "
                                "fill=\"{}\"><title>{}</title></circle></a>\n",
                                index, place.x, place.y, marker_radius, colour_of(event.kind),
                                escape(format_event(event)));
        }
    }

    const std::vector<timeline_event>& events_;
    std::size_t first_ = 0;
    double width_ = 0;
    /// Height of the lane of each daemon.
    std::map<std::string, double> lanes_;
    std::map<event_id, point> points_;
};

std::string legend(const std::vector<timeline_event>& events) {
    std::set<event_kind> kinds;
    for (const timeline_event& event : events) {
        kinds.insert(event.kind);
    }
    std::string text = "<p class=\"legend\">";
    for (const event_kind kind : kinds) {
        text += fmt::format("<span><i style=\"background:{}\"></i>{}</span> ", colour_of(kind),
                            gentianhill::to_string(kind));
    }
    return text + "</p>\n";
}

std::string gap_list(const std::vector<timeline_gap>& gaps) {
    if (gaps.empty()) {
        return "<p>No events are missing.</p>\n";
    }
    std::string text = "<p>Missing events (overwritten before they were read):</p><ul>\n";
    for (const timeline_gap& gap : gaps) {
        text += fmt::format("<li>{} (started {}): {} to {}</li>\n", escape(gap.daemon),
                            format_time(gap.incarnation), gap.first, gap.last);
    }
    return text + "</ul>\n";
}

std::string table(const std::vector<timeline_event>& events) {
    std::map<event_id, std::size_t> rows;
    for (std::size_t index = 0; index < events.size(); ++index) {
        rows.emplace(events[index].id, index);
    }
    std::string text = "<table><thead><tr><th>time (UTC)</th><th>daemon</th><th>kind</th><th>group</th>"
                       "<th>fields</th><th>request</th><th>cause</th></tr></thead><tbody>\n";
    for (std::size_t index = 0; index < events.size(); ++index) {
        const timeline_event& event = events[index];
        std::string cause;
        if (event.cause) {
            const std::map<event_id, std::size_t>::const_iterator found = rows.find(*event.cause);
            cause = escape(event.cause->to_string());
            if (found != rows.end()) {
                cause = fmt::format("<a href=\"#e{}\">{}</a>", found->second, cause);
            }
        }
        text += fmt::format("<tr id=\"e{}\"><td>{}</td><td>{}</td><td><i style=\"background:{}\"></i>{}</td>"
                            "<td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                            index, format_time(event.at.wall_ms), escape(event.id.daemon),
                            colour_of(event.kind), gentianhill::to_string(event.kind), escape(event.group),
                            escape(format_fields(event)), escape(event.request_id), cause);
    }
    return text + "</tbody></table>\n";
}

constexpr std::string_view style =
    "body{font:14px sans-serif;margin:24px;color:#222}"
    "svg text{font:12px sans-serif;fill:#222}svg .time{fill:#666;text-anchor:middle}"
    ".lane{stroke:#bbb;stroke-width:2}.tick{stroke:#eee}"
    ".cause{stroke:#777;fill:none;stroke-dasharray:3 2}"
    "circle{stroke:#fff}.scroll{overflow-x:auto;border:1px solid #ddd}"
    ".legend span{margin-right:14px;white-space:nowrap}"
    "i{display:inline-block;width:10px;height:10px;border-radius:5px;margin-right:5px}"
    "table{border-collapse:collapse;margin-top:16px}td,th{border:1px solid #ddd;padding:3px 8px;"
    "text-align:left;vertical-align:top}td{font-family:monospace;font-size:12px}tr:target{background:#ffd}";

} // namespace

std::string format_time(std::int64_t wall_ms) {
    constexpr std::int64_t ms_per_second = 1000;
    // Times of other processes are input: fmt throws on years that it cannot represent.
    constexpr std::int64_t max_ms = 253'402'300'799'999;
    const std::int64_t shown = std::clamp<std::int64_t>(wall_ms, 0, max_ms);
    const std::time_t seconds = static_cast<std::time_t>(shown / ms_per_second);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:03}", fmt::gmtime(seconds), shown % ms_per_second);
}

std::string format_event(const timeline_event& event) {
    std::string text = fmt::format("{} {:<14} {:<22} {}", format_time(event.at.wall_ms), event.id.daemon,
                                   to_string(event.kind), event.group.empty() ? "-" : event.group);
    if (!event.fields.empty()) {
        text += "  " + format_fields(event);
    }
    if (!event.request_id.empty()) {
        text += "  request=" + event.request_id;
    }
    if (event.cause) {
        text += "  cause=" + event.cause->to_string();
    }
    // A field with a line break or an escape sequence must not forge lines on a terminal.
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return (character >= '\0' && character < ' ') || character == '\x7f'; }, ' ');
    return text;
}

std::string timeline_report(const merged_timeline& events, const timeline_report_settings& settings) {
    const drawing drawn{events.events, settings.max_drawn_events};
    std::string page =
        fmt::format("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>"
                    "<style>{1}</style></head><body>\n<h1>{0}</h1>\n",
                    escape(settings.title), style);
    if (events.events.empty()) {
        return page + "<p>No events.</p>\n</body></html>\n";
    }
    page += fmt::format("<p>{} events from {} to {} (UTC). Lines lead from causes to effects; distances "
                        "shorten quiet time.</p>\n",
                        events.events.size(), format_time(events.events.front().at.wall_ms),
                        format_time(events.events.back().at.wall_ms));
    if (drawn.omitted() > 0) {
        page += fmt::format("<p>The drawing omits the first {} events; the table has all.</p>\n",
                            drawn.omitted());
    }
    page += legend(events.events) + drawn.svg() + gap_list(events.gaps) + table(events.events);
    return page + "</body></html>\n";
}

} // namespace gentianhill
