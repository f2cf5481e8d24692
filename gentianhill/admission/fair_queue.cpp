#include "gentianhill/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

constexpr unsigned slot_index_bits = 32;
// Upper bound of a computed wait: longer ones would overflow `duration` without changing any decision.
constexpr double max_computed_wait_seconds = 3600.0;

std::uint32_t slot_index(fair_queue::entry_id id) {
    return static_cast<std::uint32_t>(id);
}

duration seconds_to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, max_computed_wait_seconds)));
}

bool has_lower_team_name(const team_queue_stats& left, const team_queue_stats& right) {
    return left.team < right.team;
}

} // namespace

fair_queue::fair_queue(const fair_queue_settings& settings)
    : settings_(settings), entries_(settings.max_length), service_rate_(settings.initial_service_rate) {
    assert(settings.initial_service_rate > 0.0);
    free_entries_.reserve(settings.max_length);
    for (std::size_t slot = settings.max_length; slot > 0; --slot) {
        free_entries_.push_back(static_cast<std::uint32_t>(slot - 1));
    }
}

bool fair_queue::has_later_start(const heap_entry& left, const heap_entry& right) {
    return left.start > right.start || (left.start == right.start && left.team > right.team);
}

std::uint32_t fair_queue::find_team(std::string_view team) const {
    const std::unordered_map<std::string, std::uint32_t, string_hash, std::equal_to<>>::const_iterator found =
        team_index_.find(team);
    return found == team_index_.end() ? null_index : found->second;
}

void fair_queue::set_team(std::string_view team, double weight) {
    assert(weight > 0.0);
    const std::uint32_t existing = find_team(team);
    if (existing != null_index) {
        team_state& state = teams_[existing];
        if (state.head != null_index) {
            active_weight_ += weight - state.stats.weight;
        }
        state.stats.weight = weight;
        return;
    }
    // Reuse the element of a removed team that the heap no longer refers to.
    std::uint32_t index = 0;
    while (index < teams_.size() && (teams_[index].in_use || teams_[index].in_heap)) {
        ++index;
    }
    if (index == teams_.size()) {
        teams_.emplace_back();
        heap_.reserve(teams_.capacity());
    }
    teams_[index] = team_state{};
    teams_[index].stats.team = std::string{team};
    teams_[index].stats.weight = weight;
    team_index_.emplace(std::string{team}, index);
}

bool fair_queue::remove_team(std::string_view team) {
    const std::uint32_t index = find_team(team);
    if (index == null_index || teams_[index].head != null_index) {
        return false;
    }
    teams_[index].in_use = false;
    team_index_.erase(teams_[index].stats.team);
    return true;
}

duration fair_queue::expected_wait(const team_state& team) const {
    // Until its queued requests are served, the team receives a part of the service rate in proportion to its
    // weight. The wait never exceeds the time to serve all queued requests.
    const double competing_weight = active_weight_ + (team.head == null_index ? team.stats.weight : 0.0);
    const double own_wait = team.queued_cost * competing_weight / (service_rate_ * team.stats.weight);
    const double total_wait = queued_cost_ / service_rate_;
    return seconds_to_duration(std::min(own_wait, total_wait));
}

duration fair_queue::expected_wait(std::string_view team) const {
    const std::uint32_t index = find_team(team);
    return index == null_index ? duration{0} : expected_wait(teams_[index]);
}

void fair_queue::activate(std::uint32_t team) {
    team_state& state = teams_[team];
    if (state.in_heap) {
        return;
    }
    state.next_start = std::max(state.next_start, virtual_time_);
    state.in_heap = true;
    heap_.push_back(heap_entry{state.next_start, team});
    std::push_heap(heap_.begin(), heap_.end(), &has_later_start);
}

std::optional<fair_queue::entry_id> fair_queue::push(std::string_view team, time_point deadline, double cost,
                                                     time_point now, error& reason) {
    assert(cost > 0.0);
    const std::uint32_t index = find_team(team);
    if (index == null_index) {
        reason = error{error_code::unknown_team, "team", std::string{team}, "a configured team"};
        return std::nullopt;
    }
    team_state& state = teams_[index];
    // A team may queue at most as many requests as there are free places, so that flooding teams cannot keep
    // the others out.
    const std::size_t team_limit = std::min(settings_.max_team_length, settings_.max_length - size_);
    if (state.stats.queued >= team_limit) {
        ++state.stats.refused;
        reason = error{error_code::queue_full, "team", std::to_string(state.stats.queued), "fewer requests"};
        return std::nullopt;
    }
    const duration wait = expected_wait(state);
    const time_point start_by = deadline - std::min(settings_.execution_reserve, (deadline - now) / 2);
    if (now >= deadline || now + wait > start_by) {
        ++state.stats.refused;
        reason = error{error_code::deadline_exceeded, "deadline_ms", std::to_string(to_milliseconds(wait)),
                       "a deadline after the expected wait"};
        return std::nullopt;
    }
    // Append to the team's linked list.
    const std::uint32_t slot = free_entries_.back();
    free_entries_.pop_back();
    const entry_id id = (static_cast<entry_id>(next_sequence_++) << slot_index_bits) | slot;
    entries_[slot] = entry{id, start_by, cost, index, state.tail, null_index};
    if (state.tail == null_index) {
        state.head = slot;
        active_weight_ += state.stats.weight;
    } else {
        entries_[state.tail].next = slot;
    }
    state.tail = slot;
    state.queued_cost += cost;
    ++state.stats.queued;
    queued_cost_ += cost;
    ++size_;
    activate(index);
    return id;
}

