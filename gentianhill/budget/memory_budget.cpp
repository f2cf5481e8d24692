#include "gentianhill/budget/memory_budget.h"

#include "gentianhill/budget/memory_holder.h"

#include <algorithm>
#include <cassert>

namespace gentianhill {

namespace {

constexpr std::size_t percent = 100;
/// Without progress for this time, a holder is evicted before those that get on. Longer than a statement of a
/// calm client takes.
constexpr duration idle_limit = std::chrono::milliseconds(500);

} // namespace

std::string_view to_string(eviction_cause cause) {
    return cause == eviction_cause::stalled ? "stalled" : "memory_exceeded";
}

memory_budget::memory_budget(const memory_budget_settings& settings) : settings_(settings) {
    const std::size_t reserve = settings_.total_bytes / percent * (percent - settings_.free_growth_percent);
    max_granted_ = std::max<std::size_t>(reserve / settings_.message_cost_bytes, 1);
}

std::size_t memory_budget::calm_bytes() const {
    const std::size_t share = settings_.total_bytes / 2 / std::max<std::size_t>(holders_.size(), 1);
    return std::clamp(share, settings_.min_calm_bytes, settings_.calm_bytes);
}

void memory_budget::add(memory_holder& holder) {
    holders_.push_back(&holder);
}

void memory_budget::remove(memory_holder& holder) {
    for (std::size_t use = 0; use < memory_use_count; ++use) {
        change(holder, static_cast<memory_use>(use), 0);
    }
    std::erase(holders_, &holder);
    std::erase(waiting_, &holder);
    std::erase(granted_, &holder);
}

void memory_budget::change(memory_holder& holder, memory_use use, std::size_t bytes) {
    const std::size_t index = static_cast<std::size_t>(use);
    const std::size_t before = holder.bytes_[index];
    holder.bytes_[index] = bytes;
    holder.held_ = holder.held_ - before + bytes;
    used_by_use_[index] = used_by_use_[index] - before + bytes;
    used_ = used_ - before + bytes;
    if (holder.is_granted_ &&
        holder.held(memory_use::input) + holder.held(memory_use::statements) <= settings_.min_calm_bytes) {
        holder.is_granted_ = false;
        std::erase(granted_, &holder);
    }
}

bool memory_budget::has_room(std::size_t added) const {
    return used_ + added <= settings_.total_bytes / percent * settings_.free_growth_percent;
}

bool memory_budget::may_grow(memory_holder& holder, std::size_t added) {
    if (holder.is_granted_ || holder.held_ + added <= calm_bytes()) {
        return true;
    }
    // Those that wait already go first.
    const bool is_next = waiting_.empty() || waiting_.front() == &holder;
    const bool has_grant = granted_.size() < max_granted_;
    if (is_next && (has_room(added) || has_grant)) {
        if (!has_room(added)) {
            holder.is_granted_ = true;
            granted_.push_back(&holder);
        }
        if (holder.is_waiting_) {
            holder.is_waiting_ = false;
            waiting_.pop_front();
        }
        return true;
    }
    holder.wanted_ = added;
    if (!holder.is_waiting_) {
        holder.is_waiting_ = true;
        waiting_.push_back(&holder);
    }
    return false;
}

void memory_budget::tick(time_point now) {
    evict_stalled(now);
    evict_excess(now);
    resume_waiting(now);
}

void memory_budget::resume_waiting(time_point now) {
    std::size_t promised = 0;
    while (!waiting_.empty()) {
        memory_holder& next = *waiting_.front();
        const bool fits = has_room(promised + next.wanted_);
        if (!fits && granted_.size() >= max_granted_) {
            return;
        }
        if (!fits) {
            next.is_granted_ = true;
            granted_.push_back(&next);
        }
        promised += next.wanted_;
        next.is_waiting_ = false;
        waiting_.pop_front();
        // The wait for others does not count as a stall of its client.
        next.progress_at_ = now;
        next.on_room();
    }
}

void memory_budget::evict_stalled(time_point now) {
    if (waiting_.empty()) {
        return;
    }
    const std::vector<memory_holder*> holders = holders_;
    for (memory_holder* holder : holders) {
        // Only what waits for the client itself counts, not a statement that waits for an instance.
        const std::size_t unfinished = holder->held(memory_use::input) + holder->held(memory_use::output);
        const bool holds_back = !holder->is_waiting_ && unfinished > calm_bytes();
        if (holds_back && now - holder->progress_at_ >= settings_.stall_limit) {
            evict(*holder, eviction_cause::stalled);
        }
    }
}

int memory_budget::eviction_rank(const memory_holder& holder, time_point now) const {
    constexpr int never = 4;
    const duration idle = now - holder.progress_at_;
    if (holder.held_ > calm_bytes()) {
        return idle >= idle_limit ? 0 : holder.is_granted_ ? 3 : 1;
    }
    return idle >= settings_.stall_limit ? 2 : never;
}

void memory_budget::evict_excess(time_point now) {
    if (used_ <= settings_.total_bytes) {
        return;
    }
    struct candidate {
        memory_holder* holder;
        int rank;
    };
    std::vector<candidate> order;
    for (memory_holder* holder : holders_) {
        order.push_back({holder, eviction_rank(*holder, now)});
    }
    std::stable_sort(order.begin(), order.end(), [](const candidate& left, const candidate& right) {
        return left.rank != right.rank ? left.rank < right.rank : left.holder->held_ > right.holder->held_;
    });
    constexpr int last_rank = 3;
    for (const candidate& next : order) {
        if (used_ <= settings_.total_bytes || next.rank > last_rank) {
            return;
        }
        evict(*next.holder, eviction_cause::memory_exceeded);
    }
}

void memory_budget::evict(memory_holder& holder, eviction_cause cause) {
    if (holder.is_waiting_) {
        holder.is_waiting_ = false;
        std::erase(waiting_, &holder);
    }
    holder.on_evicted(cause);
    for (std::size_t use = 0; use < memory_use_count; ++use) {
        change(holder, static_cast<memory_use>(use), 0);
    }
}

} // namespace gentianhill
