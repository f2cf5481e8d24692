#pragma once

#include "gentianhill/budget/memory_budget.h"

namespace gentianhill {

/// Memory that one connection makes the process hold. Belongs to its budget while it exists.
class memory_holder {
public:
    /// The budget must outlive the holder.
    memory_holder(memory_budget& budget, time_point now);
    ~memory_holder();
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    /// Called by memory_budget::tick() when a holder that had to wait may try again.
    std::function<void()> on_room;
    /// Called by memory_budget::tick() when the owner must release what it holds, at once. The owner may
    /// destroy the holder only after the tick.
    std::function<void(eviction_cause cause)> on_evicted;

    /// States what is held for a use, in bytes.
    void set(memory_use use, std::size_t bytes) {
        if (bytes != bytes_[static_cast<std::size_t>(use)]) {
            budget_.change(*this, use, bytes);
        }
    }
    /// True if the holder may take so many more bytes of input now. Otherwise it waits until on_room.
    [[nodiscard]] bool may_grow(std::size_t added) { return budget_.may_grow(*this, added); }
    /// True if the session may keep so many more bytes of values and prepared statements.
    [[nodiscard]] bool may_keep(std::size_t added) const;
    /// States that the connection gets on: input arrived, or an answer was taken.
    void note_progress(time_point now) { progress_at_ = now; }
    [[nodiscard]] time_point progress_at() const { return progress_at_; }
    /// Memory held for all uses in bytes.
    [[nodiscard]] std::size_t held() const { return held_; }
    [[nodiscard]] std::size_t held(memory_use use) const { return bytes_[static_cast<std::size_t>(use)]; }
    [[nodiscard]] bool is_waiting() const { return is_waiting_; }

private:
    friend class memory_budget;

    memory_budget& budget_;
    std::array<std::size_t, memory_use_count> bytes_{};
    std::size_t held_ = 0;
    /// Bytes that it waits for.
    std::size_t wanted_ = 0;
    time_point progress_at_;
    bool is_waiting_ = false;
    bool is_granted_ = false;
};

} // namespace gentianhill
