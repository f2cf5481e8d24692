#include "gentianhill/core/metrics.h"

#include <fmt/format.h>

#include <cassert>

namespace gentianhill {

struct metrics::series {
    metric_labels labels;
    counter count;
    gauge level;
    std::unique_ptr<latency_histogram> latency;
};

struct metrics::family {
    std::string type;
    std::string help;
    /// Series by formatted labels; the pointers keep handles valid.
    std::map<std::string, std::unique_ptr<series>> all;
};

metrics::metrics() = default;

metrics::~metrics() = default;

metrics::series& metrics::find_or_add(std::string_view name, std::string_view type, std::string_view help,
                                      const metric_labels& labels) {
    std::map<std::string, family, std::less<>>::iterator found = families_.find(name);
    if (found == families_.end()) {
        found = families_.emplace(std::string{name}, family{std::string{type}, std::string{help}, {}}).first;
    }
    // One name has one type; a second type would make the exposition invalid.
    assert(found->second.type == type);
    std::unique_ptr<series>& slot = found->second.all[format_labels(labels)];
    if (slot == nullptr) {
        slot = std::make_unique<series>();
        slot->labels = labels;
    }
    return *slot;
}

counter& metrics::add_counter(std::string_view name, std::string_view help, const metric_labels& labels) {
    return find_or_add(name, "counter", help, labels).count;
}

gauge& metrics::add_gauge(std::string_view name, std::string_view help, const metric_labels& labels) {
    return find_or_add(name, "gauge", help, labels).level;
}

latency_histogram& metrics::add_histogram(std::string_view name, std::string_view help,
                                          const metric_labels& labels) {
    series& found = find_or_add(name, "histogram", help, labels);
    if (found.latency == nullptr) {
        found.latency = std::make_unique<latency_histogram>();
    }
    return *found.latency;
}

std::string metrics::expose() const {
    if (on_expose) {
        on_expose();
    }
    std::string text;
    for (const std::pair<const std::string, family>& entry : families_) {
        const std::string& name = entry.first;
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, entry.second.help, name, entry.second.type);
        for (const std::pair<const std::string, std::unique_ptr<series>>& item : entry.second.all) {
            if (entry.second.type == "histogram") {
                item.second->latency->append_to(text, name, item.second->labels);
            } else if (entry.second.type == "counter") {
                text += fmt::format("{}{} {}\n", name, item.first, item.second->count.value());
            } else {
                text += fmt::format("{}{} {}\n", name, item.first, item.second->level.value());
            }
        }
    }
    return text;
}

} // namespace gentianhill
