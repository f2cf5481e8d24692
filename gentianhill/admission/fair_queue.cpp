#include "gentianhill/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

constexpr unsigned slot_bits = 32;
// Longest wait that is computed; longer ones would overflow and decide nothing.
constexpr double longest_wait_seconds = 3600.0;

std::uint32_t slot_of(fair_queue::entry_id id) {
    return static_cast<std::uint32_t>(id);
}

duration seconds_to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, longest_wait_seconds)));
}

bool is_earlier_name(const team_queue_stats& left, const team_queue_stats& right) {
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

bool fair_queue::starts_later(const heap_entry& left, const heap_entry& right) {
    return left.start > right.start || (left.start == right.start && left.team > right.team);
}

std::uint32_t fair_queue::find_team(std::string_view team) const {
    const std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>>::const_iterator found =
        team_index_.find(team);
    return found == team_index_.end() ? none : found->second;
}

void fair_queue::set_team(std::string_view team, double weight) {
    assert(weight > 0.0);
    const std::uint32_t known = find_team(team);
    if (known != none) {
        team_state& state = teams_[known];
        if (state.head != none) {
            active_weight_ += weight - state.share.weight;
        }
        state.share.weight = weight;
        return;
    }
    // Reuse the place of a removed team that the heap no longer refers to.
    std::uint32_t index = 0;
    while (index < teams_.size() && (teams_[index].in_use || teams_[index].in_heap)) {
        ++index;
    }
    if (index == teams_.size()) {
        teams_.emplace_back();
        heap_.reserve(teams_.capacity());
    }
    teams_[index] = team_state{};
    teams_[index].share.team = std::string{team};
    teams_[index].share.weight = weight;
    team_index_.emplace(std::string{team}, index);
}

bool fair_queue::remove_team(std::string_view team) {
    const std::uint32_t index = find_team(team);
    if (index == none || teams_[index].head != none) {
        return false;
    }
    teams_[index].in_use = false;
    team_index_.erase(teams_[index].share.team);
    return true;
}

duration fair_queue::expected_wait(const team_state& team) const {
    // The team gets its weight's part of the rate until its own requests are served, and never waits longer
    // than all waiting requests take.
    const double weight_in_total = active_weight_ + (team.head == none ? team.share.weight : 0.0);
    const double own = team.queued_cost * weight_in_total / (service_rate_ * team.share.weight);
    const double all = queued_cost_ / service_rate_;
    return seconds_to_duration(std::min(own, all));
}

duration fair_queue::expected_wait(std::string_view team) const {
    const std::uint32_t index = find_team(team);
    return index == none ? duration{0} : expected_wait(teams_[index]);
}

void fair_queue::activate(std::uint32_t team) {
    team_state& state = teams_[team];
    if (state.in_heap) {
        return;
    }
    state.next_start = std::max(state.next_start, virtual_time_);
    state.in_heap = true;
    heap_.push_back(heap_entry{state.next_start, team});
    std::push_heap(heap_.begin(), heap_.end(), &starts_later);
}

std::optional<fair_queue::entry_id> fair_queue::push(std::string_view team, time_point deadline, double cost,
                                                     time_point now, error& reason) {
    assert(cost > 0.0);
    const std::uint32_t index = find_team(team);
    if (index == none) {
        reason = error{error_code::unknown_team, "team", std::string{team}, "a configured team"};
        return std::nullopt;
    }
    team_state& state = teams_[index];
    // A team may hold at most as much room as it leaves free, so that floods cannot keep other teams out.
    const std::size_t room = std::min(settings_.max_team_length, settings_.max_length - size_);
    if (state.share.queued >= room) {
        ++state.share.refused;
        reason = error{error_code::queue_full, "team", std::to_string(state.share.queued), "fewer requests"};
        return std::nullopt;
    }
    const duration wait = expected_wait(state);
    const time_point start_by = deadline - std::min(settings_.execution_reserve, (deadline - now) / 2);
    if (now >= deadline || now + wait > start_by) {
        ++state.share.refused;
        reason = error{error_code::deadline_exceeded, "deadline_ms", std::to_string(to_milliseconds(wait)),
                       "a deadline after the expected wait"};
        return std::nullopt;
    }
    // Append to the team's list.
    const std::uint32_t slot = free_entries_.back();
    free_entries_.pop_back();
    const entry_id id = (static_cast<entry_id>(next_sequence_++) << slot_bits) | slot;
    entries_[slot] = entry{id, start_by, cost, index, state.tail, none};
    if (state.tail == none) {
        state.head = slot;
        active_weight_ += state.share.weight;
    } else {
        entries_[state.tail].next = slot;
    }
    state.tail = slot;
    state.queued_cost += cost;
    ++state.share.queued;
    queued_cost_ += cost;
    ++size_;
    activate(index);
    return id;
}

void fair_queue::unlink(std::uint32_t slot) {
    entry& gone = entries_[slot];
    team_state& state = teams_[gone.team];
    if (gone.previous == none) {
        state.head = gone.next;
    } else {
        entries_[gone.previous].next = gone.next;
    }
    if (gone.next == none) {
        state.tail = gone.previous;
    } else {
        entries_[gone.next].previous = gone.previous;
    }
    --state.share.queued;
    --size_;
    state.queued_cost -= gone.cost;
    queued_cost_ -= gone.cost;
    if (state.head == none) {
        active_weight_ -= state.share.weight;
        state.queued_cost = 0.0;
    }
    // Sums of fractions drift; an empty queue has exactly none.
    if (size_ == 0) {
        queued_cost_ = 0.0;
        active_weight_ = 0.0;
        window_open_ = false;
    }
    gone.id = 0;
    free_entries_.push_back(slot);
}

void fair_queue::count_served(double cost, time_point now) {
    // Only time in which requests wait tells what the resource can serve.
    if (size_ == 0) {
        return;
    }
    if (!window_open_) {
        window_open_ = true;
        window_start_ = now;
        window_cost_ = 0.0;
        return;
    }
    window_cost_ += cost;
    if (now - window_start_ < settings_.rate_window) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - window_start_).count();
    service_rate_ += settings_.rate_smoothing * (window_cost_ / seconds - service_rate_);
    service_rate_ = std::max(service_rate_, settings_.min_service_rate);
    window_start_ = now;
    window_cost_ = 0.0;
}

