#pragma once

#include "gentianhill/budget/memory_use.h"
#include "gentianhill/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string_view>
#include <vector>

namespace gentianhill {

class memory_holder;

/// Limits of a memory budget.
struct memory_budget_settings {
    /// Memory that all holders together may take, in bytes.
    std::size_t total_bytes = 64'000'000;
    /// Most that a holder may take without asking, however short the budget is, in bytes; less with many
    /// holders. A client that waits for each answer before its next statement, and whose statements are
    /// short, stays below it.
    std::size_t calm_bytes = 64U << 10U;
    /// The same with any number of holders, in bytes.
    std::size_t min_calm_bytes = 8U << 10U;
    /// Part of the total up to which holders grow freely, in percent. Beyond it only the granted ones do.
    std::size_t free_growth_percent = 50;
    /// Part of the total that all sessions may take for values and prepared statements, in percent.
    std::size_t sessions_percent = 25;
    /// Part of the total that one session may take for values and prepared statements, in percent. The
    /// smallest hosts still keep a value of the size of a message.
    std::size_t session_percent = 7;
    /// Most that one message takes until it is answered, in bytes: its input, its statement and its copies on
    /// the way to an instance.
    std::size_t message_cost_bytes = 7U << 20U;
    /// Time without progress after which a holder is evicted while others wait for memory.
    duration stall_limit = std::chrono::seconds(2);
};

/// Why a holder is evicted.
enum class eviction_cause : std::uint8_t {
    /// It made no progress while others waited for memory.
    stalled,
    /// The budget was exceeded.
    memory_exceeded,
};

/// Returns the name of a cause for logs and metrics.
[[nodiscard]] std::string_view to_string(eviction_cause cause);

/// Divides a bound on memory among connections. A holder that wants to grow while memory is short waits,
/// which its owner turns into not reading. A few waiting holders at a time are granted their whole message,
/// so that there is always one that gets on. When the bound is exceeded all the same, the holders with the
/// most memory and without progress are evicted.
class memory_budget {
public:
    explicit memory_budget(const memory_budget_settings& settings);
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Lets waiting holders continue, and evicts holders where the rules demand it. Not to be called from
    /// within a hook of a holder.
    void tick(time_point now);
    /// Memory of all holders in bytes.
    [[nodiscard]] std::size_t used() const { return used_; }
    /// Memory of all holders for one use in bytes.
    [[nodiscard]] std::size_t used(memory_use use) const {
        return used_by_use_[static_cast<std::size_t>(use)];
    }
    [[nodiscard]] const memory_budget_settings& settings() const { return settings_; }
    /// Number of holders that wait.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    /// Memory that every holder may take without asking, in bytes.
    [[nodiscard]] std::size_t calm_bytes() const;

private:
    friend class memory_holder;

    void add(memory_holder& holder);
    void remove(memory_holder& holder);
    void change(memory_holder& holder, memory_use use, std::size_t bytes);
    [[nodiscard]] bool may_grow(memory_holder& holder, std::size_t added);
    [[nodiscard]] bool has_room(std::size_t added) const;
    void resume_waiting(time_point now);
    /// Order in which holders are evicted; lower ranks first.
    [[nodiscard]] int eviction_rank(const memory_holder& holder, time_point now) const;
    void evict_stalled(time_point now);
    void evict_excess(time_point now);
    void evict(memory_holder& holder, eviction_cause cause);

    memory_budget_settings settings_;
    std::size_t max_granted_;
    std::size_t used_ = 0;
    std::array<std::size_t, memory_use_count> used_by_use_{};
    /// In the order of their creation, so that equal inputs give equal decisions.
    std::vector<memory_holder*> holders_;
    std::deque<memory_holder*> waiting_;
    std::vector<memory_holder*> granted_;
};

} // namespace gentianhill
