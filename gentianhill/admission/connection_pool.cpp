#include "gentianhill/admission/connection_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string>

namespace gentianhill {

namespace {

constexpr unsigned slot_index_bits = 32;

std::uint32_t slot_index(connection_pool::connection_id id) {
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
    grace_period_ends_.reserve(settings.limit);
}

connection_pool::slot* connection_pool::find(connection_id id) {
    const std::uint32_t index = slot_index(id);
    if (index >= slots_.size() || !slots_[index].in_use || slots_[index].id != id) {
        return nullptr;
    }
    return &slots_[index];
}

std::optional<connection_state> connection_pool::state_of(connection_id id) const {
    const std::uint32_t index = slot_index(id);
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
        // Searched from the back, since acquire() takes the last element.
        const std::vector<std::uint32_t>::reverse_iterator found =
            std::find(idle_.rbegin(), idle_.rend(), slot_index(changed.id));
        assert(found != idle_.rend());
        idle_.erase(std::next(found).base());
    }
    changed.state = state;
    ++count_of(state);
}

void connection_pool::make_idle(slot& target, time_point now) {
    change_state(target, connection_state::idle);
    target.idle_since = now;
    idle_.push_back(slot_index(target.id));
}

void connection_pool::free_slot(slot& freed) {
    change_state(freed, connection_state::closing);
    --counts_.closing;
    freed.in_use = false;
    free_slots_.push_back(slot_index(freed.id));
}

void connection_pool::remove_expired_grace_periods(time_point now) {
    const std::vector<time_point>::iterator first_remaining =
        std::upper_bound(grace_period_ends_.begin(), grace_period_ends_.end(), now);
    grace_period_ends_.erase(grace_period_ends_.begin(), first_remaining);
    counts_.in_grace_period = grace_period_ends_.size();
}

void connection_pool::start_grace_period(time_point now) {
    remove_expired_grace_periods(now);
    // Callers pass ascending times, so the vector stays sorted.
    if (settings_.close_grace > duration{0}) {
        grace_period_ends_.push_back(now + settings_.close_grace);
        counts_.in_grace_period = grace_period_ends_.size();
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
    // The most recently used connection (LIFO), so that surplus ones stay idle until `idle_limit`.
    slot& taken = slots_[idle_.back()];
    assert(!taken.exchange_in_progress && !taken.desynchronized);
    change_state(taken, connection_state::busy);
    return taken.id;
}

bool connection_pool::begin_exchange(connection_id id) {
    slot* found = find(id);
    const bool allowed = found != nullptr && !found->exchange_in_progress && !found->desynchronized &&
                         (found->state == connection_state::busy || found->state == connection_state::pinned);
    if (allowed) {
        found->exchange_in_progress = true;
    }
    return allowed;
}

bool connection_pool::end_exchange(connection_id id, bool matched) {
    slot* found = find(id);
    if (found == nullptr || !found->exchange_in_progress) {
        return false;
    }
    found->exchange_in_progress = false;
    found->desynchronized = found->desynchronized || !matched;
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
    if (found == nullptr || found->state != connection_state::pinned || found->exchange_in_progress) {
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
    const bool is_reusable = usable && found->state == connection_state::busy &&
                             !found->exchange_in_progress && !found->desynchronized;
    if (!is_reusable || draining_ || counts_.total() > settings_.limit) {
        change_state(*found, connection_state::closing);
        return false;
    }
    make_idle(*found, now);
    return true;
}

std::optional<connection_pool::connection_id> connection_pool::try_begin_open(std::size_t waiting_requests,
                                                                              time_point now) {
    remove_expired_grace_periods(now);
    const bool is_blocked = draining_ || now < open_not_before_ || counts_.opening >= settings_.max_opening ||
                            counts_.total() >= settings_.limit;
    const std::size_t wanted = std::max(waiting_requests, settings_.min_idle);
    if (is_blocked || counts_.idle + counts_.opening >= wanted) {
        return std::nullopt;
    }
    // Reuse a free slot, or append a new one.
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
    created.id = (static_cast<connection_id>(next_sequence_++) << slot_index_bits) | index;
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
    consecutive_open_failures_ = 0;
    if (draining_ || counts_.total() > settings_.limit) {
        change_state(*found, connection_state::closing);
        return false;
    }
    make_idle(*found, now);
    return true;
}

bool connection_pool::mark_open_failed(connection_id id, time_point now, double jitter) {
    slot* found = find(id);
    if (found == nullptr || found->state != connection_state::opening) {
        return false;
    }
    free_slot(*found);
    // The instance may have accepted a connection attempt that timed out on this side.
    start_grace_period(now);
    // Exponential backoff with jitter: the pause is between 50% and 100% of a length that doubles with each
    // failure.
    constexpr std::uint32_t max_doublings = 16;
    const duration full_pause = std::min(
        settings_.backoff_max,
        settings_.backoff_initial * (std::int64_t{1} << std::min(consecutive_open_failures_, max_doublings)));
    ++consecutive_open_failures_;
    const duration pause{
        static_cast<std::int64_t>(static_cast<double>(full_pause.count()) * 0.5 * (1.0 + jitter))};
    open_not_before_ = std::max(open_not_before_, now + pause);
    return true;
}

std::optional<connection_pool::connection_id> connection_pool::try_begin_close(time_point now) {
    remove_expired_grace_periods(now);
    if (idle_.empty()) {
        return std::nullopt;
    }
    // The connection at the front has been idle the longest.
    slot& oldest = slots_[idle_.front()];
    const bool is_surplus =
        counts_.idle > settings_.min_idle && now - oldest.idle_since >= settings_.idle_limit;
    const std::size_t open = counts_.total() - counts_.closing - counts_.in_grace_period;
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
    start_grace_period(now);
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
    remove_expired_grace_periods(now);
    return counts_;
}

} // namespace gentianhill