std::optional<fair_queue::entry_id> fair_queue::pop(time_point now, std::vector<entry_id>& expired) {
    while (!heap_.empty()) {
        // Take the team that starts first.
        std::pop_heap(heap_.begin(), heap_.end(), &starts_later);
        const std::uint32_t index = heap_.back().team;
        heap_.pop_back();
        team_state& state = teams_[index];
        state.in_heap = false;
        // Drop its requests that nobody waits for any more; they cost the team nothing.
        while (state.head != none && entries_[state.head].start_by <= now) {
            ++state.share.expired;
            expired.push_back(entries_[state.head].id);
            unlink(state.head);
        }
        if (state.head == none) {
            continue;
        }
        // Hand out its first request and charge the team.
        const entry_id id = entries_[state.head].id;
        const double cost = entries_[state.head].cost;
        virtual_time_ = std::max(virtual_time_, state.next_start);
        state.next_start += cost / state.share.weight;
        ++state.share.served;
        state.share.served_cost += cost;
        unlink(state.head);
        if (state.head != none) {
            activate(index);
        }
        // An idle resource forgets who used it last.
        if (size_ == 0) {
            virtual_time_ = std::max(virtual_time_, state.next_start);
        }
        count_served(cost, now);
        return id;
    }
    return std::nullopt;
}

bool fair_queue::remove(entry_id id) {
    const std::uint32_t slot = slot_of(id);
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
            ++teams_[waiting.team].share.expired;
            expired.push_back(waiting.id);
            unlink(slot);
        }
    }
}

std::vector<team_queue_stats> fair_queue::team_stats() const {
    std::vector<team_queue_stats> result;
    for (const team_state& state : teams_) {
        if (state.in_use) {
            result.push_back(state.share);
        }
    }
    std::sort(result.begin(), result.end(), &is_earlier_name);
    return result;
}

} // namespace gentianhill
