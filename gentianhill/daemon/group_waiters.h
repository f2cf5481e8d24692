#pragma once

#include "gentianhill/consistency/position_tracker.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>

namespace gentianhill {

/// How a wait for a position ended.
enum class confirm_result : std::uint8_t {
    /// The position is confirmed.
    confirmed,
    /// A newer term is confirmed, and the entry is not known to be in it: it is lost, or terms followed each
    /// other
    /// too fast to tell. The outcome can be found by key only.
    superseded,
    /// The deadline passed first.
    deadline,
};

/// Requests of one database group that wait for a confirmed position or another condition.
class group_waiters {
public:
    using confirm_handler = std::function<void(confirm_result)>;
    using condition_handler = std::function<void(bool reached)>;

    /// Waits until the position is confirmed or superseded.
    void add_confirm(const log_position& position, time_point deadline, confirm_handler on_done);
    /// Waits until the condition holds; it is evaluated after each report and on each expire().
    void add_condition(std::function<bool()> condition, time_point deadline, condition_handler on_done);
    /// Ends the waits that the current state of the group fulfils.
    void advance(const position_tracker& positions);
    /// Ends the waits whose deadline has passed.
    void expire(time_point now);

    [[nodiscard]] bool has_confirms() const { return !confirms_.empty(); }
    /// Lowest position that a request waits for; {0, 0} when none does.
    [[nodiscard]] log_position lowest_awaited() const {
        return confirms_.empty() ? log_position{} : confirms_.begin()->first;
    }
    [[nodiscard]] bool has_conditions() const { return !conditions_.empty(); }
    [[nodiscard]] std::size_t size() const { return confirms_.size() + conditions_.size(); }

private:
    struct confirm_wait {
        time_point deadline;
        confirm_handler on_done;
    };
    struct condition_wait {
        std::function<bool()> condition;
        time_point deadline;
        condition_handler on_done;
    };

    std::multimap<log_position, confirm_wait> confirms_;
    std::list<condition_wait> conditions_;
};

} // namespace gentianhill
