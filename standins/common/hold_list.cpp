#include "standins/common/hold_list.h"

#include <utility>

namespace gentianhill::standins {

void hold_list::hold(http2::connection_id connection, duration wait, std::function<bool()> is_due,
                     std::function<void()> answer) {
    if (wait <= duration{0} || is_due()) {
        answer();
        return;
    }
    held_.push_back(held_request{connection, std::move(is_due), std::move(answer), timer{}});
    const std::list<held_request>::iterator position = std::prev(held_.end());
    position->expiry = loop_.call_after(wait, [this, position] {
        const std::function<void()> answer_expired = std::move(position->answer);
        held_.erase(position);
        answer_expired();
    });
}

void hold_list::wake() {
    // Taken out first: an answer may add to the list.
    std::list<held_request> due;
    for (std::list<held_request>::iterator entry = held_.begin(); entry != held_.end();) {
        const std::list<held_request>::iterator next = std::next(entry);
        if (entry->is_due()) {
            due.splice(due.end(), held_, entry);
        }
        entry = next;
    }
    for (held_request& entry : due) {
        entry.expiry.cancel();
        entry.answer();
    }
}

void hold_list::drop(http2::connection_id connection) {
    held_.remove_if([connection](const held_request& entry) { return entry.connection == connection; });
}

} // namespace gentianhill::standins