void fair_queue::unlink(std::uint32_t slot) {
    entry& removed = entries_[slot];
    team_state& state = teams_[removed.team];
    if (removed.previous == null_index) {
        state.head = removed.next;
    } else {
        entries_[removed.previous].next = removed.next;
    }
    if (removed.next == null_index) {
        state.tail = removed.previous;
    } else {
        entries_[removed.next].previous = removed.previous;
    }
    --state.stats.queued;
    --size_;
    state.queued_cost -= removed.cost;
    queued_cost_ -= removed.cost;
    if (state.head == null_index) {
        active_weight_ -= state.stats.weight;
        state.queued_cost = 0.0;
    }
    // Floating-point sums drift, so reset them when the queue is empty.
    if (size_ == 0) {
        queued_cost_ = 0.0;
        active_weight_ = 0.0;
        rate_window_open_ = false;
    }
    removed.id = 0;
    free_entries_.push_back(slot);
}

void fair_queue::update_service_rate(double cost, time_point now) {
    // The rate of pops shows the capacity of the resource only while requests are waiting.
    if (size_ == 0) {
        return;
    }
    if (!rate_window_open_) {
        rate_window_open_ = true;
        rate_window_start_ = now;
        rate_window_cost_ = 0.0;
        return;
    }
    rate_window_cost_ += cost;
    if (now - rate_window_start_ < settings_.rate_window) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - rate_window_start_).count();
    service_rate_ += settings_.rate_smoothing * (rate_window_cost_ / seconds - service_rate_);
    service_rate_ = std::max(service_rate_, settings_.min_service_rate);
    rate_window_start_ = now;
    rate_window_cost_ = 0.0;
}

std::optional<fair_queue::entry_id> fair_queue::pop(time_point now, std::vector<entry_id>& expired) {
    while (!heap_.empty()) {
        // Take the team with the lowest start time.
        std::pop_heap(heap_.begin(), heap_.end(), &has_later_start);
        const std::uint32_t index = heap_.back().team;
        heap_.pop_back();
        team_state& state = teams_[index];
        state.in_heap = false;
        // Drop its expired requests without charging the team for them.
        while (state.head != null_index && entries_[state.head].start_by <= now) {
            ++state.stats.expired;
            expired.push_back(entries_[state.head].id);
            unlink(state.head);
        }
        if (state.head == null_index) {
            continue;
        }
        // Dequeue its first request and charge the cost to the team.
        const entry_id id = entries_[state.head].id;
        const double cost = entries_[state.head].cost;
        virtual_time_ = std::max(virtual_time_, state.next_start);
        state.next_start += cost / state.stats.weight;
        ++state.stats.served;
        state.stats.served_cost += cost;
        unlink(state.head);
        if (state.head != null_index) {
            activate(index);
        }
        // Once the queue is empty, catch the virtual time up so that the team served last is not at a
        // disadvantage.
        if (size_ == 0) {
            virtual_time_ = std::max(virtual_time_, state.next_start);
        }
        update_service_rate(cost, now);
        return id;
    }
    return std::nullopt;
}

bool fair_queue::remove(entry_id id) {
    const std::uint32_t slot = slot_index(id);
    if (id == 0 || slot >= entries_.size() || entries_[slot].id != id) {
        return false;
    }
    unlink(slot);
    return true;
}

void fair_queue::expire(time_point now, std::vector<entry_id>& expired) {
    for (std::uint32_t slot = 0; slot < entries_.size(); ++slot) {
        const entry& waiting = entries_[slot];
        if (waiting.id != 0 && waiting.start_by <= now) {
            ++teams_[waiting.team].stats.expired;
            expired.push_back(waiting.id);
            unlink(slot);
        }
    }
}

std::vector<team_queue_stats> fair_queue::team_stats() const {
    std::vector<team_queue_stats> result;
    for (const team_state& state : teams_) {
        if (state.in_use) {
            result.push_back(state.stats);
        }
    }
    std::sort(result.begin(), result.end(), &has_lower_team_name);
    return result;
}

} // namespace gentianhill
