#include "cut_link.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr int listen_queue = 128;

} // namespace

cut_link::cut_link(event_poll& loop, std::uint16_t target) : loop_(loop), target_(target) {
    const int listener = listen_on_loopback(port_, listen_queue);
    accept_all(loop_, listener, [this](int descriptor) {
        const std::uint64_t number = ++last_number_;
        passage& opened = passages_[number];
        opened.daemon = std::make_shared<channel>(loop_, descriptor);
        opened.target = std::make_shared<channel>(loop_, connect_to_loopback(target_));
        const auto end = [this, number] {
            const passage& ending = passages_.at(number);
            ending.daemon->close(false);
            ending.target->close(false);
            loop_.call_after(milliseconds(0), [this, number] { passages_.erase(number); });
        };
        opened.daemon->on_input = [this, number] { pass_on(number); };
        opened.target->on_input = [this, number] { pass_on(number); };
        opened.daemon->on_end = end;
        opened.target->on_end = end;
    });
}

void cut_link::pass_on(std::uint64_t number) {
    const auto found = passages_.find(number);
    if (is_cut_ || found == passages_.end()) {
        return;
    }
    const passage& open = found->second;
    if (open.daemon->is_open() && open.target->is_open()) {
        open.target->send(std::exchange(open.daemon->input, {}));
        open.daemon->send(std::exchange(open.target->input, {}));
    }
}

void cut_link::heal() {
    is_cut_ = false;
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, open] : passages_) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        pass_on(number);
    }
}

bool cut_link::holds_bytes() const {
    return std::any_of(passages_.begin(), passages_.end(), [](const auto& entry) {
        return entry.second.daemon->is_open() && !entry.second.daemon->input.empty();
    });
}

} // namespace review
