#include "gentianhill/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace gentianhill {

namespace {

constexpr double microseconds_per_ms = 1000.0;
/// Shortest mean latency, so that ratios stay finite.
constexpr double min_latency_ms = 0.001;
/// Largest reduction of one adjustment.
constexpr double min_gradient = 0.5;

} // namespace

concurrency_limit::concurrency_limit(const concurrency_limit_settings& settings)
    : settings_(settings), limit_(static_cast<double>(settings.ceiling)) {}

void concurrency_limit::set_bounds(std::size_t floor, std::size_t ceiling) {
    const bool was_at_ceiling = limit() >= settings_.ceiling;
    settings_.floor = floor;
    settings_.ceiling = std::max(floor, ceiling);
    if (was_at_ceiling) {
        limit_ = static_cast<double>(settings_.ceiling);
    }
    limit_ = std::clamp(limit_, static_cast<double>(settings_.floor), static_cast<double>(settings_.ceiling));
}

std::size_t concurrency_limit::limit() const {
    return std::clamp(static_cast<std::size_t>(std::lround(limit_)), settings_.floor, settings_.ceiling);
}

void concurrency_limit::on_answered(std::int64_t kind, duration latency, std::size_t in_flight,
                                    time_point now) {
    if (now - period_start_ >= settings_.memory) {
        start_period(now);
    }
    kind_latency& measured = kinds_[kind];
    measured.window_sum_ms += static_cast<double>(latency.count()) / microseconds_per_ms;
    ++measured.window_count;
    measured.highest_in_flight = std::max(measured.highest_in_flight, in_flight);
    if (measured.window_count >= settings_.window) {
        adjust(measured);
    }
}

void concurrency_limit::adjust(kind_latency& kind) {
    const double mean_ms = kind.window_sum_ms / static_cast<double>(kind.window_count);
    kind.best_ms = std::min(kind.best_ms.value_or(mean_ms), mean_ms);
    const double best_ms = std::min(*kind.best_ms, kind.former_best_ms.value_or(*kind.best_ms));
    const double gradient =
        std::clamp(settings_.tolerance * best_ms / std::max(mean_ms, min_latency_ms), min_gradient, 1.0);
    // A limit that is not reached says nothing about what the instance bears.
    const bool is_used = kind.highest_in_flight + 1 >= limit();
    if (gradient < 1.0) {
        limit_ *= gradient;
    } else if (is_used) {
        limit_ += 1.0;
    }
    limit_ = std::clamp(limit_, static_cast<double>(settings_.floor), static_cast<double>(settings_.ceiling));
    kind.window_sum_ms = 0.0;
    kind.window_count = 0;
    kind.highest_in_flight = 0;
}

void concurrency_limit::start_period(time_point now) {
    period_start_ = now;
    for (std::map<std::int64_t, kind_latency>::iterator entry = kinds_.begin(); entry != kinds_.end();) {
        kind_latency& kind = entry->second;
        kind.former_best_ms = kind.best_ms;
        kind.best_ms.reset();
        // Kinds without answers are forgotten, as routes come and go.
        entry = kind.former_best_ms || kind.window_count > 0 ? std::next(entry) : kinds_.erase(entry);
    }
}

void concurrency_limit::on_busy(time_point now) {
    if (now - reduced_at_ < settings_.reduction_interval) {
        return;
    }
    reduced_at_ = now;
    limit_ = std::max(limit_ * settings_.reduction, static_cast<double>(settings_.floor));
}

} // namespace gentianhill
