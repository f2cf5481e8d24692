#include "gentianhill/admission/connection_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string>

namespace gentianhill {

namespace {

constexpr unsigned slot_bits = 32;

std::uint32_t slot_index_of(connection_pool::connection_id id) {
    return static_cast<std::uint32_t>(id);
}

} // namespace

std::string_view to_string(connection_state state) {
    switch (state) {
    case connection_state::opening:
        return "opening";
    case connection_state::idle:
        return "idle";
    case connection_state::busy:
        return "busy";
    case connection_state::pinned:
        return "pinned";
    case connection_state::closing:
        return "closing";
    }
    return "unexpected";
}

connection_pool::connection_pool(const connection_pool_settings& settings) : settings_(settings) {
    slots_.reserve(settings.limit);
    free_slots_.reserve(settings.limit);
    idle_.reserve(settings.limit);
    grace_ends_.reserve(settings.limit);
}

connection_pool::slot* connection_pool::find(connection_id id) {
    const std::uint32_t index = slot_index_of(id);
    if (index >= slots_.size() || !slots_[index].in_use || slots_[index].id != id) {
        return nullptr;
    }
    return &slots_[index];
}

std::optional<connection_state> connection_pool::state_of(connection_id id) const {
    const std::uint32_t index = slot_index_of(id);
    if (index >= slots_.size() || !slots_[index].in_use || slots_[index].id != id) {
        return std::nullopt;
    }
    return slots_[index].state;
}

std::size_t& connection_pool::count_of(connection_state state) {
    switch (state) {
    case connection_state::opening:
        return counts_.opening;
    case connection_state::idle:
        return counts_.idle;
    case connection_state::busy:
        return counts_.busy;
    case connection_state::pinned:
        return counts_.pinned;
    case connection_state::closing:
        break;
    }
    return counts_.closing;
}

void connection_pool::change_state(slot& changed, connection_state state) {
    --count_of(changed.state);
    if (changed.state == connection_state::idle) {
        // From the back, where acquire() takes it.
        const std::vector<std::uint32_t>::reverse_iterator found =
            std::find(idle_.rbegin(), idle_.rend(), slot_index_of(changed.id));
        assert(found != idle_.rend());
        idle_.erase(std::next(found).base());
    }
    changed.state = state;
    ++count_of(state);
}

void connection_pool::become_idle(slot& target, time_point now) {
    change_state(target, connection_state::idle);
    target.idle_since = now;
    idle_.push_back(slot_index_of(target.id));
}

void connection_pool::free_slot(slot& freed) {
    change_state(freed, connection_state::closing);
    --counts_.closing;
    freed.in_use = false;
    free_slots_.push_back(slot_index_of(freed.id));
}

void connection_pool::forget_grace(time_point now) {
    const std::vector<time_point>::iterator first_left =
        std::upper_bound(grace_ends_.begin(), grace_ends_.end(), now);
    grace_ends_.erase(grace_ends_.begin(), first_left);
    counts_.in_grace = grace_ends_.size();
}

void connection_pool::start_grace(time_point now) {
    forget_grace(now);
    // Times are passed in ascending order, so the ends stay sorted.
    if (settings_.close_grace > duration{0}) {
        grace_ends_.push_back(now + settings_.close_grace);
        counts_.in_grace = grace_ends_.size();
    }
}

std::optional<connection_pool::connection_id> connection_pool::acquire(error& reason) {
    if (draining_) {
        reason = error{error_code::leaving, "instance", {}, "another instance"};
        return std::nullopt;
    }
    if (idle_.empty()) {
        const bool is_full = counts_.total() >= settings_.limit;
        reason = error{is_full ? error_code::connection_limit : error_code::no_free_slot, "connections",
                       fmt::format("{}", counts_.total()), fmt::format("at most {}", settings_.limit)};
        return std::nullopt;
    }
    // The most recently used one, so that surplus connections reach the idle limit.
    slot& taken = slots_[idle_.back()];
    assert(!taken.exchange_open && !taken.spoiled);
    change_state(taken, connection_state::busy);
    return taken.id;
}

bool connection_pool::begin_exchange(connection_id id) {
    slot* found = find(id);
    const bool allowed = found != nullptr && !found->exchange_open && !found->spoiled &&
                         (found->state == connection_state::busy || found->state == connection_state::pinned);
    if (allowed) {
        found->exchange_open = true;
    }
    return allowed;
}

bool connection_pool::end_exchange(connection_id id, bool matched) {
    slot* found = find(id);
    if (found == nullptr || !found->exchange_open) {
        return false;
    }
    found->exchange_open = false;
    found->spoiled = found->spoiled || !matched;
    return true;
}

bool connection_pool::pin(connection_id id) {
    slot* found = find(id);
    if (found == nullptr || found->state != connection_state::busy) {
        return false;
    }
    change_state(*found, connection_state::pinned);
    return true;
}

bool connection_pool::unpin(connection_id id) {
    slot* found = find(id);
    if (found == nullptr || found->state != connection_state::pinned || found->exchange_open) {
        return false;
    }
    change_state(*found, connection_state::busy);
    return true;
}

bool connection_pool::release(connection_id id, bool usable, time_point now) {
    slot* found = find(id);
    if (found == nullptr ||
        (found->state != connection_state::busy && found->state != connection_state::pinned)) {
        return false;
    }
    const bool is_clean =
        usable && found->state == connection_state::busy && !found->exchange_open && !found->spoiled;
    if (!is_clean || draining_ || counts_.total() > settings_.limit) {
        change_state(*found, connection_state::closing);
        return false;
    }
    become_idle(*found, now);
    return true;
}

std::optional<connection_pool::connection_id> connection_pool::try_begin_open(std::size_t waiting,
                                                                              time_point now) {
    forget_grace(now);
    const bool is_forbidden = draining_ || now < open_not_before_ ||
                              counts_.opening >= settings_.max_opening || counts_.total() >= settings_.limit;
    const std::size_t wanted = std::max(waiting, settings_.min_idle);
    if (is_forbidden || counts_.idle + counts_.opening >= wanted) {
        return std::nullopt;
    }
    // Reuse a free slot, or take a new one.
    std::uint32_t index = 0;
    if (free_slots_.empty()) {
        index = static_cast<std::uint32_t>(slots_.size());
        slots_.emplace_back();
    } else {
        index = free_slots_.back();
        free_slots_.pop_back();
    }
    slot& created = slots_[index];
    created = slot{};
    created.id = (static_cast<connection_id>(next_sequence_++) << slot_bits) | index;
    created.state = connection_state::opening;
    created.in_use = true;
    ++counts_.opening;
    return created.id;
}

bool connection_pool::mark_opened(connection_id id, time_point now) {
    slot* found = find(id);
    if (found == nullptr || found->state != connection_state::opening) {
        return false;
    }
    failures_ = 0;
    if (draining_ || counts_.total() > settings_.limit) {
        change_state(*found, connection_state::closing);
        return false;
    }
    become_idle(*found, now);
    return true;
}

bool connection_pool::mark_open_failed(connection_id id, time_point now, double jitter) {
    slot* found = find(id);
    if (found == nullptr || found->state != connection_state::opening) {
        return false;
    }
    free_slot(*found);
    // The instance may have accepted a connection whose opening timed out here.
    start_grace(now);
    // Each pause lies between half and all of a doubling length.
    constexpr std::uint32_t max_doublings = 16;
    const duration full =
        std::min(settings_.backoff_max,
                 settings_.backoff_initial * (std::int64_t{1} << std::min(failures_, max_doublings)));
    ++failures_;
    const duration pause{static_cast<std::int64_t>(static_cast<double>(full.count()) * 0.5 * (1.0 + jitter))};
    open_not_before_ = std::max(open_not_before_, now + pause);
    return true;
}

std::optional<connection_pool::connection_id> connection_pool::try_begin_close(time_point now) {
    forget_grace(now);
    if (idle_.empty()) {
        return std::nullopt;
    }
    // The connection at the front has been idle for the longest time.
    slot& oldest = slots_[idle_.front()];
    const bool is_surplus =
        counts_.idle > settings_.min_idle && now - oldest.idle_since >= settings_.idle_limit;
    const std::size_t open = counts_.total() - counts_.closing - counts_.in_grace;
    if (!draining_ && !is_surplus && open <= settings_.limit) {
        return std::nullopt;
    }
    change_state(oldest, connection_state::closing);
    return oldest.id;
}

bool connection_pool::mark_closed(connection_id id, time_point now) {
    slot* found = find(id);
    if (found == nullptr) {
        return false;
    }
    free_slot(*found);
    start_grace(now);
    return true;
}

void connection_pool::set_limit(std::size_t limit) {
    settings_.limit = limit;
}

void connection_pool::drain() {
    draining_ = true;
}

void connection_pool::resume() {
    draining_ = false;
}

connection_counts connection_pool::counts(time_point now) {
    forget_grace(now);
    return counts_;
}

} // namespace gentianhill
