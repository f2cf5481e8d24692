#include "gentianhill/consistency/staleness_tracker.h"

#include <algorithm>
#include <cassert>

namespace gentianhill {

namespace {

constexpr std::size_t min_capacity = 8;

} // namespace

staleness_tracker::staleness_tracker(const staleness_tracker_settings& settings) : settings_(settings) {
    settings_.capacity = std::max(settings_.capacity, min_capacity);
    samples_.reserve(settings_.capacity);
}

void staleness_tracker::start_term(term_number term) {
    // Samples of the previous term remain valid up to the time at which a majority was last known to be at
    // it.
    const std::vector<sample>::iterator first =
        std::find_if(samples_.begin(), samples_.end(),
                     [this](const sample& entry) { return entry.position.term == term_; });
    if (!majority_seen_) {
        samples_.erase(first, samples_.end());
    } else {
        const std::vector<sample>::iterator late =
            std::find_if(first, samples_.end(),
                         [this](const sample& entry) { return entry.requested_at >= *majority_seen_; });
        // Of several samples clamped to the same time, the one with the lowest position implies the others.
        if (late != samples_.end()) {
            late->requested_at = *majority_seen_;
            samples_.erase(late + 1, samples_.end());
        }
    }
    term_ = term;
    majority_seen_.reset();
}

void staleness_tracker::set_majority_seen(term_number term, time_point seen_at) {
    if (term < term_) {
        return;
    }
    if (term > term_) {
        start_term(term);
    }
    if (!majority_seen_ || *majority_seen_ < seen_at) {
        majority_seen_ = seen_at;
    }
}

void staleness_tracker::add_sample(log_position position, time_point requested_at) {
    if (position.term < term_) {
        return;
    }
    if (position.term > term_) {
        start_term(position.term);
    }

    // An existing sample with no higher position and no earlier time already gives a bound as tight.
    std::vector<sample>::iterator next =
        std::find_if(samples_.rbegin(), samples_.rend(), [position](const sample& entry) {
            return entry.position <= position;
        }).base();
    if (next != samples_.begin() && (next - 1)->requested_at >= requested_at) {
        return;
    }
    if (next != samples_.begin() && (next - 1)->position == position) {
        --next;
    }
    // Drop samples with no lower position and no later time: the new sample implies them.
    std::vector<sample>::iterator last = next;
    while (last != samples_.end() && last->requested_at <= requested_at) {
        ++last;
    }
    next = samples_.erase(next, last);

    // Replace the latest sample while it is within min_interval of the one before it.
    const std::size_t size = samples_.size();
    if (next == samples_.end() && size >= 2 && samples_[size - 2].position.term == term_ &&
        samples_[size - 1].requested_at - samples_[size - 2].requested_at < settings_.min_interval) {
        samples_.back() = sample{position, requested_at};
        return;
    }
    if (size == settings_.capacity) {
        const std::size_t index = static_cast<std::size_t>(next - samples_.begin());
        downsample_old_samples();
        next = samples_.begin() + static_cast<std::ptrdiff_t>(std::min(index, samples_.size()));
        while (next != samples_.begin() && (next - 1)->position > position) {
            --next;
        }
        while (next != samples_.end() && next->position <= position) {
            ++next;
        }
    }
    assert(samples_.size() < settings_.capacity);
    samples_.insert(next, sample{position, requested_at});
}

void staleness_tracker::downsample_old_samples() {
    // Old samples serve only instances that are far behind, for which a coarser age suffices.
    const std::size_t dense_begin = samples_.size() / 4 * 3;
    std::size_t kept = 0;
    for (std::size_t index = 0; index < samples_.size(); ++index) {
        if (index >= dense_begin || index % 2 == 0) {
            samples_[kept++] = samples_[index];
        }
    }
    samples_.resize(kept);
}

std::optional<duration> staleness_tracker::age(log_position position, time_point now) const {
    const std::vector<sample>::const_iterator next =
        std::upper_bound(samples_.begin(), samples_.end(), position,
                         [](log_position wanted, const sample& entry) { return wanted < entry.position; });
    for (std::vector<sample>::const_iterator entry = next; entry != samples_.begin();) {
        --entry;
        const bool is_current = entry->position.term == term_;
        if (is_current && !majority_seen_) {
            continue;
        }
        const time_point valid_at =
            is_current ? std::min(entry->requested_at, *majority_seen_) : entry->requested_at;
        return std::max(duration::zero(), now - valid_at);
    }
    return std::nullopt;
}

} // namespace gentianhill
