#pragma once

#include "gentianhill/core/log_field.h"
#include "gentianhill/core/time.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianhill {

/// Severity of a log line, in ascending order.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// Name of a level.
[[nodiscard]] std::string_view to_string(log_level level);

/// Level of a name; nothing for a name that is not in the table.
[[nodiscard]] std::optional<log_level> log_level_from(std::string_view name);

/// Limits of a logger.
struct log_settings {
    /// Lines below this level are dropped.
    log_level level = log_level::info;
    /// Lines of one component and event that are written per second; the rest is counted and summarised.
    std::uint32_t repeats_per_second = 20;
    /// Component and event pairs for which repeats are counted.
    std::size_t max_tracked_events = 1024;
};

/// Structured logger: one line per event, `time level component event key=value ...`.
class logger {
public:
    explicit logger(const log_settings& settings = {});

    /// Receives each finished line without a line break; standard error by default.
    std::function<void(std::string_view line)> sink;
    /// Monotonic time, for the limit on repeats.
    std::function<time_point()> now;
    /// Wall clock in milliseconds since the Unix epoch, for display.
    std::function<std::int64_t()> wall_clock_ms;

    /// Writes one event, unless its level is too low or it has been repeated too often this second.
    void write(log_level level, std::string_view component, std::string_view event,
               std::initializer_list<log_field> fields = {});
    /// Writes a summary line for each event whose repeats were suppressed in a second that has ended.
    void write_suppressed();
    /// Changes the lowest level that is written.
    void set_level(log_level level) { settings_.level = level; }

private:
    struct repeat_count {
        time_point window_start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
        log_level level = log_level::info;
    };
    using event_name = std::pair<std::string, std::string>;

    [[nodiscard]] bool admit(log_level level, std::string_view component, std::string_view event);
    void emit(log_level level, std::string_view component, std::string_view event,
              std::initializer_list<log_field> fields);

    log_settings settings_;
    std::map<event_name, repeat_count> repeats_;
};

} // namespace gentianhill
