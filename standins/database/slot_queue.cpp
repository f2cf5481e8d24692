#include "standins/database/slot_queue.h"

#include <utility>

namespace gentianhill::standins {

void slot_queue::run(std::size_t statements, std::function<void()> action) {
    batch next{statements, std::move(action)};
    if (busy_ < slots_) {
        start(std::move(next));
    } else {
        waiting_.push_back(std::move(next));
    }
}

void slot_queue::start(batch next) {
    ++busy_;
    const duration service = service_time_ * static_cast<std::int64_t>(next.statements);
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(service, [this, alive, action = std::move(next.action)] {
        if (!alive.expired()) {
            finish(action);
        }
    });
}

void slot_queue::finish(const std::function<void()>& action) {
    action();
    --busy_;
    if (!waiting_.empty()) {
        batch next = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(next));
    }
}

} // namespace gentianhill::standins
