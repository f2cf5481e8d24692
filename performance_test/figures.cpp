#include "performance_test/figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace gentianhill::bench {

namespace {

std::string text_of(const target& bound) {
    if (bound.at_least) {
        return fmt::format(">= {:g}", *bound.at_least);
    }
    return bound.at_most ? fmt::format("<= {:g}", *bound.at_most) : std::string{"-"};
}

std::string text_of(const std::vector<std::pair<std::string, double>>& baselines) {
    std::string text;
    for (const std::pair<std::string, double>& baseline : baselines) {
        text += fmt::format("{}{} {:.4g}", text.empty() ? "" : ", ", baseline.first, baseline.second);
    }
    return text;
}

} // namespace

bool figure::passes() const {
    return (!bound.at_least || value >= *bound.at_least) && (!bound.at_most || value <= *bound.at_most);
}

void figure_table::add(const std::string& deployment, std::vector<figure> figures) {
    rows_.emplace_back(deployment, std::move(figures));
}

bool figure_table::passes() const {
    for (const std::pair<std::string, std::vector<figure>>& rows : rows_) {
        if (!std::all_of(rows.second.begin(), rows.second.end(),
                         [](const figure& row) { return row.passes(); })) {
            return false;
        }
    }
    return true;
}

std::string figure_table::to_text() const {
    constexpr const char* form = "{:<54} | {:>11} | {:<92} | {:>7} | {}\n";
    std::string text =
        fmt::format(fmt::runtime(form), "figure", "gentianhill", "baselines", "target", "pass");
    for (const std::pair<std::string, std::vector<figure>>& rows : rows_) {
        for (const figure& row : rows.second) {
            const bool is_bound = row.bound.at_least || row.bound.at_most;
            text += fmt::format(fmt::runtime(form), rows.first + "." + row.name,
                                fmt::format("{:.4g}", row.value), text_of(row.baselines), text_of(row.bound),
                                is_bound ? (row.passes() ? "yes" : "MISSED") : "-");
        }
    }
    return text;
}

nlohmann::json figure_table::to_json() const {
    nlohmann::json result = nlohmann::json::object();
    for (const std::pair<std::string, std::vector<figure>>& rows : rows_) {
        for (const figure& row : rows.second) {
            const std::string name = rows.first + "." + row.name;
            result[name] = row.value;
            for (const std::pair<std::string, double>& baseline : row.baselines) {
                result[name + "." + baseline.first] = baseline.second;
            }
        }
    }
    return result;
}

double percentile(std::vector<double>& samples, double part) {
    if (samples.empty()) {
        return 0.0;
    }
    std::sort(samples.begin(), samples.end());
    const double rank = std::ceil(part * static_cast<double>(samples.size()));
    const std::size_t index = rank < 1.0 ? 0 : static_cast<std::size_t>(rank) - 1;
    return samples[std::min(index, samples.size() - 1)];
}

} // namespace gentianhill::bench
