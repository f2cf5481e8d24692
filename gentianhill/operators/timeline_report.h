#pragma once

#include "gentianhill/core/merged_timeline.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gentianhill {

/// Limits of a report.
struct timeline_report_settings {
    /// Heading.
    std::string title = "gentianhill timeline";
    /// Latest events that the drawing shows; the table has all.
    std::size_t max_drawn_events = 2000;
};

/// Time in UTC with milliseconds, such as 2026-01-31 12:00:00.000.
[[nodiscard]] std::string format_time(std::int64_t wall_ms);

/// One line of text per event: time, daemon, kind, group and fields.
[[nodiscard]] std::string format_event(const timeline_event& event);

/// Self-contained HTML page: a drawing with one lane per daemon and lines from causes to effects, and a table
/// of all events. It loads nothing and runs no script.
[[nodiscard]] std::string timeline_report(const merged_timeline& events,
                                          const timeline_report_settings& settings);

} // namespace gentianhill
