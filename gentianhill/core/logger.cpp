#include "gentianhill/core/logger.h"

#include "gentianhill/core/event_loop.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace gentianhill {

namespace {

using level_name = std::pair<log_level, std::string_view>;

constexpr std::array level_names{
    level_name{log_level::debug, "debug"},
    level_name{log_level::info, "info"},
    level_name{log_level::warning, "warning"},
    level_name{log_level::error, "error"},
};

constexpr duration repeat_window = std::chrono::seconds{1};
constexpr std::size_t max_value_bytes = 1024;

bool is_plain(char character) {
    return character > ' ' && character < '\x7f' && character != '"' && character != '\\' && character != '=';
}

// Quotes and escapes a value, so that one event stays on one line and its fields can be parsed.
void append_value(std::string& line, std::string_view value) {
    const std::string_view kept = value.substr(0, max_value_bytes);
    if (!kept.empty() && std::all_of(kept.begin(), kept.end(), is_plain)) {
        line += kept;
        return;
    }
    line += '"';
    for (const char character : kept) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte < ' ' || byte == 0x7f) {
            line += fmt::format("\\x{:02x}", byte);
        } else {
            line += character;
        }
    }
    line += '"';
}

void append_time(std::string& line, std::int64_t wall_ms) {
    constexpr std::int64_t ms_per_second = 1000;
    const std::time_t seconds = static_cast<std::time_t>(wall_ms / ms_per_second);
    line += fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), wall_ms % ms_per_second);
}

} // namespace

std::string_view to_string(log_level level) {
    for (const level_name& entry : level_names) {
        if (entry.first == level) {
            return entry.second;
        }
    }
    return "info";
}

std::optional<log_level> log_level_from(std::string_view name) {
    for (const level_name& entry : level_names) {
        if (entry.second == name) {
            return entry.first;
        }
    }
    return std::nullopt;
}

logger::logger(const log_settings& settings)
    : sink([](std::string_view line) { fmt::print(stderr, "{}\n", line); }),
      now(&event_loop::now),
      wall_clock_ms(&event_loop::wall_clock_ms),
      settings_(settings) {}

void logger::write(log_level level, std::string_view component, std::string_view event,
                   std::initializer_list<log_field> fields) {
    if (level < settings_.level || !admit(level, component, event)) {
        return;
    }
    emit(level, component, event, fields);
}

bool logger::admit(log_level level, std::string_view component, std::string_view event) {
    const time_point current = now();
    event_name key{component, event};
    std::map<event_name, repeat_count>::iterator found = repeats_.find(key);
    if (found == repeats_.end()) {
        if (repeats_.size() >= settings_.max_tracked_events) {
            // Entries of past seconds are dropped, after their summary.
            write_suppressed();
        }
        if (repeats_.size() >= settings_.max_tracked_events) {
            return true;
        }
        found = repeats_.emplace(std::move(key), repeat_count{current, 0, 0, level}).first;
    }
    if (current - found->second.window_start >= repeat_window) {
        // Summarise the second that has ended before the first line of the next one.
        if (found->second.suppressed > 0) {
            emit(found->second.level, component, event, {{"suppressed", found->second.suppressed}});
        }
        found->second = repeat_count{current, 0, 0, level};
    }
    if (found->second.written >= settings_.repeats_per_second) {
        ++found->second.suppressed;
        return false;
    }
    ++found->second.written;
    return true;
}

void logger::write_suppressed() {
    const time_point current = now();
    for (std::map<event_name, repeat_count>::iterator entry = repeats_.begin(); entry != repeats_.end();) {
        if (current - entry->second.window_start < repeat_window) {
            ++entry;
            continue;
        }
        if (entry->second.suppressed > 0) {
            emit(entry->second.level, entry->first.first, entry->first.second,
                 {{"suppressed", entry->second.suppressed}});
        }
        entry = repeats_.erase(entry);
    }
}

void logger::emit(log_level level, std::string_view component, std::string_view event,
                  std::initializer_list<log_field> fields) {
    std::string line;
    append_time(line, wall_clock_ms());
    line += fmt::format(" {} {} {}", to_string(level), component, event);
    for (const log_field& field : fields) {
        line += fmt::format(" {}=", field.name);
        append_value(line, field.value);
    }
    sink(line);
}

} // namespace gentianhill
